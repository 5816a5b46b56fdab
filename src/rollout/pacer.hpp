// Keeps the shares of stated rates, for the holder of the rollout leadership.
#pragma once
#include "rollout/fence.hpp"
#include "rollout/release.hpp"
#include "rollout/shares.hpp"

namespace dunlinwing::rollout {

class RateAllocator {
 public:
  RateAllocator(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
                Duration bound);
  ~RateAllocator();
  void tick(TimePoint now, const pb::RolloutState& r, const std::map<std::string, Release>& releases,
            const LeadershipFence& fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::rollout
