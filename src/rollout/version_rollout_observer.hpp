/// @file
/// What a node that stands for the leadership sees of version rollouts with a deadline, whether it leads or
/// not, so that it can go on with them whenever the leadership comes to it: since when it knows of each,
/// since when the canary's backend instances are warm, and what they answered.
///
/// Whatever is not known counts against a rollout, but for the moment of its request: that is taken as
/// half-way between the pull that first brought it and the one before. A node that begins to observe in the
/// midst of it takes the recorded time, and adds the span of a lease and a bound for what was recorded late.
/// Threads: the fiber of the rollout controller. Never waits.
#pragma once
#include "membership/backend_instance.hpp"
#include "membership/state_cache.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

class VersionRolloutObserver {
 public:
  /// @param bound  of the fleet
  explicit VersionRolloutObserver(Duration bound) : bound_(bound) {}

  /// Observes all services once more.
  /// @param pulled_at  when the pull began that brought what is observed
  /// @param chosen     the recorded states among others
  /// @param statuses   by source
  /// @param instances  by name
  void update(TimePoint now, TimePoint pulled_at, const membership::ChosenValues& chosen,
              const std::map<std::string, pb::NodeStatus>& statuses,
              const std::map<std::string, membership::BackendInstanceStatus>& instances);

  /// Fills in what the observation has of a rollout with a deadline; nothing when the state has another
  /// canary than at the last update.
  void fill_observation(TimePoint now, const std::string& service, const pb::ServiceState& state,
                        VersionRolloutObservation& observation) const;

 private:
  struct ObservedRollout {
    uint64_t canary_number = 0;
    TimePoint requested{0};   ///< as near as pulls tell
    TimePoint warm_since{0};  ///< all instances that the canary uses; 0: some are not warm
    TimePoint switched{0};    ///< when the switch was first seen; 0: it was not
    InstancesByVersion warm_instances;
    std::map<canary::ReportingProcess, uint64_t> sent_to_canary;  ///< the most that each reported
    bool all_follow_switch = false;
  };
  /// The backend instances of all services that are not gone.
  struct InstanceView {
    std::map<std::string, std::vector<membership::BackendInstance>> by_service;
    std::map<std::string, InstancesByVersion> warm_by_service;
    std::set<std::string> cold;  ///< by name: those that have not warmed up
  };

  static InstanceView view_instances(
      const std::map<std::string, membership::BackendInstanceStatus>& instances);
  void observe(TimePoint now, TimePoint pulled_at, const std::string& service, const pb::ServiceState& state,
               InstanceView& view);
  static void observe_nodes(const std::string& service, const pb::ServiceState& state,
                            const std::map<std::string, pb::NodeStatus>& statuses, ObservedRollout& rollout);
  TimePoint request_time(TimePoint now, TimePoint pulled_at, const pb::ServiceState& state) const;
  bool is_warm(TimePoint now, const ObservedRollout& rollout) const;

  Duration bound_;
  TimePoint pulled_at_{0};                           ///< of the last update; 0: there was none
  TimePoint first_update_{0};                        ///< 0: there was none
  std::map<std::string, ObservedRollout> rollouts_;  ///< by service: those that go on
  canary::CanaryStatistics statistics_;
};

}  // namespace dunlinwing::rollout
