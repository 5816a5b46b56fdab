/// @file
/// Keeps the quotas of stated rates, for the rollout leader: reads what each node is asked for and writes a
/// service's quotas when they should fall or may rise. The decisions are made in demand_estimator and
/// rate_quotas. Used by the thread that runs control only.
///
/// After a takeover the leader does not know when quotas last fell, and so waits a bound before it lets any
/// rise; nor what is asked where, and so lowers none for want of demand until it has observed it a few times.
#pragma once
#include "config/release.hpp"
#include "limits/rate_quotas.hpp"
#include "membership/leadership_fence.hpp"

namespace dunlinwing::limits {

/// The leader's part in the quotas.
class RateAllocator {
 public:
  /// The references have to outlive the allocator.
  RateAllocator(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
                Duration bound);
  ~RateAllocator();

  /// Observes and writes, at most twice in a bound; waits for the writes.
  /// @param releases  all that are recorded, by the name of their register
  /// @param fence     of the rollout leadership, begun for this tick
  void tick(TimePoint now, const pb::RolloutState& rollout,
            const std::map<std::string, config::Release>& releases, const membership::LeadershipFence& fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::limits
