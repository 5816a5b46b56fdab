// Moves of a service to a worker version within a term, as operators ask for them.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/moves/NAME {"version":…,"within_ms":…}
base::Response put_version_rollout(base::Ports& ports, node::Node& node, ApiRequest& call);
// GET /v1/moves/NAME, after a pull that began after the request.
base::Response get_version_rollout(node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
