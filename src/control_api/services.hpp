/// @file
/// Services: the current version of each, and the configuration that defines which services and
/// versions there are.
///
/// Threads: called in fibers of the control thread. The look-ups wait for a majority of the replicas.
/// Handlers: see Handler in control_api/api_context.hpp.
#pragma once
#include "config/routing_configuration.hpp"
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// The configuration in force at a majority of the replicas, which may be newer than this node's.
/// @return null when there is none; a 503 when no majority responds or this node cannot parse it
std::variant<std::shared_ptr<const config::RoutingConfiguration>, base::Response> configuration_in_force(
    node::Node& node);

/// The service in the configuration in force, if that allows the version.
/// @return otherwise the response: 404 for an unknown service, 422 for a version that is not allowed, 503
std::variant<std::shared_ptr<const config::ServiceConfiguration>, base::Response> service_for_version(
    node::Node& node, const std::string& name, const std::string& version);

/// Sets the current version if the service's register has none yet: the configuration's first, or the one
/// that most instances run.
/// @param requested  the version that is to replace it
/// @return the response (503) when no majority responds
[[nodiscard]] std::optional<base::Response> ensure_current_version(
    const ApiContext& context, pb::ServiceState& state, const std::string& name,
    const config::ServiceConfiguration& service, const std::string& requested);

/// PUT /v1/services/NAME {"version":…,"lift_quarantine":…}: starts a canary of the version. 409: it is
/// quarantined; 503 also while another version is being switched to.
base::Response put_service(const ApiContext& context, const ApiRequest& request);

/// GET /v1/services/NAME
base::Response get_service(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
