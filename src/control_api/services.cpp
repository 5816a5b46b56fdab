// The numbered configuration is one register, which is read by majority. A configuration
// that came by a release is known from the pull that this call waits for.
#include "control_api/services.hpp"

#include <algorithm>

#include "control_api/change.hpp"
#include "control_api/schemas.hpp"
#include "rollout/moves.hpp"
#include "rollout/versions.hpp"
#include "traffic/order.hpp"

namespace dunlinwing::control_api {
namespace {
using LayoutPtr = std::shared_ptr<const traffic::Layout>;

std::variant<LayoutPtr, base::Response> numbered_configuration(relay::Node& node, const std::string& data) {
  pb::Order held;
  held.ParseFromString(data);
  auto table = node.traffic().table();
  if (table->order == held.number() && table->layout) return table->layout;
  auto read = traffic::read_layout(traffic::order_name(held.number()), held.document());
  if (auto* layout = std::get_if<LayoutPtr>(&read)) return *layout;
  return error_response(503, "the configuration in force cannot be read by this node's program");
}
}  // namespace

std::variant<LayoutPtr, base::Response> configuration_in_force(relay::Node& node) {
  auto read = node.registers().read(traffic::kOrderKey);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto& held = std::get<consensus::VersionedValue>(read);
  if (held.version > 0) return numbered_configuration(node, held.data);
  if (auto unheard = hear_majority(node)) return *unheard;
  return node.traffic().table()->layout;
}

std::variant<std::shared_ptr<const traffic::Service>, base::Response> service_for_version(
    relay::Node& node, const std::string& name, const std::string& version) {
  auto in_force = configuration_in_force(node);
  if (auto* response = std::get_if<base::Response>(&in_force)) return *response;
  auto layout = std::get<LayoutPtr>(in_force);
  auto found =
      layout ? layout->services.find(name) : std::map<std::string, traffic::Service>::const_iterator();
  if (!layout || found == layout->services.end())
    return error_response(404, "the layout in force has no such service");
  auto& versions = found->second.versions;
  if (!versions.empty() && std::find(versions.begin(), versions.end(), version) == versions.end())
    return validation_errors({{"/version", "the layout in force does not allow this version"}});
  return std::shared_ptr<const traffic::Service>(layout, &found->second);
}

std::variant<std::string, base::Response> version_in_place(base::Ports& ports, relay::Node& node,
                                                           const std::string& name,
                                                           const traffic::Service& service,
                                                           const std::string& except) {
  if (!service.versions.empty()) return service.versions.front();
  if (auto unheard = hear_majority(node)) return *unheard;
  return rollout::commonest(node.state_cache().statuses().workers(ports.clock.now()), name, except);
}

base::Response put_service(base::Ports& ports, relay::Node& node, Call& call) {
  auto& name = call.path[2];
  auto body = parse_body(call.request.body, move_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  auto to = json.at("version").str();
  auto looked_up = service_for_version(node, name, to);
  if (auto* response = std::get_if<base::Response>(&looked_up)) return *response;
  auto service = std::get<std::shared_ptr<const traffic::Service>>(looked_up);
  auto edit = [&](pb::ServiceState& state) -> std::optional<base::Response> {
    if (state.switching())
      return error_response(503, "the service is being switched to version " + state.trial() + "; ask again");
    if (state.current().empty()) {
      auto current = version_in_place(ports, node, name, *service, to);
      if (auto* response = std::get_if<base::Response>(&current)) return *response;
      state.set_current(std::get<std::string>(current));
    }
    if (state.quarantined().count(to)) {
      if (!json.at("lift_quarantine").flag())
        return error_response(409, "the version is in quarantine: " + state.quarantined().at(to));
      state.mutable_quarantined()->erase(to);
    }
    if (state.current() == to)
      rollout::drop_trial(state);
    else if (state.trial() != to)
      rollout::open_trial(state, to, Duration(0), service->deadline);
    return {};
  };
  return change_register<pb::ServiceState>(ports, node, call, rollout::service_key(name), edit);
}

base::Response get_service(relay::Node& node, Call& call) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(rollout::service_key(call.path[2]));
  if (found == chosen.end() || found->second.version == 0)
    return error_response(404, "no move of this service was ever asked for");
  pb::ServiceState state;
  state.ParseFromString(found->second.data);
  return json_response(200, message_json(state), found->second.version);
}

}  // namespace dunlinwing::control_api
