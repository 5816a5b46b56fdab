// Purges as resources.
#pragma once
#include "control_api/api_request.hpp"
#include "control_api/purge_writer.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/purges/NAME; POST /v1/purges, which purges anew each time.
base::Response put_purge(node::Node& node, PurgeWriter& purger, ApiRequest& call);

}  // namespace dunlinwing::control_api
