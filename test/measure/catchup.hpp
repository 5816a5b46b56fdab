// How long a replica that was restarted, or that lost its disk, takes until it votes and its
// relay knows all there is, after many changes to the registers.
#pragma once
#include "rows.hpp"

namespace dunlinwing::measure {

struct CatchupLoad {
  int changes = 100;    // half of them before the replica stops, half while it is away
  int registers = 500;  // at most so many are written; no more than half of the changes
  int bytes = 400;      // of a register's value
};

// Times in ms of simulated time, bytes between all hosts beyond what an idle fleet moves.
Figures catchup(uint64_t seed, const CatchupLoad& load);

}  // namespace dunlinwing::measure
