/// @file
/// Estimates each node's demand for each rate-limited service, by which the service's rate is split. Does no
/// I/O; used by the control thread only.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::limits {

/// In smaller fleets nodes fetch directly: the hop over a shield costs more than it saves the origin.
inline constexpr int kMinNodesForShields = 24;

/// Requests per second, by node.
using DemandByNode = std::map<std::string, double>;

/// The rate to split, and the time of the split.
struct RateContext {
  int64_t rate = 0;      ///< requests per second over the fleet
  Duration bound{2000};  ///< within which every node follows a change
  TimePoint now{0};
};

/// Smooths the nodes' request counters into demand.
class DemandEstimator {
 public:
  /// By source.
  using Statuses = std::map<std::string, pb::NodeStatus>;

  /// Clears all observations, because the last counters seen are outdated.
  void clear() { services_.clear(); }

  /// Records the nodes' counters.
  /// @param seconds  since the last call
  void observe(const std::string& service, const Statuses& statuses, double seconds, TimePoint now);

  /// The demand at each node that is present; 0 where it is not known yet.
  /// @param statuses  those that were last observed for this service
  DemandByNode known_demand(const std::string& service, const Statuses& statuses) const;

  /// The demand at each node that should have a quota: the present ones, and those with a quota that are
  /// absent for a short time. A restarted node has the same demand as before; if its quota were reassigned
  /// meanwhile, it would have to wait until other quotas fall. The quota is reassigned sooner if the demand
  /// at the other nodes exceeds the remaining rate: then the absent node's demand has moved to them.
  /// @param statuses  those that were last observed for this service
  DemandByNode estimate(const std::string& service, const Statuses& statuses, const pb::RateQuotas& quotas,
                        const RateContext& context);

 private:
  struct NodeDemand {
    uint64_t incarnation = 0;    ///< of the status that counted `requested`
    uint64_t requested = 0;      ///< requests since that incarnation began
    std::optional<double> rate;  ///< requests per second, smoothed; nothing: not known yet
    TimePoint present_at{0};     ///< when the node was last present; 0: never seen
  };
  using Nodes = std::map<std::string, NodeDemand>;

  static DemandByNode present_demand(const Nodes& nodes, const Statuses& statuses);

  std::map<std::string, Nodes> services_;  ///< by service, and by node
};

}  // namespace dunlinwing::limits
