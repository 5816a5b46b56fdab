// The cases: each sets up a simulated fleet, injects one kind of failure, and checks
// conditions beyond the checker's rules.
#pragma once
#include "checker/checker.hpp"
#include "simulation/fleet.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

struct SimFigures {
  std::map<std::string, uint64_t> counts;
  std::set<std::string> required_faults;  // faults that must occur at least once over all seeds
};

struct Scene {
  simulation::World& world;
  simulation::Fleet& fleet;
  std::string only_node;         // the relay that gets all client requests; empty: any ready one
  std::function<void()> script;  // runs in a fiber outside the simulated hosts
  Duration duration{60000};
  bool script_done = false;
  std::string failure;  // the first requirement that was not met
  std::map<std::string, uint64_t> figures;
  Duration reject_within{0};  // the latest time to reject a request after its arrival; 0: not checked
  std::vector<std::string> required_faults;  // faults that must occur
  void require(bool ok, const std::string& what) {
    if (!ok && failure.empty()) failure = what;
  }
};

struct SimCase {
  std::function<void(Scene&)> set_up;
  int spares = 0;
  std::function<void(simulation::FleetShape&)> shape;  // changes the fleet's shape for this case
  SimCase() = default;
  template <class F>
  SimCase(F f, int sp = 0, std::function<void(simulation::FleetShape&)> sh = {})
      : set_up(f), spares(sp), shape(std::move(sh)) {}
};
const std::map<std::string, SimCase>& sim_cases();
void run_sim(const SimCase& sim_case, const simulation::FleetShape& shape, uint64_t seed, SimFigures& sum,
             const std::string& journal);

}  // namespace dunlinwing::test
