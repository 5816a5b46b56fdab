// What a holder, with the leadership or without, sees of moves with a term, so that it can go
// on with them whenever the leadership comes to it: since when it knows of each, since when
// its workers are warm, and what came back.
#pragma once
#include "membership/state_cache.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

class VersionRolloutObserver {
 public:
  explicit VersionRolloutObserver(Duration bound) : bound_(bound) {}
  void update(TimePoint now, const membership::ChosenValues& chosen,
              const std::map<std::string, pb::NodeStatus>& statuses,
              const std::map<std::string, membership::BackendInstanceStatus>& workers);
  void fill_observation(TimePoint now, const std::string& service, const pb::ServiceState& state,
                        VersionRolloutObservation& observation) const;

 private:
  struct ObservedRollout {
    uint64_t number = 0;
    TimePoint requested{0}, warm_since{0}, switch_seen{0};
    std::map<std::string, int> warm_instances;
  };
  Duration bound_;
  TimePoint last_{0};
  std::map<std::string, ObservedRollout> cases_;
  canary::CanaryStatistics docket_;
};

}  // namespace dunlinwing::rollout
