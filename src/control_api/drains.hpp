// Drains of nodes and zones as resources.
#pragma once
#include "control_api/call.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/drains/node/NAME, /v1/drains/zone/NAME {"drained":…,"reason":…}
base::Response put_drain(base::Ports& ports, relay::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
