// Drains of nodes and zones as resources.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/drains/node/NAME, /v1/drains/zone/NAME {"drained":…,"reason":…}
base::Response put_drain(base::Ports& ports, node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
