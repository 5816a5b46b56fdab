// One day of the stand-in platform: a fleet that speaks its words, workers, clients,
// an operator, one kind of trouble, and the read-back at its end.
#pragma once
#include <functional>

#include "platform/operators_and_clients.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

struct Day {
  Day(uint64_t seed, bool small);
  simulation::World world;
  EventJournal journal;
  PlatformStub platform_stub;
  simulation::Fleet fleet;
  Clients clients;
  Operator operator_stub;
  OperatorConfiguration configuration;  // the newest that the operator means
  bool done = false;
  double min_served_share = 0.9;                // of requests that have to be served
  TimePoint traffic_end{0};                     // when clients stop
  std::vector<std::string> unmet_requirements;  // duties, and what a kind itself wants to see

  bool begin(int per_second = 60, double rate = 0);  // up to the first traffic
  void require(bool ok, const std::string& what);
  bool change(uint64_t dice);  // the operator's next configuration
  uint64_t below(uint64_t n) { return world.below(n); }
  simulation::Host& any(bool core);  // one that is up
  void kill_for(const std::string& host, Duration down);
  void note_core_fault() { journal.core_faults.push_back(world.now()); }
  void note_machine_fault(const std::string& host) { journal.machine_faults[host].push_back(world.now()); }
  void terminate(const std::string& host);  // SIGTERM, its end, and its next start

 private:
  void watch();  // writes down what befalls machines and paths
  std::map<std::string, const void*> processes_;
  std::string core_state_;
};

struct FaultKind {
  std::function<void(Day&)> run;             // in the midst of the day
  int per_second = 60;                       // requests
  double rate = 0;                           // that the origin of the objects takes
  std::vector<std::string> required_faults;  // what all seeds together have to have met
};
const std::map<std::string, FaultKind>& fault_kinds();

// Throws Failed when a rule is broken or a leadership is unmet.
void play_day(const std::string& kind, uint64_t seed, bool small, int load,
              std::map<std::string, uint64_t>& figures);

}  // namespace dunlinwing::test
