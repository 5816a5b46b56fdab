/// @file
/// Drains of nodes and zones: a drained node is not ready and serves no new clients. Handlers: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/drains/node/NAME, /v1/drains/zone/NAME {"drained":…,"reason":…}. 404 for anything but a node or a
/// zone.
base::Response put_drain(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
