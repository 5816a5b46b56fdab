/// @file
/// Measures a JSON text before it is parsed, so that a sender can't decide how deep a recursion over its
/// values gets, nor how much memory they take.
///
/// A fiber's stack is small (net/fiber): RapidJSON writes and validates values recursively, and so does the
/// check for repeated keys.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace dunlinwing::base {

/// Arrays and objects inside one another. The documents of this project have at most eight.
inline constexpr size_t kMaxJsonDepth = 64;

/// Values in one document: enough for a configuration of 4,096 routes that are each split 64 ways.
inline constexpr size_t kMaxJsonValues = size_t{1} << 20;

/// @return the limit that the text exceeds, in words and by its name in docs/limits.md; nullopt: none. A text
/// that
///         is not JSON may pass.
std::optional<std::string> exceeded_json_limit(std::string_view text);

}  // namespace dunlinwing::base
