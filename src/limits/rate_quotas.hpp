// An origin's stated rate, split into shares by node. A pure step: shares fall
// at once and rise only when nobody can still be using what has fallen.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::limits {

struct QuotaInput {
  int64_t rate = 0;                      // requests a second over the fleet
  Duration since_decrease{0};            // since shares last fell, as the duty's holder knows
  Duration bound{2000};                  // after this every relay has taken a fall to heart
  std::map<std::string, double> demand;  // by node present: requests a second asked of late
};

struct QuotaStep {
  pb::RateQuotas quotas;
  bool decreased = false, increased = false;
};

QuotaStep step(const pb::RateQuotas& quotas, const QuotaInput& input);
std::string quota_key(const std::string& service);

}  // namespace dunlinwing::limits
