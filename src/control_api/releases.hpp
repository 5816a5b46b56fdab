// Releases as resources: immutable documents under a name, and what operators say of them.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/releases/KIND/NAME. The same document again is acknowledged, another gets 409.
base::Response put_release(node::Node& node, ApiRequest& call);
// PUT /v1/releases/KIND/NAME/waivers/CHECK, …/withdrawal, …/express {"reason":…}
base::Response put_operator_action(base::Ports& ports, node::Node& node, ApiRequest& call);
// GET /v1/releases, /v1/releases/KIND, /v1/releases/KIND/NAME
base::Response get_releases(node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
