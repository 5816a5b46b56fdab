#include "control_api/node_identity.hpp"

#include <fmt/format.h>

namespace dunlinwing::control_api {
namespace {
std::string replicas_json(const std::vector<consensus::Replica>& replicas) {
  std::vector<std::string> list;
  list.reserve(replicas.size());
  for (const auto& replica : replicas)
    list.push_back(fmt::format(R"({{"name":{},"address":{}}})", base::quote(replica.name),
                               base::quote(replica.address)));
  return fmt::format("[{}]", fmt::join(list, ","));
}
}  // namespace

base::Response get_node_identity(const ApiContext& context, const ApiRequest&) {
  const auto& config = context.node.config();
  auto& replica_set = context.node.registers().replica_set();
  return json_response(
      200, fmt::format(
               R"({{"name":{},"zone":{},"peer_address":{},"disk":{},"epoch":{},"holders":{},"previous":{}}})",
               base::quote(config.name), base::quote(config.zone), base::quote(config.peer_address),
               context.node.acceptor() != nullptr, replica_set.epoch(), replicas_json(replica_set.current()),
               replicas_json(replica_set.previous())));
}

}  // namespace dunlinwing::control_api
