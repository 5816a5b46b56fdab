/// @file
/// What gates a phase of a release: whether its nodes run it, whether a check has failed, and whether there
/// is enough evidence to go on.
///
/// The nodes on a release are compared with those not on it over the same time, so that a bad hour for all
/// does not stop a release, and a release that alone is bad is stopped.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

// The names of the checks, by which operators waive them; they stand in URLs and in stored operator actions.
inline constexpr const char* kPresenceCheck = "beats";          ///< nodes on the release are lost
inline constexpr const char* kHeartbeatCheck = "worker-beats";  ///< backend instances' heartbeats stay away
inline constexpr const char* kLoadCheck = "load";               ///< a node cannot load the release
inline constexpr const char* kFailureCheck = "defects";         ///< requests fail
inline constexpr const char* kHealthCheck = "probes";           ///< health checks of nodes fail
inline constexpr const char* kEvidenceCheck = "evidence";       ///< too little was seen
inline constexpr const char* kChecks[] = {kPresenceCheck, kHeartbeatCheck, kLoadCheck,
                                          kFailureCheck,  kHealthCheck,    kEvidenceCheck};

/// Whether the node reports that it runs the release.
bool runs_release(const NodeObservation& node, const pb::ReleaseProgress& progress);

/// Whether at least one node is assigned the release, and all that are run it.
bool all_run_release(const pb::ReleaseProgress& progress, const FleetObservation& observation,
                     const pb::RolloutState& state);

/// Adds what was counted since the previous observation to the evidence of the phase.
void accumulate_evidence(pb::ReleaseProgress& progress, const FleetObservation& observation,
                         const pb::RolloutState& state);

/// @return the check that stops the release, with its figures; nothing: none has failed
std::optional<std::string> failed_check(const pb::ReleaseProgress& progress,
                                        const FleetObservation& observation, const pb::RolloutState& state,
                                        const RolloutRules& rules, const pb::OperatorAction& action);

/// @return what has to be seen before the release leaves its phase; nothing: there is enough evidence
std::optional<std::string> missing_evidence(const pb::ReleaseProgress& progress, const RolloutRules& rules,
                                            const pb::OperatorAction& action);

}  // namespace dunlinwing::rollout
