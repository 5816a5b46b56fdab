/// @file
/// What every part uses: the names for time, and the standard headers that nearly all need. Nothing here
/// does any work.
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
/// Since boot, counting the time that the machine slept; comparable on one machine only.
using TimePoint = std::chrono::milliseconds;

/// The alternative of type T, or null when the variant holds another.
template <class T, class... Alternatives>
const T* as(const std::variant<Alternatives...>& value) {
  return std::get_if<T>(&value);
}

extern const char* const kSoftware;  ///< this program's version

}  // namespace dunlinwing
