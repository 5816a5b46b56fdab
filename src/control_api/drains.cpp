// A drain is one register of its own, so nodes and zones are drained independently.
#include "control_api/drains.hpp"

#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {

base::Response put_drain(base::Ports& ports, node::Node& node, ApiRequest& call) {
  auto &what = call.path[2], &name = call.path[3];
  if (what != "node" && what != "zone") return error_response(404, "a node or a zone is drained");
  auto body = parse_body(call.request.body, drain_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  auto edit = [&](pb::Drain& drain) -> std::optional<base::Response> {
    drain.set_drained(json.at("drained").bool_or());
    drain.set_reason(json.at("reason").string_or());
    return {};
  };
  return change_register<pb::Drain>(ports, node, call, node::drain_key(what, name), edit);
}

}  // namespace dunlinwing::control_api
