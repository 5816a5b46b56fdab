#include "base/http.hpp"

#include "base/text.hpp"

namespace dunlinwing::base {

std::string header(const Headers& headers, std::string_view name) {
  for (const auto& candidate : headers)
    if (equals_ignore_case(candidate.name, name)) return candidate.value;
  return {};
}

}  // namespace dunlinwing::base
