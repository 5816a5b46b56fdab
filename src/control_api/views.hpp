// What is known, as JSON: nodes, workers, drains and purges.
#pragma once
#include "relay/node.hpp"

namespace dunlinwing::control_api {

base::Response nodes(relay::Node& n, TimePoint now);
base::Response workers(relay::Node& n, TimePoint now);
base::Response drains(relay::Node& n);
base::Response purges(relay::Node& n);

}  // namespace dunlinwing::control_api
