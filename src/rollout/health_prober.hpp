/// @file
/// Health checks of the nodes on a release that is in its phases, and of a few others to compare with.
/// Threads: the fiber of the rollout controller; each check runs in a fiber of its own of the same process.
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
  /// @param bound  of the fleet; a node has half of it to respond
  HealthProber(base::Ports& ports, membership::StateCache& state_cache, Duration bound);

  /// Starts one check of each node on a release in its phases and of three others, in turn; of none when no
  /// node is on one. Does not wait for the results.
  void probe(const pb::RolloutState& state);

  /// The results since they were last taken.
  HealthCheckCounts take_counts(const std::string& node);

 private:
  using CountsByNode = std::map<std::string, HealthCheckCounts>;
  void start_check(const membership::Member& node);

  base::Ports& ports_;
  membership::StateCache& state_cache_;
  Duration bound_;
  size_t next_other_ = 0;                 ///< the next node to compare with, in turn
  std::shared_ptr<CountsByNode> counts_;  ///< shared with the checks that are under way
};

}  // namespace dunlinwing::rollout
