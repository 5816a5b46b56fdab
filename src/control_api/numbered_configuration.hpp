/// @file
/// The numbered configuration as a resource: sent complete under a number; the highest number is in force.
/// Handlers: see Handler in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/layouts/NUMBER {"content":{configuration},"stated":"what the operator sent"}. 409: the number is
/// in force with another content; 422: invalid.
base::Response put_numbered_configuration(const ApiContext& context, const ApiRequest& request);

/// GET /v1/layouts/current. 404 when none was ever recorded.
base::Response get_numbered_configuration(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
