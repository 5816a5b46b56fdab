// A new replica must be up, with an empty disk, before it is added: it is refilled from the others
// before it votes. An old one is removed only after that.
#include "control_api/replicas.hpp"

#include "control_api/cached_registers.hpp"
#include "control_api/majority_contact.hpp"
#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {
namespace {
base::Response replica_set_error(consensus::ReplicaSetError error) {
  switch (error) {
    case consensus::ReplicaSetError::no_change:
      return error_response(503, "another change of the set is under way; ask again");
    case consensus::ReplicaSetError::too_few:
      return error_response(409, "fewer than three holders could not bear a loss");
    case consensus::ReplicaSetError::no_majority:
      return register_error(consensus::RegisterError::no_majority);
    case consensus::ReplicaSetError::conflict:
      return error_response(503, "another change of the set came first; read before trying again");
    default:
      return outcome_unknown();
  }
}
}  // namespace

base::Response get_replicas(const ApiContext& context, const ApiRequest&) {
  return json_response(200, message_json(context.node.registers().replica_set().message()),
                       cached_register(context.node, consensus::kReplicaSetKey).version);
}

base::Response put_replica(const ApiContext& context, const ApiRequest& request) {
  auto body = parse_body(request.http.body, replica_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  const auto& json = std::get<base::Json>(body);
  bool add = json.at("holder").bool_or();
  auto address = json.at("address").string_or();
  if (add && address.empty()) return validation_errors({{"/address", "is missing"}});
  auto& node = context.node;
  if (auto no_majority = await_majority_contact(node)) return *no_majority;
  const auto& name = request.path[2];
  auto next = node.registers().replica_set().current();
  bool present = consensus::contains_name(next, name);
  if (add == present) return json_response(200, message_json(node.registers().replica_set().message()));
  if (add)
    next.push_back({name, address});
  else
    std::erase_if(next, [&](auto& replica) { return replica.name == name; });
  auto result =
      node.registers().change(next, [&] { return node.state_cache().register_names(node.config().bound); });
  if (auto* error = std::get_if<consensus::ReplicaSetError>(&result)) return replica_set_error(*error);
  return json_response(200, message_json(std::get<pb::ReplicaSet>(result)));
}

}  // namespace dunlinwing::control_api
