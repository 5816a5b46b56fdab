/// @file
/// What a node reports of itself to one that looks for the replicas; membership/discovery reads it. It
/// answers at once, whether or not the node has a read lease. A handler: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// GET /v1/self
base::Response get_node_identity(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
