// What workers say of themselves: their heartbeats, and that they have ended.
#pragma once
#include "control_api/call.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

// POST /v1/beats
base::Response post_heartbeat(relay::Node& node, ApiRequest& call);
// DELETE /v1/workers/INSTANCE
base::Response delete_instance(relay::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
