// What a relay tells of itself: metrics in Prometheus text form, and a status
// page in JSON. Labels are bounded: services and versions of layouts in force.
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

std::string metrics(node::Node& node, TimePoint now);
std::string status(node::Node& node, TimePoint now);

}  // namespace dunlinwing::control_api
