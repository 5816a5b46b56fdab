// The numbered layout as a resource: stated whole under a number, the highest holds.
#pragma once
#include "control_api/control.hpp"

namespace dunlinwing::control_api {

// PUT /v1/layouts/NUMBER {"content":{layout},"stated":"what the operator sent"}
base::Response put_order(base::Ports& ps, relay::Node& n, Call& c);
// GET /v1/layouts/current
base::Response order(relay::Node& n);

}  // namespace dunlinwing::control_api
