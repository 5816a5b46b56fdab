// Services: which worker version of each is in place, and the configuration that says
// which services and versions there are.
#pragma once
#include "control_api/contact.hpp"
#include "traffic/layout.hpp"

namespace dunlinwing::control_api {

// The configuration in force as a majority knows it, not as this relay last heard of it.
// Null when none is; a 503 when no majority answers or it cannot be read here.
std::variant<std::shared_ptr<const traffic::RoutingConfiguration>, base::Response> configuration_in_force(
    relay::Node& node);

// The service in the configuration in force, once it allows the version there.
// Else the response: 404 for an unknown service, 422 for a version that is not allowed, 503.
std::variant<std::shared_ptr<const traffic::ServiceConfiguration>, base::Response> service_for_version(
    relay::Node& node, const std::string& name, const std::string& version);

// The version that is taken to be in place when the register does not say it yet.
std::variant<std::string, base::Response> version_in_place(base::Ports& ports, relay::Node& node,
                                                           const std::string& name,
                                                           const traffic::ServiceConfiguration& service,
                                                           const std::string& except);

// PUT /v1/services/NAME {"version":…,"lift_quarantine":…}
base::Response put_service(base::Ports& ports, relay::Node& node, ApiRequest& call);
// GET /v1/services/NAME
base::Response get_service(relay::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
