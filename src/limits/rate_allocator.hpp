// Keeps the shares of stated rates, for the holder of the rollout leadership.
#pragma once
#include "config/release.hpp"
#include "limits/rate_quotas.hpp"
#include "membership/leadership_fence.hpp"

namespace dunlinwing::limits {

class RateAllocator {
 public:
  RateAllocator(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
                Duration bound);
  ~RateAllocator();
  void tick(TimePoint now, const pb::RolloutState& r, const std::map<std::string, config::Release>& releases,
            const membership::LeadershipFence& fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::limits
