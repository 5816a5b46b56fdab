// The project's one common header: the names every part uses for time and
// results, and the helper that visits a variant. Nothing here does any work.
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
using TimePoint = std::chrono::milliseconds;  // since boot, counting sleep

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

template <class T, class... V>
const T* as(const std::variant<V...>& v) {
  return std::get_if<T>(&v);
}

extern const char* const kSoftware;  // this program's version

}  // namespace dunlinwing
