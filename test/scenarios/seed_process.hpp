// Runs one seed of a case in a process of its own, whose memory is returned when the seed ends.
#pragma once
#include "scenarios/sim_cases.hpp"

namespace dunlinwing::test {

// Returns what the run returns in its process; throws Failed when the run throws or its process dies.
SimFigures run_in_process(const std::function<SimFigures()>& run);

}  // namespace dunlinwing::test
