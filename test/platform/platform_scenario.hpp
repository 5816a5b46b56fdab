// One scenario of the simulated platform: a fleet that uses its protocol, backend instances, clients,
// an operator, one kind of fault, and a read-back of the configuration at the end.
#pragma once
#include <functional>

#include "platform/operators_and_clients.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

struct PlatformScenario {
  PlatformScenario(uint64_t seed, bool small);
  simulation::World world;
  EventJournal journal;
  PlatformStub platform_stub;
  simulation::Fleet fleet;
  Clients clients;
  Operator operator_stub;
  OperatorConfiguration configuration;  // the newest that the operator sent
  bool done = false;
  double min_served_share = 0.9;                // share of requests that must be served
  TimePoint traffic_end{0};                     // when clients stop sending
  std::vector<std::string> unmet_requirements;  // of the scenario and of its fault kind

  bool begin(int per_second = 60, double rate = 0);  // starts everything up to the first traffic
  void require(bool ok, const std::string& what);
  bool send_next_configuration(uint64_t dice);
  uint64_t below(uint64_t n) { return world.below(n); }
  simulation::Host& running_host(bool core);
  void kill_for(const std::string& host, Duration down);
  void note_core_fault() { journal.core_faults.push_back(world.now()); }
  void note_machine_fault(const std::string& host) { journal.machine_faults[host].push_back(world.now()); }
  void terminate(const std::string& host);  // sends SIGTERM, waits for the exit and restarts it

 private:
  void record_faults();
  std::map<std::string, const void*> processes_;
  std::string core_state_;
};

struct FaultKind {
  std::function<void(PlatformScenario&)> run;  // runs while there is traffic
  int per_second = 60;                         // requests per second
  double rate = 0;  // requests per second that the origin of the objects accepts; 0: no limit
  std::vector<std::string> required_faults;  // faults that must occur across all seeds
};
const std::map<std::string, FaultKind>& fault_kinds();

// Throws Failed when a rule is violated or a requirement is unmet.
void run_scenario(const std::string& kind, uint64_t seed, bool small, int load,
                  std::map<std::string, uint64_t>& figures);

}  // namespace dunlinwing::test
