/// @file
/// A leadership that one node has at a time. Its lease is a register that a quorum of the replicas wrote,
/// renewed in good time. The leader stops before the lease ends; its standby takes the leadership over once
/// the lease has lapsed, other nodes do so later. Used by the thread that runs control only.
///
/// The lease spans two bounds. The leader counts three quarters of that from before the write that renewed
/// it; others count the whole of it from when they saw the last renewal. So no clocks are compared.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// This node's part in one leadership.
class Leadership {
 public:
  /// The references have to outlive the task that start() begins.
  /// @param name   of the leadership
  /// @param bound  the bound of the fleet's configuration, half of the lease's span
  Leadership(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
             std::string name, std::string node_name, std::string zone, Duration bound);
  ~Leadership();

  /// Starts the task that acquires and renews the lease; it ends after transfer().
  void start();

  /// Whether this node is the leader; to be asked right before each act.
  [[nodiscard]] bool held() const;

  /// The term of the lease that this node acquired last; 0: it acquired none.
  uint64_t term() const;

  /// The lease as the last pull found it; without a leader when there is none.
  pb::LeaderLease known_lease() const;

  /// A passive node (one that is drained) acquires no leadership, and gives up the one it has.
  void set_passive(bool passive);

  /// Gives the leadership up in favour of the standby, for good: this node ends. Waits for the write.
  void transfer();

  /// The span of the lease.
  Duration span() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// The name of the register that holds the lease.
std::string leadership_key(const std::string& name);

}  // namespace dunlinwing::membership
