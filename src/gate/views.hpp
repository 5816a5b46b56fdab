// What is known, as JSON: nodes, workers, drains and purges.
#pragma once
#include "relay/node.hpp"

namespace dunlinwing::gate {

base::Receipt nodes(relay::Node& n, TimePoint now);
base::Receipt workers(relay::Node& n, TimePoint now);
base::Receipt drains(relay::Node& n);
base::Receipt purges(relay::Node& n);

}  // namespace dunlinwing::gate
