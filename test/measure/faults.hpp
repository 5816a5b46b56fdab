// Failures by fleet size: the time until all nodes have recovered, and the bytes of the
// node with the highest cost.
#pragma once
#include "steady.hpp"

namespace dunlinwing::measure {

struct FaultScenario {
  std::string kind;                // zone, apart, restart, storm
  int hold_s = 10;                 // duration of the fault
  double changes = 0, purges = 0;  // per second, during the fault
};
Figures measure_fault(uint64_t seed, Shape s, const FaultScenario& t);

}  // namespace dunlinwing::measure
