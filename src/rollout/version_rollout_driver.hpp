/// @file
/// Drives the version rollouts of all services: accumulates the response counts that nodes report and, while
/// this node leads, runs each service's step and records its state.
///
/// Invariants: every write is a compare-and-set on the version last known and passes the leadership fence.
/// The first write under a term is never deferred: it invalidates decisions of earlier terms. A step's log
/// lines are written only once its state is recorded. Threads: the fiber of the rollout controller; a write
/// waits for the network.
#pragma once
#include "membership/leadership_fence.hpp"
#include "rollout/version_rollout_observer.hpp"

namespace dunlinwing::rollout {

class VersionRolloutDriver {
 public:
  /// The references have to outlive the driver.
  VersionRolloutDriver(consensus::RegisterClient& registers, membership::StateCache& state_cache,
                       membership::Leadership& leadership, const membership::LeadershipFence& fence,
                       Duration bound);

  /// Updates the counts; on the leader, also runs one step of each service.
  /// @param elapsed  time observed under the lease since the previous call
  void tick(TimePoint now, Duration elapsed, const RolloutRules& rules);

  /// Whether the next tick should follow soon: a switch is in progress or imminent.
  bool is_urgent() const { return urgent_; }

 private:
  using Observations = std::map<std::string, VersionRolloutObservation>;  // by service
  using Statuses = std::map<std::string, pb::NodeStatus>;                 // by source

  /// The response counts that a source last reported. They restart from zero with each incarnation.
  struct ReportedTotals {
    uint64_t incarnation = 0;
    ResponseTotals totals;
  };
  /// By service/version/route.
  using ReportedByKey = std::map<std::string, ReportedTotals>;
  /// Responses counted between two calls.
  struct TimedTotals {
    TimePoint at;
    std::string service;
    std::string version;
    ResponseTotals totals;
  };
  /// The latest state of a service that this node knows.
  struct ServiceRecord {
    uint64_t version = 0;     ///< of the register
    pb::ServiceState state;   ///< of that version, or of a later step whose write is deferred
    TimePoint last_write{0};  ///< time of the last write by this node
  };

  void count_responses(TimePoint now, const Statuses& statuses, Observations& observations);
  ResponseTotals take_increase(const pb::NodeStatus& status, const pb::VersionCounts& counts,
                               ReportedByKey& latest);
  void sum_recent(TimePoint now, Observations& observations) const;
  double requests_per_second(TimePoint now, const std::string& service) const;
  void count_instances(TimePoint now, Observations& observations) const;
  void step_service(TimePoint now, const std::string& service, const RolloutRules& rules,
                    const VersionRolloutObservation& observation);
  ServiceRecord& current_record(const std::string& service, const consensus::VersionedValue& value);

  consensus::RegisterClient& registers_;
  membership::StateCache& state_cache_;
  membership::Leadership& leadership_;
  const membership::LeadershipFence& fence_;
  Duration bound_;
  std::map<std::string, ReportedByKey> reported_;  ///< by source: the counts in its latest status
  std::vector<TimedTotals> recent_;                ///< of the last minute, oldest first
  std::map<std::string, ServiceRecord> services_;
  VersionRolloutObserver observer_;
  bool urgent_ = false;
};

}  // namespace dunlinwing::rollout
