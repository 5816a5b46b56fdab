/// @file
/// Health checks of the nodes on an active release, and of a few other nodes for comparison.
/// Threads: the fiber of the rollout controller; each check runs in a separate fiber of the same process.
#pragma once
#include "base/ports.hpp"
#include "membership/state_cache.hpp"

namespace dunlinwing::rollout {

/// Results of the health checks of one node.
struct HealthCheckCounts {
  uint64_t passed = 0;
  uint64_t failed = 0;
};

class HealthProber {
 public:
  /// The references have to outlive the prober and its checks.
  /// @param bound  of the fleet; a check times out after half of it
  HealthProber(base::Ports& ports, membership::StateCache& state_cache, Duration bound);

  /// Starts one check of each node on an active release, and of three other nodes in round-robin order.
  /// Starts none when no node is on an active release. Does not wait for the results.
  void probe(const pb::RolloutState& state);

  /// Returns the node's results since the previous call and resets them.
  HealthCheckCounts take_counts(const std::string& node);

 private:
  using CountsByNode = std::map<std::string, HealthCheckCounts>;
  void start_check(const membership::Member& node);

  base::Ports& ports_;
  membership::StateCache& state_cache_;
  Duration bound_;
  size_t next_comparison_ = 0;            ///< round-robin position among the nodes for comparison
  std::shared_ptr<CountsByNode> counts_;  ///< shared with the checks in flight
};

}  // namespace dunlinwing::rollout
