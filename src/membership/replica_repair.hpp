// Keeps the replica set at what the stated tolerance needs: 2f+1 disks, spread over zones.
//
// plan_repair is pure: from what one replica knows it names the list that the set should
// go to, any number of replicas in one step. ReplicaRepair runs it on every replica: the
// first one by name acts at once, each later one only when the need still stands a while
// later, so no leader is needed and two that act at once do no harm (a change of the set is
// a compare-and-set). A change found half done is finished by the same rule.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

// A node with a disk, as a replica or as one that could become one.
struct RepairNode {
  std::string name, zone, address;
  bool disk = false;
  bool present = false;  // its session stands, and it is neither leaving nor drained
  bool leaving = false;  // it has said that it is about to end
  bool votes = false;
  Duration since_response{0};  // since it last answered
  Duration non_voting{0};      // since it last answered as one that votes
  Duration absent{0};          // since its session last stood
};

struct ClusterView {
  std::vector<consensus::Replica> replicas;
  std::vector<RepairNode> nodes;
  int tolerate = 1;  // disks that may be lost at once
  Duration bound{2000};
};

struct RepairStep {
  std::vector<consensus::Replica> replicas;  // the list to go to
  std::string why;
};

// A replica that has not answered for so long gives its place to a node that is at hand.
inline constexpr Duration lost_after(Duration bound) { return bound * 3 / 4; }
// One that answers, but cannot vote (its disk fails, or is being refilled), does so later.
inline constexpr Duration non_voting_limit(Duration bound) { return bound * 2; }
// With nobody to take its place, one more than needed is dropped after so long without a session.
inline constexpr Duration gone_after(Duration bound) { return bound * 10; }

// Nothing: the set is as it should be, or nothing can safely be done now.
std::optional<RepairStep> plan_repair(const ClusterView& view);

class ReplicaRepair {
 public:
  // `me`: this node, which is a replica or may become one. `tolerate` 0: operators change the set.
  ReplicaRepair(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
                consensus::Acceptor& acceptor, std::string node_name, int tolerate, Duration bound);
  ~ReplicaRepair();
  void start();
  // Whether another node could take this one's place before it ends.
  bool successor_at_hand() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
