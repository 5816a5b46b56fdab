/// @file
/// One node's share of the connections that a backend instance accepts from the whole fleet. Pure.
#pragma once
#include <cstddef>
#include <optional>

namespace dunlinwing::limits {

/// What a node's share of an instance's connections depends on.
struct ConnectionDemand {
  int max_connections = 0;       ///< accepted by an instance from all nodes together
  size_t instances = 0;          ///< of the service
  size_t instances_of_node = 0;  ///< used by one node, see proxy::subset_size()
  int nodes = 1;                 ///< in the fleet
  std::optional<double> share;   ///< this node's share of the service's requests; nothing: not known yet
};

/// The number of connections that the node may open to each instance in its subset; at least one.
///
/// Each node uses its own subset of the instances, so an instance is used by some nodes only, and these split
/// its connections in proportion to the requests they send. The subsets are chosen by hash, so some instances
/// have more users than others; the split keeps a margin for that.
[[nodiscard]] int connections_of_node(const ConnectionDemand& demand);

}  // namespace dunlinwing::limits
