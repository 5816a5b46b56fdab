/// @file
/// Version rollouts: operators request that a service reaches a version within a deadline. Handlers: see
/// Handler in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/moves/NAME {"version":…,"within_ms":…}. 404: no such service; 422: the configuration in force does
/// not allow the version; 503 also while another version is being switched to.
base::Response put_version_rollout(const ApiContext& context, const ApiRequest& request);

/// GET /v1/moves/NAME: the latest version rollout. 404 when none was ever requested.
base::Response get_version_rollout(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
