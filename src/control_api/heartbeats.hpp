// What workers say of themselves: their heartbeats, and that they have ended.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// POST /v1/beats
base::Response post_heartbeat(node::Node& node, ApiRequest& call);
// DELETE /v1/workers/INSTANCE
base::Response delete_instance(node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
