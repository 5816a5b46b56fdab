/// @file
/// The names that operators give to services and releases. Pure.
#pragma once
#include <string_view>

namespace dunlinwing::config {

/// 1 to 64 letters, digits, '-', '_' and '.'.
[[nodiscard]] bool is_valid_service_name(std::string_view name);

/// As for services, but not beginning with '.': a release's name is a part of paths.
[[nodiscard]] bool is_valid_release_name(std::string_view name);

}  // namespace dunlinwing::config
