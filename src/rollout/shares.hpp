// An origin's stated rate, split into shares by node. A pure step: shares fall
// at once and rise only when nobody can still be using what has fallen.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

struct ShareSight {
  int64_t rate = 0;                      // requests a second over the fleet
  Duration since_fall{0};                // since shares last fell, as the duty's holder knows
  Duration bound{2000};                  // after this every relay has taken a fall to heart
  std::map<std::string, double> demand;  // by node present: requests a second asked of late
};

struct ShareStep {
  pb::Shares shares;
  bool fell = false, rose = false;
};

ShareStep step(const pb::Shares& s, const ShareSight& v);
std::string share_key(const std::string& service);

}  // namespace dunlinwing::rollout
