// The other half, which reads it, is membership/discovery.
#include "control_api/node_identity.hpp"

#include <fmt/format.h>

namespace dunlinwing::control_api {

namespace {
std::string replicas_json(const std::vector<consensus::Replica>& list) {
  std::string out;
  for (auto& replica : list)
    out += fmt::format(R"({}{{"name":{},"address":{}}})", out.empty() ? "" : ",", base::quote(replica.name),
                       base::quote(replica.address));
  return "[" + out + "]";
}
}  // namespace

base::Response node_identity(node::Node& node) {
  auto& config = node.config();
  auto& set = node.registers().set();
  return json_response(
      200, fmt::format(
               R"({{"name":{},"zone":{},"peer_address":{},"disk":{},"epoch":{},"holders":{},"previous":{}}})",
               base::quote(config.name), base::quote(config.zone), base::quote(config.peer_address),
               node.acceptor() != nullptr, set.epoch(), replicas_json(set.current()),
               replicas_json(set.previous())));
}

}  // namespace dunlinwing::control_api
