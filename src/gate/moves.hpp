// Moves of a service to a worker version within a term, as operators ask for them.
#pragma once
#include "gate/control.hpp"

namespace dunlinwing::gate {

base::Receipt put_move(base::Ports& ps, relay::Node& n, Call& c);
base::Receipt move(relay::Node& n, Call& c);  // after a pull that began after the request
base::Receipt of(consensus::RegisterError d);

}  // namespace dunlinwing::gate
