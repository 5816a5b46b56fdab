// What is known, as JSON: nodes, workers, drains, purges, assignments. Each is read from
// what the last good pull brought.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

base::Response list_nodes(node::Node& node, TimePoint now);
base::Response list_instances(node::Node& node, TimePoint now);
base::Response list_drains(node::Node& node);
base::Response list_purges(node::Node& node);
// GET /v1/assignments and /v1/assignments/NODE
base::Response get_assignments(node::Node& node);
base::Response get_assignment(node::Node& node, const std::string& name);

}  // namespace dunlinwing::control_api
