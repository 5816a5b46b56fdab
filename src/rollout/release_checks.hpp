/// @file
/// The conditions for leaving a phase of a release: its nodes run it, no check has failed, and there is
/// enough evidence.
///
/// The nodes on a release are compared with the other nodes (the baseline) over the same time, so that a
/// problem of the whole fleet does not stop a release, and one on the release's nodes alone does.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

// The names of the checks, by which operators waive them. They appear in URLs and stored operator actions.
inline constexpr const char* kPresenceCheck = "beats";          ///< nodes on the release are lost
inline constexpr const char* kHeartbeatCheck = "worker-beats";  ///< backend instances' heartbeats are missing
inline constexpr const char* kLoadCheck = "load";               ///< a node cannot load the release
inline constexpr const char* kFailureCheck = "defects";         ///< requests fail
inline constexpr const char* kHealthCheck = "probes";           ///< health checks of nodes fail
inline constexpr const char* kEvidenceCheck = "evidence";       ///< too few requests or health checks
inline constexpr const char* kChecks[] = {kPresenceCheck, kHeartbeatCheck, kLoadCheck,
                                          kFailureCheck,  kHealthCheck,    kEvidenceCheck};

/// Whether the node reports that it runs the release.
bool runs_release(const NodeObservation& node, const pb::ReleaseProgress& progress);

/// Whether at least one node is assigned the release, and all nodes assigned it run it.
bool all_run_release(const pb::ReleaseProgress& progress, const FleetObservation& observation,
                     const pb::RolloutState& state);

/// Adds the counts of the observation to the evidence of the phase.
void accumulate_evidence(pb::ReleaseProgress& progress, const FleetObservation& observation,
                         const pb::RolloutState& state);

/// @return the failed check that stops the release, with its figures; nothing if none has failed
std::optional<std::string> failed_check(const pb::ReleaseProgress& progress,
                                        const FleetObservation& observation, const pb::RolloutState& state,
                                        const RolloutRules& rules, const pb::OperatorAction& action);

/// @return the evidence that the release still needs to leave its phase; nothing if there is enough
std::optional<std::string> missing_evidence(const pb::ReleaseProgress& progress, const RolloutRules& rules,
                                            const pb::OperatorAction& action);

}  // namespace dunlinwing::rollout
