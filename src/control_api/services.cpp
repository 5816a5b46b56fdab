// The numbered configuration is one register, which is read from a majority. A configuration from a
// release is taken from the node's routing snapshot, after a pull that the call waits for.
#include "control_api/services.hpp"

#include <algorithm>

#include "config/numbered_configuration.hpp"
#include "control_api/cached_registers.hpp"
#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"
#include "rollout/version_initializer.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
using RoutingConfigurationPtr = std::shared_ptr<const config::RoutingConfiguration>;
using ServiceConfigurationPtr = std::shared_ptr<const config::ServiceConfiguration>;

/// @param data  of the numbered configuration's register
std::variant<RoutingConfigurationPtr, base::Response> parse_numbered_configuration(node::Node& node,
                                                                                   const std::string& data) {
  pb::NumberedConfiguration numbered;
  numbered.ParseFromString(data);
  auto snapshot = node.request_handler().snapshot();
  if (snapshot->configuration_number == numbered.number() && snapshot->configuration)
    return snapshot->configuration;
  auto parsed = config::parse_routing_configuration(config::numbered_configuration_name(numbered.number()),
                                                    numbered.document());
  if (auto* configuration = std::get_if<RoutingConfigurationPtr>(&parsed)) return *configuration;
  return error_response(503, "the configuration in force cannot be read by this node's program");
}

/// Starts a canary of the version, or ends the running canary when the version is the current one.
/// @return the response that rejects the request
std::optional<base::Response> request_version(pb::ServiceState& state, const std::string& version,
                                              bool lift_quarantine,
                                              const config::ServiceConfiguration& service) {
  if (state.quarantined().count(version)) {
    if (!lift_quarantine)
      return error_response(409, "the version is in quarantine: " + state.quarantined().at(version));
    state.mutable_quarantined()->erase(version);
  }
  if (state.current() == version)
    rollout::drop_canary(state);
  else if (state.canary() != version)
    rollout::start_canary(state, version, Duration(0), service.deadline);
  return {};
}
}  // namespace

std::variant<RoutingConfigurationPtr, base::Response> configuration_in_force(node::Node& node) {
  auto read = node.registers().read(config::kNumberedConfigurationKey);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  const auto& stored = std::get<consensus::VersionedValue>(read);
  if (stored.version > 0) return parse_numbered_configuration(node, stored.data);
  if (auto no_majority = await_majority_contact(node)) return *no_majority;
  return node.request_handler().snapshot()->configuration;
}

std::variant<ServiceConfigurationPtr, base::Response> service_for_version(node::Node& node,
                                                                          const std::string& name,
                                                                          const std::string& version) {
  auto in_force = configuration_in_force(node);
  if (auto* response = std::get_if<base::Response>(&in_force)) return *response;
  auto configuration = std::get<RoutingConfigurationPtr>(in_force);
  if (!configuration || !configuration->services.count(name))
    return error_response(404, "the layout in force has no such service");
  const auto& service = configuration->services.at(name);
  const auto& versions = service.versions;
  if (!versions.empty() && std::find(versions.begin(), versions.end(), version) == versions.end())
    return validation_errors({{"/version", "the layout in force does not allow this version"}});
  return ServiceConfigurationPtr(configuration, &service);
}

std::optional<base::Response> ensure_current_version(const ApiContext& context, pb::ServiceState& state,
                                                     const std::string& name,
                                                     const config::ServiceConfiguration& service,
                                                     const std::string& requested) {
  if (!state.current().empty()) return {};
  if (!service.versions.empty()) {
    state.set_current(service.versions.front());
    return {};
  }
  if (auto no_majority = await_majority_contact(context.node)) return no_majority;
  auto instances = context.node.state_cache().statuses().backend_instances(context.ports.clock.now());
  state.set_current(rollout::most_common_version(instances, name, requested));
  return {};
}

base::Response put_service(const ApiContext& context, const ApiRequest& request) {
  const auto& name = request.path[2];
  auto body = parse_body(request.http.body, service_version_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  const auto& json = std::get<base::Json>(body);
  auto version = json.at("version").string_or();
  bool lift_quarantine = json.at("lift_quarantine").bool_or();
  auto looked_up = service_for_version(context.node, name, version);
  if (auto* response = std::get_if<base::Response>(&looked_up)) return *response;
  auto service = std::get<ServiceConfigurationPtr>(looked_up);
  auto edit = [&](pb::ServiceState& state) -> std::optional<base::Response> {
    if (state.switching())
      return error_response(503,
                            "the service is being switched to version " + state.canary() + "; ask again");
    if (auto no_majority = ensure_current_version(context, state, name, *service, version))
      return no_majority;
    return request_version(state, version, lift_quarantine, *service);
  };
  return change_register<pb::ServiceState>(context, request, rollout::service_key(name), edit);
}

base::Response get_service(const ApiContext& context, const ApiRequest& request) {
  auto stored = cached_register(context.node, rollout::service_key(request.path[2]));
  if (stored.version == 0) return error_response(404, "no move of this service was ever asked for");
  pb::ServiceState state;
  state.ParseFromString(stored.data);
  return json_response(200, message_json(state), stored.version);
}

}  // namespace dunlinwing::control_api
