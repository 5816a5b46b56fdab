// A holder's half of the registers: it votes, syncs each vote before giving
// it, keeps a feed of changes for those who pull, and, when its disk is blank,
// stays mute until the others have refilled it.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

class Acceptor {
 public:
  Acceptor(base::Ports& ports, base::Disk& disk, std::string node_name, ReplicaSetView& set, Duration round);
  ~Acceptor();
  // Loads the disk and begins to refill when it must. `first`: this is the first start of the
  // whole fleet; without it only formed disks fill a blank one, or others that never voted.
  void start(const std::optional<pb::InitialBoot>& first);
  std::optional<pb::InitialBoot> initial_boot() const;      // as told, or as the blank disk remembers
  pb::PeerResponse answer(const pb::PeerRequest& request);  // prepare, accept, peek, dump; parks until synced
  // What was synced after the change numbered `seen` of this start `boot`, the oldest change first
  // and about `most_bytes` of it (0: all); `seen` and `more` in `out` tell how far it goes.
  void append_changes(uint64_t boot, uint64_t seen, uint64_t most_bytes, pb::PullResponse& out) const;
  bool non_voting() const;
  // Makes a newer replica set durable here; asks of lower epochs are rejected from then on.
  bool adopt(const pb::ReplicaSet& set);
  // The registers whose state came by a refill and was not accepted here since.
  std::vector<std::string> refilled_registers() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::consensus
