/// @file
/// One node's share of the requests that the whole fleet sends to a service, and its share of indivisible
/// units. Pure.
#pragma once
#include <cstdint>

namespace dunlinwing::limits {

/// A node's share of a service's requests, as an interval: the nodes' shares are laid end to end, sorted by
/// name.
struct DemandShare {
  double before = 0;  ///< start of the interval: the sum of the shares before it, from 0 to 1
  double share = 0;   ///< length of the interval: this node's share, from 0 to 1
};

/// This node's share of `number` units, as an integer. The results of all nodes add up to `number`: each node
/// gets the units in its interval, and adjacent intervals round their common end alike.
[[nodiscard]] int64_t integer_share(int64_t number, const DemandShare& share);

}  // namespace dunlinwing::limits
