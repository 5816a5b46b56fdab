/// @file
/// What all nodes together have seen of a canary and of the version in place (the baseline), by route: since
/// the canary began, and since its backend instances are warm. Each node adds it up by itself from the
/// counters in the statuses, over restarts of their sources; nothing of it is recorded. The judgements are
/// pure.
///
/// A bad version fails, or is slow, on a third of its requests or more; faults of instances and of the way to
/// them spoil a few in a hundred. The thresholds stand between. Instances differ in speed by more than two,
/// so a mean alone says little until it is far off. A route whose own share cannot give enough responses in
/// the time is a rare route. Rare routes are judged together, so that none holds a good version back; a few
/// failed or slow responses on one of them are enough to reject a bad one.
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
  /// The part of the responses that failed or were slow, from 0 to 1; 0 when there are none.
  double failure_rate() const {
    return total() ? static_cast<double>(failed_or_slow()) / static_cast<double>(total()) : 0;
  }
  /// The mean latency in milliseconds; 0 when there are no responses.
  double mean_ms() const {
    return total() ? static_cast<double>(total_ms) / static_cast<double>(total()) : 0;
  }
  OutcomeCounts& operator+=(const OutcomeCounts& other);
};

/// One process that counts: a restart takes nothing away from what was reported before it.
struct ReportingProcess {
  std::string source;
  uint64_t incarnation = 0;
  bool operator<(const ReportingProcess& other) const {
    return std::tie(source, incarnation) < std::tie(other.source, other.incarnation);
  }
};

/// By the label of the route.
using ByRoute = std::map<std::string, OutcomeCounts>;

/// Over all routes.
OutcomeCounts sum(const ByRoute& routes);

/// What has been counted of one canary and its baseline.
struct CanarySample {
  ByRoute canary, baseline;            ///< since the canary began
  ByRoute warm_canary, warm_baseline;  ///< since the canary's instances were first warm
  ByRoute after_switch;                ///< by the canary, since it has all the load
};

/// Adds the counters up. Does no I/O; used by the thread that runs control only.
class CanaryStatistics {
 public:
  /// By service.
  using States = std::map<std::string, pb::ServiceState>;

  /// Takes the present counters; what they have risen by since the last call counts for the present state.
  /// @param statuses  by source
  /// @param warm      services whose canary has warm instances now
  void update(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
              const std::set<std::string>& warm = {});

  /// The sample of a service's present canary; empty when it has none.
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

  std::map<std::string, Canary> canaries_;         ///< by service; those under way
  std::map<std::string, SourceCounters> sources_;  ///< by source
  bool counters_noted_ = false;  ///< the first update only notes counters: what they hold is of before
};

/// Whether the canary is so much worse, on all routes together or on one, that no more evidence is needed.
[[nodiscard]] bool is_clearly_worse(const CanarySample& sample);

/// What on some route is worse, with evidence enough to end the canary; empty: nothing.
std::string regression(const CanarySample& sample);

/// What speaks against promotion, as yet or for good: too little evidence on a route, or more failures or
/// slower responses than the baseline's; empty: nothing.
std::string promotion_blocker(const CanarySample& sample);

/// What, seen after the switch on a route too rare for regression(), ends it; empty: nothing.
std::string regression_after_switch(const CanarySample& sample);

}  // namespace dunlinwing::canary
