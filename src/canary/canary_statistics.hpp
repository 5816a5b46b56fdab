// What all relays together have seen of a version on trial and of the one in place,
// by route: in the whole trial, and since its workers are warm. Each node adds it up
// from the statuses by itself, over restarts of their sources; nothing of it is recorded.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::canary {

struct OutcomeCounts {
  uint64_t good = 0, bad = 0, slow = 0, total_ms = 0;
  uint64_t total() const { return good + bad; }
  uint64_t failed_or_slow() const { return bad + slow; }  // failed, or far slower than usual
  double failure_rate() const {
    return total() ? static_cast<double>(failed_or_slow()) / static_cast<double>(total()) : 0;
  }
  double mean_ms() const {
    return total() ? static_cast<double>(total_ms) / static_cast<double>(total()) : 0;
  }
  OutcomeCounts& operator+=(const OutcomeCounts& o);
};
using ByRoute = std::map<std::string, OutcomeCounts>;
OutcomeCounts sum(const ByRoute& r);

struct CanarySample {
  ByRoute canary, baseline;            // since the trial began
  ByRoute warm_canary, warm_baseline;  // since its workers were warm
  ByRoute after_switch;                // by the version on trial since its switch, when it has all the load
};

class CanaryStatistics {
 public:
  using States = std::map<std::string, pb::ServiceState>;
  // `warm`: services whose trial has warm workers now.
  void update(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
              const std::set<std::string>& warm = {});
  const CanarySample& at(const std::string& service) const;

 private:
  struct Canary {
    uint64_t number = 0;
    bool warm = false;
    CanarySample sample;
  };
  std::map<std::string, Canary> cases_;
  // By source: its incarnation, and its rows as last heard.
  std::map<std::string, std::pair<uint64_t, std::map<std::vector<std::string>, OutcomeCounts>>> last_;
  bool began_ = false;
};

// Whether the trial is so plainly worse, as a whole or on some route, that nothing more need be seen.
bool is_clearly_worse(const CanarySample& s);
// What on some route is worse, with evidence enough to end the trial. Empty: nothing.
std::string regression(const CanarySample& s);
// Whether there is more evidence than a verdict needs.
bool has_ample_evidence(const CanarySample& s);
// What speaks against promotion yet, or for good: too little evidence on a route, more
// failures or slower answers than of the version in place. Empty: nothing does.
std::string promotion_blocker(const CanarySample& s);
/// What, seen in the switch, ends it on a route too rare for `worse`. Empty: nothing.
std::string regression_after_switch(const CanarySample& s);

}  // namespace dunlinwing::canary
