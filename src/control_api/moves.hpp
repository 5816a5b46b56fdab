// Moves of a service to a worker version within a term, as operators ask for them.
#pragma once
#include "control_api/control.hpp"

namespace dunlinwing::control_api {

base::Response put_move(base::Ports& ps, relay::Node& n, Call& c);
base::Response move(relay::Node& n, Call& c);  // after a pull that began after the request
base::Response of(consensus::RegisterError d);

}  // namespace dunlinwing::control_api
