/// @file
/// The Paxos acceptor of one replica. It votes on registers, syncs each vote before sending it, and sends the
/// synced changes to nodes that pull them. When its disk is empty, it does not vote until the other replicas
/// have refilled it (consensus/refill).
///
/// Invariants: only synced state is sent to other nodes; a request whose epoch is below that of the replica
/// set known here gets no vote.
/// Threads: used by the fibers of the control thread only.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

/// How many of a replica's changes a node has received.
struct ChangePosition {
  uint64_t boot_id = 0;   ///< identifies the start of the replica's process that numbered the changes
  uint64_t position = 0;  ///< the last change that the node has received; 0: none
};

using HeldRegisters = google::protobuf::RepeatedPtrField<pb::HeldRegister>;

class Acceptor {
 public:
  /// @param round_timeout  of one round of votes, from request to response; later votes are not counted
  Acceptor(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set,
           Duration round_timeout);
  ~Acceptor();

  /// Loads the disk and, when it may not vote, starts to refill it. Called once, before any other method.
  /// @param initial_boot  set when this is the first start of the whole fleet; without it an empty disk is
  ///     refilled only from voting disks, or joins together with others that never voted
  void start(const std::optional<pb::InitialBoot>& initial_boot);
  /// The value passed to start(), or the one recorded on the empty disk.
  std::optional<pb::InitialBoot> initial_boot() const;

  /// Handles a prepare, accept, read, snapshot or adopt request. Suspends the fiber until the state in
  /// the response is synced, or the round timeout is over.
  [[nodiscard]] pb::PeerResponse handle(const pb::PeerRequest& request);

  /// Appends the changes synced after the position to the response, oldest first. `position` and `more` in
  /// the response state how far it reaches. A position from another boot counts as 0.
  /// @param held       registers that the requester holds: their values are left out at the same ballot
  /// @param max_bytes  approximate limit of the registers' size; 0: no limit
  void append_changes(const ChangePosition& seen, const HeldRegisters& held, uint64_t max_bytes,
                      pb::PullResponse& response) const;

  /// Whether the replica does not vote now: its disk failed, or may not vote yet.
  bool non_voting() const;
  /// Makes a newer replica set durable here; requests of lower epochs are rejected from then on.
  /// @return true once the set, or a newer one, is on the disk
  bool adopt(const pb::ReplicaSet& set);
  /// The names of the registers whose state comes from a refill and has not been accepted here since.
  std::vector<std::string> refilled_registers() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
