#include "base/ports.hpp"

#include <fmt/format.h>

namespace dunlinwing::base {

std::string random_token(Random& random) {
  return fmt::format("{:016x}{:016x}", random.draw(), random.draw());
}

}  // namespace dunlinwing::base
