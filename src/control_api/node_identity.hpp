/// @file
/// The identity that a node reports to nodes that discover the replicas; membership/discovery reads it. The
/// response is immediate, whether or not the node has a read lease. A handler: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// GET /v1/self
base::Response get_node_identity(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
