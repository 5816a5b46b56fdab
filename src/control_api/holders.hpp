// The set of holders as a resource: one machine is added or removed at a time.
#pragma once
#include "control_api/control.hpp"

namespace dunlinwing::control_api {

base::Response put_holder(relay::Node& n, Call& c);
base::Response holders(relay::Node& n);

}  // namespace dunlinwing::control_api
