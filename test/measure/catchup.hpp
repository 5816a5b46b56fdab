// The time until a replica that was restarted, or lost its disk, votes and its relay knows all
// registers, after many changes to them.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

struct CatchupLoad {
  int changes = 100;    // half of them before the replica stops, half while it is down
  int registers = 500;  // limit of different registers written; at most half of the changes
  int bytes = 400;      // size of a register's value
};

// Times in ms of simulated time; bytes between all hosts beyond those of an idle fleet.
Figures catchup(uint64_t seed, const CatchupLoad& load);

}  // namespace dunlinwing::measure
