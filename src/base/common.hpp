/// @file
/// Declarations that every part uses: the time types, and the standard headers that nearly all parts need.
/// This file contains no logic.
#pragma once
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace dunlinwing {

using Duration = std::chrono::milliseconds;
/// Time since boot, including time in suspend; comparable on one machine only.
using TimePoint = std::chrono::milliseconds;

/// The alternative of type T, or null when the variant holds another alternative.
template <class T, class... Alternatives>
const T* as(const std::variant<Alternatives...>& value) {
  return std::get_if<T>(&value);
}

extern const char* const kSoftwareVersion;  ///< this program's version

}  // namespace dunlinwing
