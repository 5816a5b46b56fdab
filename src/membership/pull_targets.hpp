/// @file
/// Which replicas a pull queries, in which order, and how long it waits for each. The first one sends nearly
/// everything that is new, so nodes differ in it; a replica that was silent lately holds up few pulls.
///
/// Does no I/O. Used by the control thread only.
#pragma once
#include "membership/replica_selector.hpp"

namespace dunlinwing::membership {

class PullTargets {
 public:
  /// @param node_name    of this node
  /// @param has_replica  whether this node is a replica itself
  /// @param bound        the fleet's two-second bound, scaled
  /// @param period       of pulls
  PullTargets(std::string node_name, bool has_replica, Duration bound, Duration period)
      : node_name_(std::move(node_name)), has_replica_(has_replica), period_(period), first_(bound) {}

  /// The indices of the replicas in the order in which they are queried. This node's own replica, which has
  /// nothing new, is last.
  std::vector<size_t> order(const std::vector<consensus::Replica>& replicas, const StatusTable& statuses,
                            TimePoint now) const;

  /// Moves the replicas that responded last time before the others.
  void prefer_responsive(const std::vector<consensus::Replica>& replicas, std::vector<size_t>& indices) const;

  /// The time within which a replica without trouble responds, derived from recent response times.
  Duration prompt_response_limit() const;

  /// How long a query waits for the replica, `limit` at most: only as long as for a prompt response if it was
  /// silent lately, except now and then, since a distant replica that responds again may need longer.
  Duration limit_for(const std::string& replica, Duration limit) const;

  /// Records the outcome of any query.
  void record(const std::string& replica, bool responded);

  /// Records the outcome of the query of the replica that was queried alone, which took `spent`.
  void record_first(const std::string& replica, bool responded, Duration spent, TimePoint now);

 private:
  /// Number of consecutive queries without a response.
  int silent_queries(const std::string& replica) const;

  const std::string node_name_;
  const bool has_replica_;
  const Duration period_;
  ReplicaSelector first_;                      ///< selects the replica that is queried before the others
  Duration usual_response_{0};                 ///< smoothed response time of that replica
  std::map<std::string, int> silent_queries_;  ///< by replica
};

}  // namespace dunlinwing::membership
