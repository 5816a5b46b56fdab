// The numbered configuration is one register, which is read by majority. A configuration
// that came by a release is known from the pull that this call waits for.
#include "control_api/services.hpp"

#include <algorithm>

#include "config/numbered_configuration.hpp"
#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"
#include "rollout/version_initializer.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
using RoutingConfigurationPtr = std::shared_ptr<const config::RoutingConfiguration>;

std::variant<RoutingConfigurationPtr, base::Response> numbered_configuration(node::Node& node,
                                                                             const std::string& data) {
  pb::NumberedConfiguration held;
  held.ParseFromString(data);
  auto table = node.request_handler().snapshot();
  if (table->configuration_number == held.number() && table->configuration) return table->configuration;
  auto read = config::parse_routing_configuration(config::numbered_configuration_name(held.number()),
                                                  held.document());
  if (auto* layout = std::get_if<RoutingConfigurationPtr>(&read)) return *layout;
  return error_response(503, "the configuration in force cannot be read by this node's program");
}
}  // namespace

std::variant<RoutingConfigurationPtr, base::Response> configuration_in_force(node::Node& node) {
  auto read = node.registers().read(config::kNumberedConfigurationKey);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto& held = std::get<consensus::VersionedValue>(read);
  if (held.version > 0) return numbered_configuration(node, held.data);
  if (auto unheard = await_majority_contact(node)) return *unheard;
  return node.request_handler().snapshot()->configuration;
}

std::variant<std::shared_ptr<const config::ServiceConfiguration>, base::Response> service_for_version(
    node::Node& node, const std::string& name, const std::string& version) {
  auto in_force = configuration_in_force(node);
  if (auto* response = std::get_if<base::Response>(&in_force)) return *response;
  auto layout = std::get<RoutingConfigurationPtr>(in_force);
  auto found = layout ? layout->services.find(name)
                      : std::map<std::string, config::ServiceConfiguration>::const_iterator();
  if (!layout || found == layout->services.end())
    return error_response(404, "the layout in force has no such service");
  auto& versions = found->second.versions;
  if (!versions.empty() && std::find(versions.begin(), versions.end(), version) == versions.end())
    return validation_errors({{"/version", "the layout in force does not allow this version"}});
  return std::shared_ptr<const config::ServiceConfiguration>(layout, &found->second);
}

std::variant<std::string, base::Response> version_in_place(base::Ports& ports, node::Node& node,
                                                           const std::string& name,
                                                           const config::ServiceConfiguration& service,
                                                           const std::string& except) {
  if (!service.versions.empty()) return service.versions.front();
  if (auto unheard = await_majority_contact(node)) return *unheard;
  return rollout::most_common_version(node.state_cache().statuses().backend_instances(ports.clock.now()),
                                      name, except);
}

base::Response put_service(base::Ports& ports, node::Node& node, ApiRequest& call) {
  auto& name = call.path[2];
  auto body = parse_body(call.request.body, service_version_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  auto to = json.at("version").string_or();
  auto looked_up = service_for_version(node, name, to);
  if (auto* response = std::get_if<base::Response>(&looked_up)) return *response;
  auto service = std::get<std::shared_ptr<const config::ServiceConfiguration>>(looked_up);
  auto edit = [&](pb::ServiceState& state) -> std::optional<base::Response> {
    if (state.switching())
      return error_response(503,
                            "the service is being switched to version " + state.canary() + "; ask again");
    if (state.current().empty()) {
      auto current = version_in_place(ports, node, name, *service, to);
      if (auto* response = std::get_if<base::Response>(&current)) return *response;
      state.set_current(std::get<std::string>(current));
    }
    if (state.quarantined().count(to)) {
      if (!json.at("lift_quarantine").bool_or())
        return error_response(409, "the version is in quarantine: " + state.quarantined().at(to));
      state.mutable_quarantined()->erase(to);
    }
    if (state.current() == to)
      rollout::drop_canary(state);
    else if (state.canary() != to)
      rollout::start_canary(state, to, Duration(0), service->deadline);
    return {};
  };
  return change_register<pb::ServiceState>(ports, node, call, rollout::service_key(name), edit);
}

base::Response get_service(node::Node& node, ApiRequest& call) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(rollout::service_key(call.path[2]));
  if (found == chosen.end() || found->second.version == 0)
    return error_response(404, "no move of this service was ever asked for");
  pb::ServiceState state;
  state.ParseFromString(found->second.data);
  return json_response(200, message_json(state), found->second.version);
}

}  // namespace dunlinwing::control_api
