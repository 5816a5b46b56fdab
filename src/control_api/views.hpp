// What is known, as JSON: nodes, workers, drains, purges, assignments. Each is read from
// what the last good pull brought.
#pragma once
#include "control_api/call.hpp"
#include "relay/node.hpp"

namespace dunlinwing::control_api {

base::Response list_nodes(relay::Node& node, TimePoint now);
base::Response list_instances(relay::Node& node, TimePoint now);
base::Response list_drains(relay::Node& node);
base::Response list_purges(relay::Node& node);
// GET /v1/assignments and /v1/assignments/NODE
base::Response get_assignments(relay::Node& node);
base::Response get_assignment(relay::Node& node, const std::string& name);

}  // namespace dunlinwing::control_api
