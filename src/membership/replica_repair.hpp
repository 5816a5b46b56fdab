/// @file
/// Maintains the replica set that the configured tolerance f requires: 2f+1 disks, spread over zones.
///
/// plan_repair is pure: from one replica's view it computes the next replica list, which may change any
/// number of replicas in one step. ReplicaRepair runs it on every replica: the first one by name acts at
/// once, each later one only if the change is still needed after a delay. So no leader is needed, and
/// concurrent changes are harmless (a change of the set is a compare-and-set). An unfinished change is
/// completed by the same rule. Used by the control thread only.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// A node that is a replica or could become one.
struct RepairNode {
  std::string name, zone, address;
  bool disk = false;
  bool present = false;        ///< its session is alive, and it is neither leaving nor drained
  bool leaving = false;        ///< it has announced its shutdown
  bool votes = false;          ///< it responded recently as a voting replica
  Duration since_response{0};  ///< since it last responded
  Duration non_voting{0};      ///< since it last responded as a voting replica
  Duration absent{0};          ///< since its session was last alive
};

/// One replica's view of the cluster, the input of a plan.
struct ClusterView {
  std::vector<consensus::Replica> replicas;  ///< the current set
  std::vector<RepairNode> nodes;             ///< sorted by name
  int tolerate = 1;                          ///< disks that may be lost at once
  Duration bound{2000};
};

/// One change of the set.
struct RepairStep {
  std::vector<consensus::Replica> replicas;  ///< the new list
  std::string reason;                        ///< for the log
};

/// A replica that has not responded for this long is replaced by a node that is present.
inline constexpr Duration unresponsive_limit(Duration bound) { return bound * 3 / 4; }
/// One that responds but cannot vote (its disk has failed or is being refilled) is replaced after this time.
inline constexpr Duration non_voting_limit(Duration bound) { return bound * 2; }
/// With no replacement available, a surplus replica is dropped after this long without a session.
inline constexpr Duration absence_limit(Duration bound) { return bound * 10; }

/// Pure.
/// @return nothing when the set needs no change, or no change is safe now
std::optional<RepairStep> plan_repair(const ClusterView& view);

/// Runs plan_repair on this node, which is a replica or may become one.
class ReplicaRepair {
 public:
  /// The references have to outlive the task that start() spawns.
  /// @param tolerate  disks that may be lost at once; 0: operators change the set
  ReplicaRepair(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
                consensus::Acceptor& acceptor, std::string node_name, int tolerate, Duration bound);
  ~ReplicaRepair();

  /// Spawns the task that checks the set; it never ends.
  void start();

  /// Whether another node could replace this one before it shuts down.
  bool has_successor() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
