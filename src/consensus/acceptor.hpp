/// @file
/// The voting half of the registers: one replica. It votes, syncs each vote before sending it, gives those
/// who pull the changes that are synced, and, when its disk is empty, does not vote until the other replicas
/// have refilled it (consensus/refill).
///
/// Invariants: what anybody is sent has been synced here; a request under an older replica set than the one
/// known here gets no vote.
/// Threads: used by the fibers of the thread that runs control only.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

/// Where a node stands in the changes of a replica.
struct ChangePosition {
  uint64_t boot_id = 0;   ///< the start of the replica's process that `position` belongs to
  uint64_t position = 0;  ///< the last change that the node has seen; 0: none
};

class Acceptor {
 public:
  /// @param round_timeout  of one round of votes: no vote is counted later than this after its request
  Acceptor(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set,
           Duration round_timeout);
  ~Acceptor();

  /// Loads the disk, and begins to refill it when it may not vote. Called once, before anything else.
  /// @param initial_boot  set when this is the first start of the whole fleet; without it an empty disk is
  ///     refilled only by disks that vote, or joins with others that never voted
  void start(const std::optional<pb::InitialBoot>& initial_boot);
  /// As start() was given it, or as the empty disk remembers it.
  std::optional<pb::InitialBoot> initial_boot() const;

  /// Answers a prepare, accept, read, snapshot request or the adoption of a replica set. Suspends the fiber
  /// until what it answers for is synced, or the round's timeout is over.
  [[nodiscard]] pb::PeerResponse answer(const pb::PeerRequest& request);

  /// Adds to the response what was synced after the position, the oldest change first. `position` and `more`
  /// in the response tell how far it goes. A position of another boot counts as none.
  /// @param max_bytes  of registers, about; 0: no bound
  void append_changes(const ChangePosition& seen, uint64_t max_bytes, pb::PullResponse& response) const;

  /// Whether the replica gives no votes now: its disk failed, or may not vote yet.
  bool non_voting() const;
  /// Makes a newer replica set durable here; requests of lower epochs are rejected from then on.
  /// @return true once the set, or a newer one, is on the disk
  bool adopt(const pb::ReplicaSet& set);
  /// The names of the registers whose state came by a refill and was not accepted here since.
  std::vector<std::string> refilled_registers() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
