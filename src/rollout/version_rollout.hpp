/// @file
/// The version rollout of a service: a canary with a bounded share of the requests, then promotion on
/// evidence, or quarantine. A pure step from the recorded state and an observation to the next state.
///
/// A canary that reaches the limit of bad responses is quarantined permanently, regardless of the version in
/// place. If a promoted version turns bad while a previous version still has backend instances and a lower
/// rate of bad responses, the service goes back to that one. Threads: any; nothing is shared.
#pragma once
#include "canary/canary_statistics.hpp"
#include "rollout/release_state_machine.hpp"
#include "rollout/service_state.hpp"

namespace dunlinwing::rollout {

/// Counts of good and bad responses of one version.
struct ResponseTotals {
  uint64_t good = 0;
  uint64_t bad = 0;

  uint64_t total() const { return good + bad; }
  ResponseTotals& operator+=(const ResponseTotals& other);
  /// Whether its rate of bad responses is above twice the other's plus 0.01.
  bool is_worse_than(const ResponseTotals& other) const;
};
using ResponseTotalsByVersion = std::map<std::string, ResponseTotals>;

/// One service as the leader sees it.
struct VersionRolloutObservation {
  Duration elapsed{0};                ///< time observed under the lease since the previous observation
  ResponseTotalsByVersion delta;      ///< since the previous observation
  ResponseTotalsByVersion recent;     ///< over the last ten seconds
  ResponseTotalsByVersion minute;     ///< over the last minute
  InstanceCountsByVersion instances;  ///< those that send heartbeats
  bool aborted = false;               ///< some node has aborted the canary on its own

  // The remaining members are set only for a version rollout with a deadline.
  Duration since_requested{0};             ///< lower bound of the time since the rollout was requested
  Duration since_switch{0};                ///< upper bound of the time since its switch was recorded
  InstanceCountsByVersion warm_instances;  ///< of `instances`, those that have warmed up
  bool all_warm = false;                   ///< all instances that the canary uses have been warm for a while
  canary::CanarySample sample;
  uint64_t sent_to_canary = 0;     ///< requests, whatever their outcome
  double requests_per_second = 0;  ///< recent request rate of the service
  /// All nodes that have reported within a session send to the canary only.
  bool all_follow_switch = false;
};

struct VersionRolloutStep {
  pb::ServiceState state;
  std::vector<Effect> effects;
  bool is_urgent = false;  ///< a switch is in progress or imminent: the next step should follow soon
};

/// Returns the next state of the service. Without a PersistEffect the state is unchanged.
VersionRolloutStep step(const std::string& service, const pb::ServiceState& state,
                        const VersionRolloutObservation& observation, const RolloutRules& rules);

}  // namespace dunlinwing::rollout
