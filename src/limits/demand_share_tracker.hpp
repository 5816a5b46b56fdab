/// @file
/// Tracks which share of a service's requests over the whole fleet is sent by one node. A service's
/// fleet-wide limits (connections, saved-up retries) are split by these shares, not evenly: of many nodes
/// only a few may send to a service at all.
///
/// Each node computes its own share from the statuses of all nodes. These reach nodes at different times, so
/// an increase is used only after a bound, and a decrease at once: the shares in use add up to one except
/// where the nodes' views differ, so a split of a hard limit has to keep a margin. Does no I/O; used by the
/// control thread only.
#pragma once
#include <deque>

#include "limits/demand_estimator.hpp"
#include "limits/demand_share.hpp"

namespace dunlinwing::limits {

class DemandShareTracker {
 public:
  /// By service.
  using Shares = std::map<std::string, DemandShare>;

  /// @param bound  within which every node learns of a change
  DemandShareTracker(std::string node_name, Duration bound)
      : node_name_(std::move(node_name)), bound_(bound) {}

  /// Records the nodes' counters; does nothing if the last observation is too recent.
  void observe(const DemandEstimator::Statuses& statuses, TimePoint now);

  /// This node's shares that may be used. Services whose demand is not known yet are omitted.
  Shares usable() const;

 private:
  struct Observed {
    TimePoint at{0};
    Shares shares;
  };

  Shares own_shares(const DemandEstimator::Statuses& statuses) const;

  std::string node_name_;
  Duration bound_;
  DemandEstimator demand_;
  std::deque<Observed> observed_;  ///< oldest first; those of the last bound, and one before
};

}  // namespace dunlinwing::limits
