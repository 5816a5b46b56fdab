/// @file
/// A version rollout with a deadline: after a late verdict all requests are switched to the new version, and
/// the rollout is completed once no node can still send to the old one. Without a verdict in time it is
/// rolled back.
///
/// Promoting a bad version violates a requirement, while rejecting a good one costs little: every doubt ends
/// in a rollback. The verdict comes as late as the deadline allows, which leaves the most time for evidence
/// and the least time under full load for a version that turns bad only then. During the switch the nodes
/// still evaluate the canary and abort it on their own.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

/// Returns the next state of a service that has a canary with a deadline; any change of it is to be recorded.
VersionRolloutStep step_with_deadline(const std::string& service, const pb::ServiceState& state,
                                      const VersionRolloutObservation& observation,
                                      const RolloutRules& rules);

}  // namespace dunlinwing::rollout
