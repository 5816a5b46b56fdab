/// @file
/// Purges as resources. A handler: see Handler in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/purges/NAME purges once per name; POST /v1/purges purges each time. 409: another purge
/// has this name; 422: invalid.
base::Response put_purge(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
