/// @file
/// A leadership that at most one node has at a time. Its lease is a register written to a quorum of the
/// replicas and renewed before it expires. The leader stops acting before the lease expires; its standby may
/// take over once it has expired, other nodes only later. Used by the control thread only.
///
/// The lease lasts two bounds. The leader relies on three quarters of that, counted from before the write
/// that renewed it; other nodes wait for all of it, counted from when they saw the last renewal. So no clocks
/// of different nodes are compared.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// This node's participation in one leadership.
class Leadership {
 public:
  /// The references have to outlive the task that start() spawns.
  /// @param name   of the leadership
  /// @param bound  the staleness bound of the fleet's configuration, half of the lease's span
  Leadership(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
             std::string name, std::string node_name, std::string zone, Duration bound);
  ~Leadership();

  /// Spawns the task that acquires and renews the lease; it ends after transfer().
  void start();

  /// Whether this node is the leader; to be checked right before each action.
  [[nodiscard]] bool is_leader() const;

  /// The term of the lease that this node acquired last; 0: it has acquired none.
  uint64_t term() const;

  /// The lease as of the last pull; without a leader when there is none.
  pb::LeaderLease known_lease() const;

  /// A passive (drained) node does not acquire the leadership, and releases it if it has it.
  void set_passive(bool passive);

  /// Releases the leadership to the standby permanently, because this node shuts down. Waits for the write.
  void transfer();

  /// The span of the lease.
  Duration span() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// The name of the register that stores the lease.
std::string leadership_key(const std::string& name);

}  // namespace dunlinwing::membership
