/// @file
/// Maintains the quotas of rate-limited services on the rollout leader: observes the demand at each node and
/// writes a service's quotas when they should fall or may rise. demand_estimator and rate_quotas decide. Used
/// by the control thread only.
///
/// After a takeover the leader does not know when quotas last fell, so it raises none for a bound; nor does
/// it know the demand, so it lowers none because of low demand until it has observed it a few times.
#pragma once
#include "config/release.hpp"
#include "limits/rate_quotas.hpp"
#include "membership/leadership_fence.hpp"

namespace dunlinwing::limits {

/// Runs the quota allocation on the leader.
class RateAllocator {
 public:
  /// The references have to outlive the allocator.
  RateAllocator(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
                Duration bound);
  ~RateAllocator();

  /// Observes demand and writes quotas, at most twice per bound; waits for the writes.
  /// @param releases  all recorded releases, by the name of their register
  /// @param fence     of the rollout leadership; begin() was called for this tick
  void tick(TimePoint now, const pb::RolloutState& rollout,
            const std::map<std::string, config::Release>& releases, const membership::LeadershipFence& fence);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::limits
