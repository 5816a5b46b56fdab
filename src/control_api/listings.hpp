/// @file
/// Parts of the fleet's state as JSON: nodes, backend instances, drains, purges, assignments, leases. Each
/// is read from the state cache, as of the latest successful pull. Handlers: see Handler in
/// control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// GET /v1/nodes: each node that has reported, whether or not it is a member now.
base::Response list_nodes(const ApiContext& context, const ApiRequest& request);
/// GET /v1/workers: backend instances, and those that were deregistered.
base::Response list_instances(const ApiContext& context, const ApiRequest& request);
/// GET /v1/drains
base::Response list_drains(const ApiContext& context, const ApiRequest& request);
/// GET /v1/purges
base::Response list_purges(const ApiContext& context, const ApiRequest& request);
/// GET /v1/assignments: the state of the rollout.
base::Response get_assignments(const ApiContext& context, const ApiRequest& request);
/// GET /v1/assignments/NODE
base::Response get_assignment(const ApiContext& context, const ApiRequest& request);
/// GET /v1/duties: the lease of the rollout leadership.
base::Response get_leadership(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
