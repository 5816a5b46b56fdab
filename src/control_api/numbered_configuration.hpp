// The numbered configuration as a resource: stated whole under a number, the highest holds.
#pragma once
#include "control_api/call.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/layouts/NUMBER {"content":{configuration},"stated":"what the operator sent"}
base::Response put_numbered_configuration(base::Ports& ports, relay::Node& node, ApiRequest& call);
// GET /v1/layouts/current, after a pull that began after the request.
base::Response get_numbered_configuration(relay::Node& node);

}  // namespace dunlinwing::control_api
