/// @file
/// What backend instances report of themselves: heartbeats, and that they have ended. Handlers: see Handler
/// in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// POST /v1/beats. 503: this node cannot pass the heartbeat on.
base::Response post_heartbeat(const ApiContext& context, const ApiRequest& request);

/// DELETE /v1/workers/INSTANCE. 503: it could not be recorded.
base::Response delete_instance(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
