// Moves of a service to a worker version within a term, as operators ask for them.
#pragma once
#include "control_api/call.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/moves/NAME {"version":…,"within_ms":…}
base::Response put_move(base::Ports& ports, relay::Node& node, Call& call);
// GET /v1/moves/NAME, after a pull that began after the request.
base::Response get_move(relay::Node& node, Call& call);

}  // namespace dunlinwing::control_api
