// Moving a service to a new worker version: a trial of a bounded share, then
// promotion on evidence, or quarantine. A pure step, like rollout's own.
#pragma once
#include "canary/canary_statistics.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

struct VersionTotals {
  uint64_t good = 0, bad = 0;
};

struct VersionRolloutObservation {
  Duration elapsed{0};
  std::map<std::string, VersionTotals> delta;   // by version, since the last sight
  std::map<std::string, VersionTotals> recent;  // by version, over the last ten seconds
  std::map<std::string, VersionTotals> minute;  // by version, over the last minute
  std::map<std::string, int> instances;         // by version, beating
  bool aborted = false;                         // some relay has given the trial up by itself
  // For a move with a term:
  Duration since_requested{0};                // at least so long ago it was asked for
  Duration since_switch{0};                   // so long ago at the most its switch was recorded
  std::map<std::string, int> warm_instances;  // by version, beating and not cold
  bool all_warm = false;  // the workers that the trial asks are warm, and were a while ago
  canary::CanarySample sample;
};

struct VersionRolloutStep {
  pb::ServiceState state;
  std::vector<Effect> effects;
};
VersionRolloutStep step(const std::string& service, const pb::ServiceState& state,
                        const VersionRolloutObservation& observation, const RolloutRules& rules);

// A move within a term (term.cpp): judged late in it, then switched as a whole, and
// completed once no relay can still send to the old version. Without a verdict in time
// the version is rolled back.
VersionRolloutStep step_with_deadline(const std::string& service, const pb::ServiceState& state,
                                      const VersionRolloutObservation& observation,
                                      const RolloutRules& rules);

// Drops the oldest former versions that no worker beats with, beyond the sixteen latest of them.
void prune_previous_versions(pb::ServiceState& state, const std::map<std::string, int>& workers);
void drop_canary(pb::ServiceState& state);  // without a verdict
// Opens a trial; `within` 0: without a term.
void start_canary(pb::ServiceState& state, const std::string& version, Duration within, Duration longest);
// What the operator is told of a move with a term: running, completed, rolled_back, or empty when none was
// asked for.
std::string rollout_outcome(const pb::ServiceState& state);

std::string service_key(const std::string& service);

}  // namespace dunlinwing::rollout
