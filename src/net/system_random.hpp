/// @file
/// A pseudo-random generator seeded by the operating system. Not for secrets.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::net {

class SystemRandom final : public base::Random {
 public:
  uint64_t draw() override;
};

}  // namespace dunlinwing::net
