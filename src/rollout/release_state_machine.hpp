// The control reducer of rollout: a pure step from the recorded state and one
// event to the next state and the effects wanted. No clock, no network, no
// random: whoever holds the leadership feeds it what was seen and for how long.
#pragma once
#include <set>

#include "base/common.hpp"
#include "config/release.hpp"
#include "config/system_options.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

struct NodeObservation {
  std::string name, zone;
  bool present = false;      // its session stands
  bool drained = false;      // takes no callers, so it gives no evidence
  bool keeps_state = false;  // a holder, or one of a duty's pair
  std::map<std::string, std::string> running;
  std::string load_error;
  uint64_t requests = 0, failures = 0;  // since the last sight
  uint64_t checks_passed = 0, checks_failed = 0;
  uint64_t heartbeats = 0,
           heartbeats_usual =
               0;  // of workers taken here since the last sight; thousandths usual before the release
};

struct ReleaseRecorded {
  config::Release release;
};
struct FleetObservation {
  Duration elapsed{0};  // observed under the read_lease since the last sight
  bool in_quiet_hours = true;
  std::vector<NodeObservation> nodes;
  std::map<std::string, config::Release> releases;             // by register name
  std::map<std::string, pb::OperatorAction> operator_actions;  // by release register name
  // Entries of Rollout.forgotten whose mark in their act register every leader must know by now.
  std::set<std::string> forgotten_everywhere;
};
struct LeadershipAcquired {
  uint64_t term = 0;
};
using Event = std::variant<LeadershipAcquired, ReleaseRecorded, FleetObservation>;

struct LogEffect {
  std::string message;
};
struct PersistEffect {
  bool urgent = false;  // an assignment changed; else only time was recorded
};
using Effect = std::variant<LogEffect, PersistEffect>;

struct RolloutRules {
  double scale = 1;  // holds are divided by it; only the fleet runner sets it
  Duration bound{2000};
  config::SystemOptions system;
  Duration hold(const config::Release& r, pb::Phase p) const;
  Duration settle_time() const { return bound; }
  // Software restarts its machine, which may be away for a while.
  Duration absence(const std::string& kind) const { return kind == "software" ? bound * 20 : Duration(0); }
};

struct StepResult {
  pb::RolloutState state;
  std::vector<Effect> effects;
};

StepResult step(const pb::RolloutState& state, const Event& event, const RolloutRules& rules);

const pb::ReleaseProgress* active_release(const pb::RolloutState& state, const std::string& kind);
bool is_finished(pb::Phase p);

}  // namespace dunlinwing::rollout
