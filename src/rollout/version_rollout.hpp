/// @file
/// The version rollout of a service: a canary with a bounded share of the requests, then promotion on
/// evidence, or quarantine. A pure step from the recorded state and an observation to the next state.
///
/// A canary that reaches the limit of bad answers is put into quarantine for good, however the version in
/// place fares. A promoted version that turns bad, while a version before it still has backend instances and
/// answers better, gives way to that one. Threads: any; nothing is shared.
#pragma once
#include "canary/canary_statistics.hpp"
#include "rollout/release_state_machine.hpp"
#include "rollout/service_state.hpp"

namespace dunlinwing::rollout {

/// Answers of one version.
struct VersionTotals {
  uint64_t good = 0;
  uint64_t bad = 0;

  uint64_t total() const { return good + bad; }
  VersionTotals& operator+=(const VersionTotals& other);
  /// Whether its rate of bad answers is above twice the other's and a hundredth.
  bool is_worse_than(const VersionTotals& other) const;
};
using TotalsByVersion = std::map<std::string, VersionTotals>;

/// One service as the leader sees it.
struct VersionRolloutObservation {
  Duration elapsed{0};           ///< observed under the lease since the previous observation
  TotalsByVersion delta;         ///< since the previous observation
  TotalsByVersion recent;        ///< over the last ten seconds
  TotalsByVersion minute;        ///< over the last minute
  InstancesByVersion instances;  ///< those that send heartbeats
  bool aborted = false;          ///< some node has aborted the canary by itself

  // The others are of a version rollout with a deadline alone.
  Duration since_requested{0};        ///< at least so long ago it was requested
  Duration since_switch{0};           ///< at most so long ago its switch was recorded
  InstancesByVersion warm_instances;  ///< of `instances`, those that have warmed up
  bool all_warm = false;              ///< all that the canary uses have been warm for a while
  canary::CanarySample sample;
  uint64_t sent_to_canary = 0;     ///< requests, whatever came of them
  double requests_per_second = 0;  ///< of the service, lately
  /// All nodes that have been heard of within a session send to the canary alone.
  bool all_follow_switch = false;
};

struct VersionRolloutStep {
  pb::ServiceState state;
  std::vector<Effect> effects;
  bool is_urgent = false;  ///< a switch is under way or about to begin: the next step should come soon
};

/// The next state of the service. A state without any PersistEffect is unchanged.
VersionRolloutStep step(const std::string& service, const pb::ServiceState& state,
                        const VersionRolloutObservation& observation, const RolloutRules& rules);

}  // namespace dunlinwing::rollout
