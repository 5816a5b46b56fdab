/// @file
/// Keeps the replica set at what the stated tolerance needs: 2f+1 disks, spread over zones.
///
/// plan_repair is pure: from what one replica knows it names the list that the set should go to, any number
/// of replicas in one step. ReplicaRepair runs it on every replica: the first one by name acts at once, each
/// later one only when the need still stands a while later, so no leader is needed and two that act at once
/// do no harm (a change of the set is a compare-and-set). A change found half done is finished by the same
/// rule. Used by the thread that runs control only.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// A node with a disk, as a replica or as one that could become one.
struct RepairNode {
  std::string name, zone, address;
  bool disk = false;
  bool present = false;        ///< its session stands, and it is neither leaving nor drained
  bool leaving = false;        ///< it has announced that it is about to end
  bool votes = false;          ///< it responded of late, as a replica that votes
  Duration since_response{0};  ///< since it last responded
  Duration non_voting{0};      ///< since it last responded as one that votes
  Duration absent{0};          ///< since its session last stood
};

/// What one replica knows when it plans.
struct ClusterView {
  std::vector<consensus::Replica> replicas;  ///< the present set
  std::vector<RepairNode> nodes;             ///< sorted by name
  int tolerate = 1;                          ///< disks that may be lost at once
  Duration bound{2000};
};

/// One change of the set.
struct RepairStep {
  std::vector<consensus::Replica> replicas;  ///< the list to go to
  std::string reason;                        ///< for the log
};

/// A replica that has not responded for so long gives its place to a node that is present.
inline constexpr Duration lost_after(Duration bound) { return bound * 3 / 4; }
/// One that responds, but cannot vote (its disk fails, or is being refilled), does so later.
inline constexpr Duration non_voting_limit(Duration bound) { return bound * 2; }
/// With nobody to take its place, one more than needed is dropped after so long without a session.
inline constexpr Duration gone_after(Duration bound) { return bound * 10; }

/// Pure.
/// @return nothing when the set is as it should be, or nothing can safely be done now
std::optional<RepairStep> plan_repair(const ClusterView& view);

/// Runs plan_repair on this node, which is a replica or may become one.
class ReplicaRepair {
 public:
  /// The references have to outlive the task that start() begins.
  /// @param tolerate  disks that may be lost at once; 0: operators change the set
  ReplicaRepair(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
                consensus::Acceptor& acceptor, std::string node_name, int tolerate, Duration bound);
  ~ReplicaRepair();

  /// Starts the task that checks the set; it never ends.
  void start();

  /// Whether another node could take this one's place before it ends.
  bool has_successor() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
