/// @file
/// The responses of a canary and of the current version (the baseline), counted over all nodes, by route:
/// since the canary began, and since its backend instances became warm. Each node computes the sums itself
/// from the counters in the statuses, across restarts of the reporting processes; none of it is stored. The
/// verdict functions are pure.
///
/// The thresholds assume that a bad version fails or is slow on a third of its requests or more, while faults
/// of instances and of the network affect a few percent. Instances differ in speed by more than a factor of
/// two, so a mean latency alone is significant only when it is far off. A rare route is one whose own share
/// can't yield enough responses in the available time. Rare routes are evaluated together, so that none
/// blocks a good version; a few failed or slow responses on one of them are enough to reject a bad version.
#pragma once
#include <set>
#include <tuple>

#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::canary {

/// Counters of responses of one version on one route. Each response counts as good or as bad.
struct OutcomeCounts {
  uint64_t good = 0;      ///< responses that count for the version
  uint64_t bad = 0;       ///< responses that count against it: failures of its instances
  uint64_t slow = 0;      ///< good responses that took far longer than the baseline's usually do
  uint64_t total_ms = 0;  ///< sum of the latencies of all responses, in milliseconds

  uint64_t total() const { return good + bad; }
  uint64_t failed_or_slow() const { return bad + slow; }
  /// The fraction of the responses that failed or were slow, from 0 to 1; 0 when there are none.
  double failure_rate() const {
    return total() ? static_cast<double>(failed_or_slow()) / static_cast<double>(total()) : 0;
  }
  /// The mean latency in milliseconds; 0 when there are no responses.
  double mean_ms() const {
    return total() ? static_cast<double>(total_ms) / static_cast<double>(total()) : 0;
  }
  OutcomeCounts& operator+=(const OutcomeCounts& other);
};

/// Identifies one run of a process, so that a restart does not discard the counts reported before it.
struct ReportingProcess {
  std::string source;
  uint64_t incarnation = 0;
  bool operator<(const ReportingProcess& other) const {
    return std::tie(source, incarnation) < std::tie(other.source, other.incarnation);
  }
};

/// Counters by the label of the route.
using CountsByRoute = std::map<std::string, OutcomeCounts>;

/// The counters summed over all routes.
OutcomeCounts sum(const CountsByRoute& routes);

/// The counters of one canary and its baseline.
struct CanarySample {
  CountsByRoute canary, baseline;            ///< since the canary began
  CountsByRoute warm_canary, warm_baseline;  ///< since the canary's instances were first warm
  CountsByRoute after_switch;                ///< of the canary, since it receives all requests
};

/// Accumulates the counters. Does no I/O; used by the control thread only.
class CanaryStatistics {
 public:
  /// By service.
  using States = std::map<std::string, pb::ServiceState>;

  /// Adds the increase of the counters since the last call to the samples, attributed by the given states.
  /// @param statuses  by source
  /// @param warm      services whose canary has warm instances now
  void update(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
              const std::set<std::string>& warm = {});

  /// The sample of a service's canary; empty when it has none.
  const CanarySample& at(const std::string& service) const;

 private:
  struct Canary {
    uint64_t number = 0;  ///< of the service's canaries
    bool warm = false;    ///< its instances have been warm
    CanarySample sample;
  };
  struct CounterKey {
    std::string service, version, route;
    bool operator<(const CounterKey& other) const {
      return std::tie(service, version, route) < std::tie(other.service, other.version, other.route);
    }
  };
  /// The counters of one source as they were last reported.
  struct SourceCounters {
    uint64_t incarnation = 0;  ///< a source that is restarted counts from 0
    std::map<CounterKey, OutcomeCounts> counters;
  };

  void update_canaries(const States& states, const std::set<std::string>& warm);
  static void add(const pb::ServiceState& state, const CounterKey& counter, const OutcomeCounts& increase,
                  Canary& canary);

  std::map<std::string, Canary> canaries_;         ///< by service; running canaries only
  std::map<std::string, SourceCounters> sources_;  ///< by source
  bool has_previous_counters_ =
      false;  ///< the first update only stores the counters: they cover the time before it
};

/// Whether the canary is so much worse, on all routes together or on one, that no more evidence is needed.
[[nodiscard]] bool is_clearly_worse(const CanarySample& sample);

/// Describes a regression on some route with enough evidence to end the canary; empty: none.
std::string regression(const CanarySample& sample);

/// Why the canary can't be promoted, yet or at all: too little evidence on a route, or more failures or
/// slower responses than the baseline's; empty: it can.
std::string promotion_blocker(const CanarySample& sample);

/// Describes a regression after the switch, on a route too rare for regression(), that ends the switch;
/// empty: none.
std::string regression_after_switch(const CanarySample& sample);

}  // namespace dunlinwing::canary
