/// @file
/// A node's status page in JSON: its identity, readiness, leases and counters. Its keys are part
/// of the API (docs/operators.md).
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// The page of GET /status.
/// @param now  the time at which leases and sessions are evaluated
std::string status_page(node::Node& node, TimePoint now);

/// The remaining time of the node's read lease; 0 when it has none.
Duration read_lease_left(node::Node& node, TimePoint now);

}  // namespace dunlinwing::control_api
