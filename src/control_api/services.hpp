// Services: which worker version of each is in place, and the configuration that says
// which services and versions there are.
#pragma once
#include "config/routing_configuration.hpp"
#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {

// The configuration in force as a majority knows it, not as this relay last heard of it.
// Null when none is; a 503 when no majority answers or it cannot be read here.
std::variant<std::shared_ptr<const config::RoutingConfiguration>, base::Response> configuration_in_force(
    node::Node& node);

// The service in the configuration in force, once it allows the version there.
// Else the response: 404 for an unknown service, 422 for a version that is not allowed, 503.
std::variant<std::shared_ptr<const config::ServiceConfiguration>, base::Response> service_for_version(
    node::Node& node, const std::string& name, const std::string& version);

// The version that is taken to be in place when the register does not say it yet.
std::variant<std::string, base::Response> version_in_place(base::Ports& ports, node::Node& node,
                                                           const std::string& name,
                                                           const config::ServiceConfiguration& service,
                                                           const std::string& except);

// PUT /v1/services/NAME {"version":…,"lift_quarantine":…}
base::Response put_service(base::Ports& ports, node::Node& node, ApiRequest& call);
// GET /v1/services/NAME
base::Response get_service(node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
