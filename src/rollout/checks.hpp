// What gates a phase: whether the release's nodes run it, whether a check has
// failed, and whether there is enough evidence to go on.
#pragma once
#include "rollout/reducer.hpp"

namespace dunlinwing::rollout {

// The names by which operators waive them.
inline constexpr const char* kChecks[] = {"beats", "worker-beats", "load", "defects", "probes", "evidence"};

bool runs(const NodeSight& n, const pb::Course& c);
bool runs_all(const pb::Course& c, const Sight& v, const pb::Rollout& s);
void gather(pb::Course& c, const Sight& v, const pb::Rollout& s);
std::optional<std::string> failed(const pb::Course& c, const Sight& v, const pb::Rollout& s, const Rules& r,
                                  const pb::Act& act);
std::optional<std::string> wanting(const pb::Course& c, const Rules& r, const pb::Act& act);

}  // namespace dunlinwing::rollout
