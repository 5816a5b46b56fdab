/// @file
/// Releases as resources: immutable documents under a name, and the operator actions on them. Handlers: see
/// Handler in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/releases/KIND/NAME. The same document again is acknowledged, another gets 409. 404: no such kind;
/// 422: invalid.
base::Response put_release(const ApiContext& context, const ApiRequest& request);

/// PUT /v1/releases/KIND/NAME/waivers/CHECK, …/withdrawal, …/express {"reason":…}. 404: no such release,
/// check or action.
base::Response put_operator_action(const ApiContext& context, const ApiRequest& request);

/// GET /v1/releases: every release.
base::Response list_releases(const ApiContext& context, const ApiRequest& request);
/// GET /v1/releases/KIND
base::Response list_releases_of_kind(const ApiContext& context, const ApiRequest& request);
/// GET /v1/releases/KIND/NAME: with its document.
base::Response get_release(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
