// Moving a service to a new worker version: a trial of a bounded share, then
// promotion on evidence, or quarantine. A pure step, like rollout's own.
#pragma once
#include "rollout/reducer.hpp"
#include "traffic/docket.hpp"

namespace dunlinwing::rollout {

struct Counts {
  uint64_t good = 0, bad = 0;
};

struct MoveSight {
  Duration dt{0};
  std::map<std::string, Counts> delta;   // by version, since the last sight
  std::map<std::string, Counts> recent;  // by version, over the last ten seconds
  std::map<std::string, Counts> minute;  // by version, over the last minute
  std::map<std::string, int> workers;    // by version, beating
  bool given_up = false;                 // some relay has given the trial up by itself
  // For a move with a term:
  Duration asked{0};                // at least so long ago it was asked for
  Duration switching{0};            // so long ago at the most its switch was recorded
  std::map<std::string, int> warm;  // by version, beating and not cold
  bool all_warm = false;            // the workers that the trial asks are warm, and were a while ago
  traffic::Seen seen;
};

struct MoveOutcome {
  pb::ServiceState state;
  std::vector<Effect> effects;
};
MoveOutcome step(const std::string& service, const pb::ServiceState& s, const MoveSight& v, const Rules& r);

// A move within a term (term.cpp): judged late in it, then switched as a whole, and
// completed once no relay can still send to the old version. Without a verdict in time
// the version is rolled back.
MoveOutcome step_term(const std::string& service, const pb::ServiceState& s, const MoveSight& v,
                      const Rules& r);

// Drops the oldest former versions that no worker beats with, beyond the sixteen latest of them.
void prune_kept(pb::ServiceState& s, const std::map<std::string, int>& workers);
void drop_trial(pb::ServiceState& s);  // without a verdict
// Opens a trial; `within` 0: without a term.
void open_trial(pb::ServiceState& s, const std::string& version, Duration within, Duration longest);
// What the operator is told of a move with a term: running, completed, rolled_back, or empty when none was
// asked for.
std::string outcome(const pb::ServiceState& s);

std::string service_key(const std::string& service);

}  // namespace dunlinwing::rollout
