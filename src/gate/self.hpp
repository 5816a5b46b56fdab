// What a relay tells of itself to one that looks for the holders: at once, whether
// or not it is fresh.
#pragma once
#include "gate/control.hpp"

namespace dunlinwing::gate {

base::Response self(relay::Node& n);

}  // namespace dunlinwing::gate
