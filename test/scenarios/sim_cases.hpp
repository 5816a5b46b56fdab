// The cases: each sets a simulated fleet up, brings one kind of failure about,
// and says what must be seen besides that no rule is broken.
#pragma once
#include "checker/checker.hpp"
#include "simulation/fleet.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

struct SimFigures {
  std::map<std::string, uint64_t> counts;
  std::set<std::string> required_faults;  // faults that the seeds together have to have met
};

struct Scene {
  simulation::World& world;
  simulation::Fleet& fleet;
  std::string only_node;         // the relay that all callers go to; empty: any that is ready
  std::function<void()> script;  // a fiber of the outside world
  Duration duration{60000};
  bool script_done = false;
  std::string failure;  // set when something was not seen
  std::map<std::string, uint64_t> figures;
  Duration reject_within{
      0};  // no request may be turned away later than so long after it came; 0: not looked at
  std::vector<std::string> required_faults;  // faults that the run has to have met
  void require(bool ok, const std::string& what) {
    if (!ok && failure.empty()) failure = what;
  }
};

struct SimCase {
  std::function<void(Scene&)> set_up;
  int spares = 0;
  std::function<void(simulation::FleetShape&)> shape;  // what this case needs otherwise than it is
  SimCase() = default;
  template <class F>
  SimCase(F f, int sp = 0, std::function<void(simulation::FleetShape&)> sh = {})
      : set_up(f), spares(sp), shape(std::move(sh)) {}
};
const std::map<std::string, SimCase>& sim_cases();
void run_sim(const SimCase& sim_case, const simulation::FleetShape& shape, uint64_t seed, SimFigures& sum,
             const std::string& journal);

}  // namespace dunlinwing::test
