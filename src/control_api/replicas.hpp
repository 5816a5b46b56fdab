/// @file
/// The replica set as a resource: one machine is added or removed at a time. Handlers: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/holders/NAME {"holder":…,"address":…}. Takes as long as refilling the new replica needs. 409:
/// fewer than three replicas would be left; 503: another change is under way or came first, or no majority.
base::Response put_replica(const ApiContext& context, const ApiRequest& request);

/// GET /v1/holders
base::Response get_replicas(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
