// What gates a phase: whether the release's nodes run it, whether a check has
// failed, and whether there is enough evidence to go on.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

// The names by which operators waive them.
inline constexpr const char* kChecks[] = {"beats", "worker-beats", "load", "defects", "probes", "evidence"};

bool runs_release(const NodeObservation& n, const pb::ReleaseProgress& progress);
bool all_run_release(const pb::ReleaseProgress& progress, const FleetObservation& observation,
                     const pb::RolloutState& state);
void accumulate_evidence(pb::ReleaseProgress& progress, const FleetObservation& observation,
                         const pb::RolloutState& state);
std::optional<std::string> failed_check(const pb::ReleaseProgress& progress,
                                        const FleetObservation& observation, const pb::RolloutState& state,
                                        const RolloutRules& rules, const pb::OperatorAction& action);
std::optional<std::string> missing_evidence(const pb::ReleaseProgress& progress, const RolloutRules& rules,
                                            const pb::OperatorAction& action);

}  // namespace dunlinwing::rollout
