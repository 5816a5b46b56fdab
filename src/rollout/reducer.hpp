// The control reducer of rollout: a pure step from the recorded state and one
// event to the next state and the effects wanted. No clock, no network, no
// random: whoever holds the leadership feeds it what was seen and for how long.
#pragma once
#include <set>

#include "base/common.hpp"
#include "rollout/release.hpp"
#include "rollout/system.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

struct NodeSight {
  std::string name, zone;
  bool present = false;  // its session stands
  bool drained = false;  // takes no callers, so it gives no evidence
  bool keeper = false;   // a holder, or one of a duty's pair
  std::map<std::string, std::string> running;
  std::string load_defect;
  uint64_t requests = 0, defects = 0;  // since the last sight
  uint64_t probes_ok = 0, probes_bad = 0;
  uint64_t beats = 0,
           beats_usual =
               0;  // of workers taken here since the last sight; thousandths usual before the release
};

struct Recorded {
  Release release;
};
struct Sight {
  Duration dt{0};  // observed under the read_lease since the last sight
  bool quiet = true;
  std::vector<NodeSight> nodes;
  std::map<std::string, Release> releases;  // by register name
  std::map<std::string, pb::Act> acts;      // by release register name
  // Entries of Rollout.forgotten whose mark in their act register every leader must know by now.
  std::set<std::string> marked;
};
struct TookDuty {
  uint64_t term = 0;
};
using Event = std::variant<TookDuty, Recorded, Sight>;

struct Tell {
  std::string text;
};
struct Save {
  bool urgent = false;  // an assignment changed; else only time was recorded
};
using Effect = std::variant<Tell, Save>;

struct Rules {
  double scale = 1;  // holds are divided by it; only the fleet runner sets it
  Duration bound{2000};
  System system;
  Duration hold(const Release& r, pb::Phase p) const;
  Duration settle() const { return bound; }
  // Software restarts its machine, which may be away for a while.
  Duration absence(const std::string& kind) const { return kind == "software" ? bound * 20 : Duration(0); }
};

struct Outcome {
  pb::Rollout state;
  std::vector<Effect> effects;
};

Outcome step(const pb::Rollout& s, const Event& e, const Rules& r);

const pb::Course* active(const pb::Rollout& s, const std::string& kind);
bool finished(pb::Phase p);

}  // namespace dunlinwing::rollout
