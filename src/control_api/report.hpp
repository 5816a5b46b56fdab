// What a relay tells of itself: metrics in Prometheus text form, and a status
// page in JSON. Labels are bounded: services and versions of layouts in force.
#pragma once
#include "relay/node.hpp"

namespace dunlinwing::control_api {

std::string metrics(relay::Node& node, TimePoint now);
std::string status(relay::Node& node, TimePoint now);

}  // namespace dunlinwing::control_api
