#include "limits/connection_share.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwing::limits {
namespace {
// Fraction of an instance's connections that all nodes together use: a node may know of fewer nodes than
// there are.
constexpr double kUsedFraction = 0.85;
constexpr double kDeviations = 3;  // standard deviations above the mean number of nodes that use an instance
}  // namespace

int connections_of_node(const ConnectionDemand& demand) {
  const double nodes = std::max(demand.nodes, 1);
  const double instances = static_cast<double>(std::max<size_t>(demand.instances, 1));
  const double used = std::clamp(static_cast<double>(demand.instances_of_node), 1.0, instances);
  const double use = used / instances;  // the fraction of the nodes that use one instance
  const double crowding = 1 + kDeviations * std::sqrt((1 - use) / (nodes * use));
  const double share = demand.share.value_or(1 / nodes);
  const double connections = kUsedFraction * demand.max_connections * share / use / crowding;
  return std::max(1, static_cast<int>(std::min<double>(connections, demand.max_connections)));
}

}  // namespace dunlinwing::limits
