// A holder's half of the registers: it votes, syncs each vote before giving
// it, keeps a feed of changes for those who pull, and, when its disk is blank,
// stays mute until the others have refilled it.
#pragma once
#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

class Acceptor {
 public:
  Acceptor(base::Ports& ps, base::Disk& d, std::string me, ReplicaSetView& set, Duration round);
  ~Acceptor();
  // Loads the disk and begins to refill when it must. `first`: this is the first start of the
  // whole fleet; without it only formed disks fill a blank one, or others that never voted.
  void start(const std::optional<pb::First>& first);
  std::optional<pb::First> first() const;  // as told, or as the blank disk remembers
  pb::Reply answer(const pb::Ask& a);      // prepare, accept, peek, dump; parks until synced
  // What was synced after the change numbered `seen` of this start `boot`, the oldest change first
  // and about `most_bytes` of it (0: all); `seen` and `more` in `out` tell how far it goes.
  void changes(uint64_t boot, uint64_t seen, uint64_t most_bytes, pb::PullReply& out) const;
  bool mute() const;
  // Makes a newer replica set durable here; asks of lower epochs are rejected from then on.
  bool adopt(const pb::ReplicaSet& s);
  // The registers whose state came by a refill and was not accepted here since.
  std::vector<std::string> copied() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::consensus
