// Purges as resources.
#pragma once
#include "control_api/call.hpp"
#include "control_api/purger.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/purges/NAME; POST /v1/purges, which purges anew each time.
base::Response put_purge(relay::Node& node, PurgeWriter& purger, ApiRequest& call);

}  // namespace dunlinwing::control_api
