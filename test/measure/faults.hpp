// Failures at a size: how long until everything is everywhere again, and what it costs
// the node that pays most.
#pragma once
#include "steady.hpp"

namespace dunlinwing::measure {

struct Trouble {
  std::string kind;                // zone, apart, restart, storm
  int hold_s = 10;                 // how long it lasts
  double changes = 0, purges = 0;  // a second, while it lasts
};
Figures trouble(uint64_t seed, Shape s, const Trouble& t);

}  // namespace dunlinwing::measure
