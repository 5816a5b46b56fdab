/// @file
/// Turns the statuses of nodes and the recorded releases into what the state machine of releases is fed with.
/// It runs on every node that stands for the leadership, so that its counters are known when the leadership
/// comes to it.
/// Threads: the fiber of the rollout controller. Never waits.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/health_prober.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

using ReleasesByKey = std::map<std::string, config::Release>;  ///< by the name of their register

/// The rate of heartbeats that usually come through a node: a mean, in which the latest two minutes count
/// most.
class UsualHeartbeatRate {
 public:
  /// Takes the rate over one observation.
  void learn(double per_second);
  /// Whether there were observations enough for the mean to be taken for usual.
  bool is_known() const;
  double per_second() const { return per_second_; }

 private:
  double per_second_ = 0;
  uint64_t observations_ = 0;
};

class FleetObserver {
 public:
  /// The references have to outlive the observer.
  /// @param bound  of the fleet; the most time that one observation is taken to cover
  FleetObserver(membership::StateCache& state_cache, membership::Leadership& leadership, HealthProber& prober,
                Duration bound);

  /// Observes the fleet once more; counts are those since the call before.
  /// @param elapsed  observed under the lease since then
  /// @param state    of the releases
  /// @return the observation, but for its `forgotten_everywhere`
  FleetObservation observe(TimePoint now, Duration elapsed, const pb::RolloutState& state,
                           const config::QuietHours& quiet_hours);

  /// The releases recorded when the fleet was last observed.
  const ReleasesByKey& releases() const { return releases_; }

 private:
  /// Counters of a node as it last reported them. They start from zero with each incarnation.
  struct NodeCounters {
    uint64_t incarnation = 0;
    uint64_t requests = 0;
    uint64_t failures = 0;
    uint64_t heartbeats = 0;
    UsualHeartbeatRate usual;  ///< while it was on no release in its phases; lasts over incarnations
  };

  std::vector<NodeObservation> observe_nodes(TimePoint now, const pb::RolloutState& state);
  void count(const pb::NodeStatus& status, double seconds, bool on_active_release, NodeObservation& node);
  void read_registers(FleetObservation& observation);
  void read_release(const std::string& key, const std::string& document);

  membership::StateCache& state_cache_;
  membership::Leadership& leadership_;
  HealthProber& prober_;
  Duration bound_;
  TimePoint observed_{0};                         ///< the last observation; 0: there was none
  std::map<std::string, NodeCounters> counters_;  ///< by node
  ReleasesByKey releases_;                        ///< each is parsed once: releases never change
};

}  // namespace dunlinwing::rollout
