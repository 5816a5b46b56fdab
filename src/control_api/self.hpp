// What a relay tells of itself to one that looks for the holders: at once, whether
// or not it is fresh.
#pragma once
#include "control_api/control.hpp"

namespace dunlinwing::control_api {

base::Response self(relay::Node& n);

}  // namespace dunlinwing::control_api
