// Moving a service to a new worker version: a trial of a bounded share, then
// promotion on evidence, or quarantine. A pure step, like rollout's own.
#pragma once
#include "rollout/reducer.hpp"

namespace dunlinwing::rollout {

struct Counts {
  uint64_t good = 0, bad = 0;
};

struct MoveSight {
  Span dt{0};
  std::map<std::string, Counts> delta;   // by version, since the last sight
  std::map<std::string, Counts> recent;  // by version, over the last ten seconds
  std::map<std::string, Counts> minute;  // by version, over the last minute
  std::map<std::string, int> workers;    // by version, beating
  bool given_up = false;                 // some relay has given the trial up by itself
};

struct MoveOutcome {
  pb::ServiceState state;
  std::vector<Effect> effects;
};
MoveOutcome step(const std::string& service, const pb::ServiceState& s, const MoveSight& v, const Rules& r);

std::string service_key(const std::string& service);

}  // namespace dunlinwing::rollout
