/// @file
/// Randomness, seeded by the system. Not for secrets.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::net {

class SystemRandom final : public base::Random {
 public:
  uint64_t draw() override;
};

}  // namespace dunlinwing::net
