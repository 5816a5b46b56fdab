// Keeps the set of holders at what the stated tolerance needs: 2f+1 disks, spread
// over zones. The step is pure and names one change at most; the part runs it under
// the rollout duty's read_lease.
#pragma once
#include "membership/leadership.hpp"

namespace dunlinwing::membership {

struct RepairCandidate {  // a node as a holder, or as one that could become one
  std::string name, zone, address;
  bool disk = false;
  bool present = false;  // its session stands, and it is not about to go
  bool votes = false;
  Duration absent{0};  // for how long its session has not stood
};

struct ClusterView {
  std::vector<consensus::Replica> set;
  std::vector<RepairCandidate> nodes;
  int tolerate = 1;
  Duration bound{2000};
};

struct RepairStep {
  bool add = false;
  consensus::Replica who;
  std::string why;
};

// So many bounds without a session, and a holder counts as gone for good.
inline constexpr int kGoneBounds = 10;

std::optional<RepairStep> plan_repair(const ClusterView& s);

class ReplicaRepair {
 public:
  ReplicaRepair(base::Ports& ps, consensus::RegisterClient& b, StateCache& m, Leadership& d, int tolerate,
                Duration bound);
  ~ReplicaRepair();
  void start();

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::membership
