// The numbered configuration as a resource: stated whole under a number, the highest holds.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/layouts/NUMBER {"content":{configuration},"stated":"what the operator sent"}
base::Response put_numbered_configuration(base::Ports& ports, node::Node& node, ApiRequest& call);
// GET /v1/layouts/current, after a pull that began after the request.
base::Response get_numbered_configuration(node::Node& node);

}  // namespace dunlinwing::control_api
