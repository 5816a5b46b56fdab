// The events recorded by the simulated clients, operator and backend instances, and the faults that the
// simulation injected. The rules are checked against this journal alone.
#pragma once
#include <map>
#include <set>

#include "base/ports.hpp"
#include "platform/page.hpp"

namespace dunlinwing::test {

struct Arrival {  // of a request at a backend instance
  std::string id, method, host, target, body, service, version, instance, node;
  const void* process = nullptr;  // of the relay's process
  TimePoint at{0};
  bool executed = false, failed = false,
       wrong_instance = false;  // wrong_instance: it was addressed to another instance
};

struct ClientAttempt {  // of a client
  std::string id, method, host, target, body, relay, kind;
  const void* process = nullptr;
  TimePoint sent{0}, ended{0}, deadline{0};
  bool complete = false, read_by_node = false, first = false, probe = false;
  base::Response response;
};

struct StampedResponse {  // sent by a backend instance, recorded by its signature
  std::string id, target, body;
  uint64_t version = 0;  // of the object, if the response is one
  bool object = false, failed = false;
  TimePoint at{0};
};

struct StatedConfiguration {  // a configuration that the operator sent
  OperatorConfiguration configuration;
  std::string text, what, by;
  bool valid = true;
  TimePoint sent{0};
  std::optional<TimePoint> acknowledged;
  int rejections = 0;
};

struct PurgeOrder {
  std::string host, path, tag;
  TimePoint sent{0};
  std::optional<TimePoint> acknowledged;
};

struct Deregistration {
  std::string instance, by;
  TimePoint at{0};
};

struct VersionRolloutOrder {
  std::string service, version, state;
  bool bad = false;
  TimePoint ordered{0}, deadline{0};
  std::optional<TimePoint> acknowledged, ended;
};

struct UnacknowledgedOrder {  // an operator request that was not acknowledged in time
  std::string what;
  TimePoint sent{0}, ended{0};
};

struct ReadBack {
  uint64_t revision = 0;
  std::string text;
  TimePoint asked{0};
};

struct EventJournal {
  std::vector<Arrival> arrivals;
  std::map<std::string, ClientAttempt> attempts;             // by id
  std::map<std::string, StampedResponse> stamped_responses;  // by signature
  std::map<std::string, std::vector<TimePoint>>
      replaced;                             // target -> times at which versions 1, 2, ... were created
  std::map<std::string, std::string> tags;  // target -> its tag
  std::vector<StatedConfiguration> configurations;
  std::vector<PurgeOrder> purges;
  std::vector<Deregistration> deregistrations;
  std::vector<VersionRolloutOrder> version_rollouts;
  std::vector<UnacknowledgedOrder> unacknowledged;
  std::vector<std::string> rejected_again;  // requests rejected after an earlier acknowledgement was lost
  std::map<std::string, std::vector<TimePoint>>
      machine_faults;                  // machine -> times of faults of the machine or its links
  std::vector<TimePoint> core_faults;  // times at which the core was changing or had no majority
  std::vector<TimePoint> origin_faults;
  std::vector<std::pair<TimePoint, std::string>> terminations;  // SIGTERMs
  bool unplanned = false;                                       // an unplanned fault was injected
  std::vector<ReadBack> read_back;
  std::optional<TimePoint> final_fault_at,
      restarted_at;  // times of the final fault and of the restart of all machines
};

// Whether neither the machine nor the core had a fault in the three seconds before `t`.
constexpr Duration kRecentFaultPeriod{3000};
bool without_recent_fault(const EventJournal& journal, const std::string& machine, TimePoint t);

}  // namespace dunlinwing::test
