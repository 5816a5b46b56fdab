/// @file
/// Observes version rollouts with a deadline on every node that is a candidate for the leadership, so that it
/// can continue them when it becomes leader: when each was requested, since when the canary's backend
/// instances have been warm, and their responses.
///
/// Unknown facts count against a rollout, except for the time of its request (rollout/version_request_times).
/// A node that starts observing during a rollout takes it from the other nodes' statuses. Until they have
/// come it uses the recorded time alone, which is too short: a switch that begins too early exceeds the
/// allowance. If none has come in a bound, it adds a lease duration and a bound for what was recorded late,
/// so that the deadline holds. Threads: the fiber of the rollout controller. Never waits.
#pragma once
#include "membership/backend_instance.hpp"
#include "membership/state_cache.hpp"
#include "rollout/version_request_times.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

class VersionRolloutObserver {
 public:
  /// @param bound  of the fleet
  explicit VersionRolloutObserver(Duration bound) : bound_(bound) {}

  /// Observes all services.
  /// @param pulled_at  start of the pull that returned the observed values
  /// @param chosen     chosen values; the recorded service states are among them
  /// @param statuses   by source
  /// @param instances  by name
  void update(TimePoint now, TimePoint pulled_at, const membership::ChosenValues& chosen,
              const std::map<std::string, pb::NodeStatus>& statuses,
              const std::map<std::string, membership::BackendInstanceStatus>& instances);

  /// Fills in the members of the observation for a rollout with a deadline. Does nothing if the state has
  /// another canary than at the last update.
  void fill_observation(TimePoint now, const std::string& service, const pb::ServiceState& state,
                        VersionRolloutObservation& observation) const;

 private:
  struct ObservedRollout {
    uint64_t canary_number = 0;
    TimePoint requested_at{0};
    bool knows_request = false;  ///< `requested_at` is no longer corrected
    TimePoint first_observed_at{0};
    TimePoint warm_since{0};          ///< when all instances that the canary uses were warm; 0: some are not
    TimePoint switch_observed_at{0};  ///< when the switch was first observed; 0: not yet
    InstanceCountsByVersion warm_instances;
    std::map<canary::ReportingProcess, uint64_t> sent_to_canary;  ///< the highest count that each reported
    bool all_follow_switch = false;
  };
  /// The backend instances of all services that are not gone.
  struct InstanceView {
    std::map<std::string, std::vector<membership::BackendInstance>> by_service;
    std::map<std::string, InstanceCountsByVersion> warm_by_service;
    std::set<std::string> cold;  ///< names of the instances that have not warmed up
  };

  static InstanceView view_instances(
      const std::map<std::string, membership::BackendInstanceStatus>& instances);
  void observe(TimePoint now, const std::string& service, const pb::ServiceState& state, InstanceView& view);
  void estimate_request_time(TimePoint now, const std::string& service, const pb::ServiceState& state,
                             const std::map<std::string, pb::NodeStatus>& statuses,
                             ObservedRollout& rollout) const;
  static void observe_nodes(const std::string& service, const pb::ServiceState& state,
                            const std::map<std::string, pb::NodeStatus>& statuses, ObservedRollout& rollout);
  bool is_warm(TimePoint now, const ObservedRollout& rollout) const;

  Duration bound_;
  VersionRequestTimes request_times_;
  TimePoint first_update_{0};                        ///< 0: none yet
  std::map<std::string, ObservedRollout> rollouts_;  ///< by service: running rollouts
  canary::CanaryStatistics statistics_;
};

}  // namespace dunlinwing::rollout
