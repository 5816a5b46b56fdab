// What the stand-ins saw on their own sides, and what the simulation did to the
// machines: all that the rules are judged from.
#pragma once
#include <map>
#include <set>

#include "base/ports.hpp"
#include "platform/page.hpp"

namespace dunlinwing::test {

struct Arrival {  // of a request at a worker
  std::string id, method, host, target, body, service, version, instance, node;
  const void* process = nullptr;  // of the relay's process
  TimePoint at{0};
  bool executed = false, failed = false, wrong_instance = false;  // other: it was meant for another instance
};

struct ClientAttempt {  // of a client
  std::string id, method, host, target, body, relay, kind;
  const void* process = nullptr;
  TimePoint sent{0}, ended{0}, deadline{0};
  bool complete = false, read_by_node = false, first = false, probe = false;
  base::Response response;
};

struct StampedResponse {  // by a worker, under a stamp
  std::string id, target, body;
  uint64_t version = 0;  // of the object, if it is one
  bool object = false, failed = false;
  TimePoint at{0};
};

struct StatedConfiguration {  // a configuration
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

struct UnacknowledgedOrder {  // an order without acknowledgement
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
  std::map<std::string, StampedResponse> stamped_responses;  // by stamp
  std::map<std::string, std::vector<TimePoint>> replaced;    // target -> when version 1, 2 … came
  std::map<std::string, std::string> tags;                   // target -> its tag
  std::vector<StatedConfiguration> configurations;
  std::vector<PurgeOrder> purges;
  std::vector<Deregistration> deregistrations;
  std::vector<VersionRolloutOrder> version_rollouts;
  std::vector<UnacknowledgedOrder> unacknowledged;
  std::vector<std::string> rejected_again;  // orders that had been acknowledged, sent again
  std::map<std::string, std::vector<TimePoint>>
      machine_faults;                  // machine -> moments at which something befell it or its paths
  std::vector<TimePoint> core_faults;  // moments at which the core was unsettled
  std::vector<TimePoint> origin_trouble;
  std::vector<std::pair<TimePoint, std::string>> terminations;  // SIGTERMs
  bool unplanned = false;                                       // some trouble that nobody had ordered
  std::vector<ReadBack> read_back;
  std::optional<TimePoint> closed, back;  // the closing fault, and when all machines were up again
};

// Whether the machine was in touch throughout the three seconds before `t`.
constexpr Duration kContact{3000};
bool in_touch(const EventJournal& journal, const std::string& machine, TimePoint t);

}  // namespace dunlinwing::test
