// The set of replicas as a resource: one machine is added or removed at a time.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/holders/NAME {"holder":…,"address":…}. Takes as long as refilling needs.
base::Response put_replica(node::Node& node, ApiRequest& call);
// GET /v1/holders
base::Response get_replicas(node::Node& node);

}  // namespace dunlinwing::control_api
