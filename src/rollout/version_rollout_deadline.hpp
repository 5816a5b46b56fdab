/// @file
/// A version rollout with a deadline: it is judged late, then all requests are switched to the new version,
/// and it is completed once no node can still send to the old one. Without a verdict in time it is rolled
/// back.
///
/// A bad version that is promoted breaks a rule, a good one that is not costs little: every doubt ends in a
/// roll-back. The verdict comes as late as the deadline allows, which leaves the most time for evidence and,
/// should the version turn bad only under the full load, the least time for that. During the switch the nodes
/// still judge, and go back by themselves.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

/// The next state of a service that has a canary with a deadline; any change of it is to be recorded.
VersionRolloutStep step_with_deadline(const std::string& service, const pb::ServiceState& state,
                                      const VersionRolloutObservation& observation,
                                      const RolloutRules& rules);

}  // namespace dunlinwing::rollout
