/// @file
/// Selects the replica that coordinates the writes of a resource: all nodes send such writes to it, so that
/// in normal operation a register has one proposer. Nodes may disagree for a while, after a failure or a
/// change of the replica set. That costs rounds, but no consistency, since every write is a compare-and-set.
///
/// Invariant: only replicas are selected, so a register has at most as many proposers as there are replicas.
/// Threads: used by the control thread only.
#pragma once
#include "consensus/replica_set.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

class CoordinatorSelector {
 public:
  /// @param bound  the fleet's two-second bound, scaled
  explicit CoordinatorSelector(Duration bound) : bound_(bound) {}

  /// The replicas in the order in which a write is to be sent to them. First those that seem able to
  /// coordinate: with a recent status, not leaving, and without a recent failure. Within these and within the
  /// others, every node orders them alike, by a hash of the replica and the resource.
  /// @param resource  all writes of one register must name the same
  std::vector<consensus::Replica> candidates(const std::vector<consensus::Replica>& replicas,
                                             const std::vector<Member>& members, const std::string& resource,
                                             TimePoint now) const;

  /// Records that the replica did not carry out a write in time.
  void record_failure(const std::string& replica, TimePoint now);
  void record_success(const std::string& replica);

 private:
  bool is_suspected(const std::string& replica, TimePoint now) const;

  Duration bound_;
  std::map<std::string, TimePoint> suspected_until_;  ///< by replica
};

}  // namespace dunlinwing::membership
