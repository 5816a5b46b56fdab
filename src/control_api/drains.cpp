// Each drain has its own register, so nodes and zones are drained independently.
#include "control_api/drains.hpp"

#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {

base::Response put_drain(const ApiContext& context, const ApiRequest& request) {
  const auto& scope = request.path[2];
  const auto& name = request.path[3];
  if (scope != "node" && scope != "zone") return error_response(404, "a node or a zone is drained");
  auto body = parse_body(request.http.body, drain_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  const auto& json = std::get<base::Json>(body);
  auto edit = [&](pb::Drain& drain) -> std::optional<base::Response> {
    drain.set_drained(json.at("drained").bool_or());
    drain.set_reason(json.at("reason").string_or());
    return {};
  };
  return change_register<pb::Drain>(context, request, node::drain_key(scope, name), edit);
}

}  // namespace dunlinwing::control_api
