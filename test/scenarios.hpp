// What can be brought about in a whole fleet of real processes.
#pragma once
#include "fleet.hpp"

namespace dunlinwing::test {

struct Run {
  Fleet& f;
  int rate, seconds;
  uint64_t seed;
  std::function<bool()> stopped;
};

const std::map<std::string, std::function<bool(Run&)>>& scenarios();

}  // namespace dunlinwing::test
