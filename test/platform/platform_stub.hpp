// Simulated backend instances: they execute requests or report that they did not, serve objects that change,
// send heartbeats, drain, crash and inject faults as configured.
#pragma once
#include "platform/event_journal.hpp"
#include "simulation/fleet.hpp"

namespace dunlinwing::test {

struct StubInstance {
  std::string id, service, version, zone, address;
  int slots = 8, queue = 8, running = 0, waiting = 0;
  bool alive = true, unreachable = false, draining = false, reports_load = true, resets_when_full = false;
  Duration work{8};
  int slowdown = 1;
  TimePoint warm_at{0};
  uint64_t calls = 0;
  int lose_permille = 0, cut_permille = 0, spoil_permille = 0,
      extra_permille = 0;  // fault rates, in requests per thousand
  std::function<int(const std::string& target)>
      work_factor;                                 // of a bad version: slowdown factor; 0: the request fails
  std::optional<base::Response> surplus_response;  // a surplus response, not yet sent
};

class PlatformStub {
 public:
  PlatformStub(simulation::Fleet& fleet, EventJournal& journal) : fleet_(fleet), journal_(journal) {}
  using AttemptResult = std::variant<base::Response, base::AttemptError>;
  AttemptResult send(const simulation::ProcessRunPtr& process, const std::string& address,
                     const base::Request& request, const base::AttemptRules& r);
  bool is_reachable(const std::string& address);
  StubInstance& add(const std::string& service, const std::string& version = "v1",
                    Duration cold = Duration(0), const std::string& address = {});
  void drain(StubInstance& instance);  // reports draining, keeps serving, deregisters, and stops
  void crash(StubInstance& instance, bool dark = false);
  std::vector<StubInstance*> instances_of(const std::string& service, const std::string& version = {});
  void replace_object(const std::string& target);
  std::map<std::string, double> rates;  // requests per second that a service accepts

 private:
  void send_heartbeats(StubInstance& instance);
  bool send_heartbeat(StubInstance& instance, const char* method);
  StubInstance* at(const std::string& address);
  base::Response answer(StubInstance& instance, const base::Request& request, bool fails);
  simulation::Fleet& fleet_;
  EventJournal& journal_;
  std::vector<std::unique_ptr<StubInstance>> instances_;
  std::map<std::string, std::vector<TimePoint>> arrivals_;
  uint64_t next_id_ = 0;
};

bool is_object(const std::string& target);

}  // namespace dunlinwing::test
