// A new replica must be up, with an empty disk, before it is added: it is refilled
// from the others before it votes. An old one is removed only after that.
#include "control_api/replicas.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "control_api/majority_contact.hpp"
#include "control_api/schemas.hpp"
#include "net/peer.hpp"

namespace dunlinwing::control_api {
namespace {
base::Response set_error(consensus::ReplicaSetError error) {
  switch (error) {
    case consensus::ReplicaSetError::no_change:
      return error_response(503, "another change of the set is under way; ask again");
    case consensus::ReplicaSetError::too_few:
      return error_response(409, "fewer than three holders could not bear a loss");
    case consensus::ReplicaSetError::no_majority:
      return register_error(consensus::RegisterError::no_majority);
    case consensus::ReplicaSetError::raced:
      return error_response(503, "another change of the set came first; read before trying again");
    default:
      return outcome_unknown();
  }
}
}  // namespace

base::Response get_replicas(node::Node& node) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(consensus::kReplicaSetKey);
  uint64_t version = found == chosen.end() ? 0 : found->second.version;
  return json_response(200, message_json(node.registers().set().message()), version);
}

base::Response put_replica(node::Node& node, ApiRequest& call) {
  auto body = parse_body(call.request.body, replica_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  bool add = json.at("holder").bool_or();
  auto address = json.at("address").string_or();
  if (add && address.empty()) return validation_errors({{"/address", "is missing"}});
  if (auto unheard = await_majority_contact(node)) return *unheard;
  auto& name = call.path[2];
  auto next = node.registers().set().current();
  bool present = consensus::contains_name(next, name);
  if (add == present) return json_response(200, message_json(node.registers().set().message()));
  if (add)
    next.push_back({name, address});
  else
    std::erase_if(next, [&](auto& replica) { return replica.name == name; });
  auto result =
      node.registers().change(next, [&] { return node.state_cache().register_names(node.config().bound); });
  if (auto* error = std::get_if<consensus::ReplicaSetError>(&result)) return set_error(*error);
  return json_response(200, message_json(std::get<pb::ReplicaSet>(result)));
}

}  // namespace dunlinwing::control_api
