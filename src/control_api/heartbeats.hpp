/// @file
/// Reports of backend instances: heartbeats, and deregistration at their end. Handlers: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// POST /v1/beats. 503: this node cannot forward the heartbeat.
base::Response post_heartbeat(const ApiContext& context, const ApiRequest& request);

/// DELETE /v1/workers/INSTANCE. 503: the deregistration could not be recorded.
base::Response delete_instance(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
