// The set of holders as a resource: one machine is added or removed at a time.
#pragma once
#include "gate/control.hpp"

namespace dunlinwing::gate {

base::Response put_holder(relay::Node& n, Call& c);
base::Response holders(relay::Node& n);

}  // namespace dunlinwing::gate
