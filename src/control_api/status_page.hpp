/// @file
/// A node's status page in JSON: what it is, whether it is ready, its leases and counters. Its keys are part
/// of the API (docs/operators.md).
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// The page of GET /status.
/// @param now  against which leases and sessions are judged
std::string status_page(node::Node& node, TimePoint now);

/// What is left of the node's read lease; 0 when it has none.
Duration read_lease_left(node::Node& node, TimePoint now);

}  // namespace dunlinwing::control_api
