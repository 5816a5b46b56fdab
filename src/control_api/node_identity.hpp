// What a relay tells of itself to one that looks for the replicas: at once, whether
// or not it is fresh.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

base::Response node_identity(node::Node& node);

}  // namespace dunlinwing::control_api
