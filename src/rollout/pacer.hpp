// Keeps the shares of stated rates, for the holder of the rollout leadership.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/release.hpp"
#include "rollout/shares.hpp"

namespace dunlinwing::rollout {

class Pacer {
 public:
  Pacer(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, membership::Leadership& d,
        Duration bound);
  ~Pacer();
  void tick(TimePoint now, const pb::Rollout& r, const std::map<std::string, Release>& releases);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::rollout
