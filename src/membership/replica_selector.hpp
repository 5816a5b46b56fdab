/// @file
/// Orders the replicas for the requests that share a key. All nodes order them alike, so that the writes of a
/// resource go to one replica, its coordinator; requests with different keys are spread over the replicas,
/// and return to the replica that they were sent to before it failed. Nodes may disagree for a while, after a
/// failure or a change of the replica set. For writes that costs rounds, but no consistency, since every
/// write is a compare-and-set.
///
/// Invariant: only replicas are selected, so a register has at most as many proposers as there are replicas.
/// Threads: used by the control thread only.
#pragma once
#include "consensus/replica_set.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

class ReplicaSelector {
 public:
  /// @param bound  the fleet's two-second bound, scaled
  explicit ReplicaSelector(Duration bound) : bound_(bound) {}

  /// The replicas in the order in which a request is to be sent to them: first those with a recent status
  /// that are not leaving, then those without, and last those that failed lately. Among equals, every node
  /// orders them alike, by a hash of the replica and the key.
  /// @param key  of a write: the resource; all writes of one register must name the same
  std::vector<consensus::Replica> candidates(const std::vector<consensus::Replica>& replicas,
                                             const StatusTable& statuses, const std::string& key,
                                             TimePoint now) const;

  /// Records that the replica did not carry out a request in time.
  void record_failure(const std::string& replica, TimePoint now);
  void record_success(const std::string& replica);

 private:
  bool has_failed(const std::string& replica, TimePoint now) const;

  Duration bound_;
  std::map<std::string, TimePoint> failed_until_;  ///< by replica
};

}  // namespace dunlinwing::membership
