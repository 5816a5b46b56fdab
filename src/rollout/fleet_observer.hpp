/// @file
/// Builds the input of the release state machine from the nodes' statuses and the recorded releases. It runs
/// on every node that is a candidate for the leadership, so that the counters are up to date when that node
/// becomes leader.
/// Threads: the fiber of the rollout controller. Never waits.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/health_prober.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

using ReleasesByKey = std::map<std::string, config::Release>;  ///< by register name

/// The usual rate of heartbeats that a node accepts: a moving average dominated by the latest two minutes.
class AverageHeartbeatRate {
 public:
  /// Adds the rate measured over one observation.
  void add_sample(double per_second);
  /// Whether there are enough observations to use the average as the usual rate.
  bool has_enough_samples() const;
  double per_second() const { return per_second_; }

 private:
  double per_second_ = 0;
  uint64_t observations_ = 0;
};

class FleetObserver {
 public:
  /// The references have to outlive the observer.
  /// @param bound  of the fleet; upper limit of the time that one observation is assumed to cover
  FleetObserver(membership::StateCache& state_cache, membership::Leadership& leadership, HealthProber& prober,
                Duration bound);

  /// Observes the fleet. Counts are increases since the previous call.
  /// @param elapsed  time observed under the lease since the previous call
  /// @param state    of the releases
  /// @return the observation, without its `removable_forgotten`
  FleetObservation observe(TimePoint now, Duration elapsed, const pb::RolloutState& state,
                           const config::QuietHours& quiet_hours);

  /// The releases that were recorded at the last observation.
  const ReleasesByKey& releases() const { return releases_; }

 private:
  /// The counters that a node last reported. They restart from zero with each incarnation.
  struct NodeCounters {
    uint64_t incarnation = 0;
    uint64_t requests = 0;
    uint64_t failures = 0;
    uint64_t heartbeats = 0;
    AverageHeartbeatRate heartbeat_rate;  ///< measured while on no active release; kept across incarnations
  };

  std::vector<NodeObservation> observe_nodes(TimePoint now, const pb::RolloutState& state);
  void count(const pb::NodeStatus& status, double seconds, bool on_active_release, NodeObservation& node);
  void read_registers(FleetObservation& observation);
  void read_release(const std::string& key, const std::string& document);

  membership::StateCache& state_cache_;
  membership::Leadership& leadership_;
  HealthProber& prober_;
  Duration bound_;
  TimePoint last_observation_{0};                 ///< time of the last observation; 0: none yet
  std::map<std::string, NodeCounters> counters_;  ///< by node
  ReleasesByKey releases_;                        ///< each is parsed once, since releases are immutable
};

}  // namespace dunlinwing::rollout
