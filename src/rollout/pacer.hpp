// Keeps the shares of stated rates, for the holder of the rollout leadership.
#pragma once
#include "rollout/fence.hpp"
#include "rollout/release.hpp"
#include "rollout/shares.hpp"

namespace dunlinwing::rollout {

class Pacer {
 public:
  Pacer(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, Duration bound);
  ~Pacer();
  void tick(TimePoint now, const pb::Rollout& r, const std::map<std::string, Release>& releases,
            const Fence& fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::rollout
