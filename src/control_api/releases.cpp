// Whether a name is taken is read from its register, by majority; a document is judged by
// itself first.
#include "control_api/releases.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.hpp"
#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"
#include "control_api/services.hpp"
#include "rollout/release_checks.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("control-api");
constexpr std::string_view kReleasePrefix = "release/";

std::optional<consensus::VersionedValue> chosen(node::Node& node, const std::string& key) {
  auto& all = node.state_cache().chosen();
  auto found = all.find(key);
  if (found == all.end() || found->second.version == 0) return {};
  return found->second;
}

std::string course(const pb::RolloutState& rollout, const std::string& kind, const std::string& name) {
  for (auto& progress : rollout.releases())
    if (progress.kind() == kind && progress.release() == name) return message_json(progress);
  return "null";
}

base::Response get_release(node::Node& node, const std::string& kind, const std::string& name,
                           bool with_document) {
  auto held = chosen(node, config::release_key(kind, name));
  if (!held) return error_response(404, "no such release");
  pb::OperatorAction action;
  if (auto stated = chosen(node, config::operator_action_key(kind, name)))
    action.ParseFromString(stated->data);
  auto rollout = rollout::read_rollout_state(node.state_cache().chosen());
  std::string body = fmt::format(R"({{"kind":{},"name":{},"course":{},"acts":{})", base::quote(kind),
                                 base::quote(name), course(rollout, kind, name), message_json(action));
  if (with_document) body += ",\"document\":" + held->data;
  return json_response(200, body + "}", held->version);
}

base::Response list_releases(node::Node& node, const std::string& only_kind) {
  std::string list;
  for (auto& [key, held] : node.state_cache().chosen()) {
    if (!key.starts_with(kReleasePrefix) || !held.version) continue;
    auto slash = key.find('/', kReleasePrefix.size());
    auto kind = key.substr(kReleasePrefix.size(), slash - kReleasePrefix.size());
    auto name = key.substr(slash + 1);
    if (!only_kind.empty() && kind != only_kind) continue;
    auto one = get_release(node, kind, name, false);
    one.body.pop_back();
    list += (list.empty() ? "" : ",") + one.body;
  }
  return json_response(200, "{\"releases\":[" + list + "]}");
}

base::Response leaves_out_current(const std::string& service, const std::string& current) {
  constexpr auto kForm =
      R"({{"defects":[{{"at":"/content/services/{}/versions","what":"leaves out {}, the version in place; move the service first"}}]}})";
  return json_response(409, fmt::format(kForm, service, current));
}

// Whether the configuration has a version that serves the service now or served it before.
bool keeps_a_version(const config::ServiceConfiguration& service, const pb::ServiceState& state) {
  auto allowed = [&](const std::string& version) {
    return std::find(service.versions.begin(), service.versions.end(), version) != service.versions.end();
  };
  if (state.current().empty() || service.versions.empty() || allowed(state.current())) return true;
  return std::any_of(state.previous_versions().begin(), state.previous_versions().end(), allowed);
}

// A worker version goes into service by a move, on trial; never by a configuration that
// leaves out the one in place. The response when this one does, or when that cannot be told.
std::optional<base::Response> check_versions(node::Node& node, const config::Release& release) {
  auto read = config::parse_routing_configuration(release.name, release.content);
  auto* next = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&read);
  if (!next) return {};
  auto in_force = configuration_in_force(node);
  if (auto* response = std::get_if<base::Response>(&in_force)) return *response;
  auto now = std::get<std::shared_ptr<const config::RoutingConfiguration>>(in_force);
  for (auto& [name, service] : (*next)->services) {
    if (!now || !now->services.count(name)) continue;
    auto held = node.registers().read(rollout::service_key(name));
    if (auto* error = std::get_if<consensus::RegisterError>(&held)) return register_error(*error);
    pb::ServiceState state;
    state.ParseFromString(std::get<consensus::VersionedValue>(held).data);
    if (!keeps_a_version(service, state)) return leaves_out_current(name, state.current());
  }
  return {};
}

// The response when the name is taken, by the same document or by another.
base::Response already_recorded(ApiRequest& call, const consensus::VersionedValue& held,
                                const std::string& path) {
  if (held.data == call.request.body && may_be_own_write(call.request, held.version))
    return json_response(200, fmt::format(R"({{"recorded":true,"was_known":true,"at":"{}"}})", path),
                         held.version);
  if (auto failed = check_precondition(call.request, held.version)) return *failed;
  return error_response(409, "a release of this name exists and is immutable", held.version);
}
}  // namespace

base::Response put_release(node::Node& node, ApiRequest& call) {
  auto &kind = call.path[2], &name = call.path[3];
  if (!config::is_kind(kind)) return error_response(404, "no such kind of release");
  if (!config::is_valid_name(name))
    return error_response(422, "a release is named by letters, digits, '-', '_' and '.'");
  auto release = config::parse_release(kind, name, call.request.body);
  if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&release))
    return validation_errors(*errors);
  auto path = fmt::format("/v1/releases/{}/{}", kind, name);
  auto key = config::release_key(kind, name);
  auto read = node.registers().read(key);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto& held = std::get<consensus::VersionedValue>(read);
  if (held.version > 0) return already_recorded(call, held, path);
  if (auto failed = check_precondition(call.request, held.version)) return *failed;
  if (kind == "layout")
    if (auto response = check_versions(node, std::get<config::Release>(release))) return *response;
  auto written = node.registers().write(key, 0, call.request.body);
  if (auto* error = std::get_if<consensus::RegisterError>(&written)) return register_error(*error);
  if (auto* conflict = std::get_if<consensus::VersionConflict>(&written))
    return already_recorded(call, conflict->current, path);
  logger.info("Release {} {} was recorded.", kind, name);
  auto response =
      json_response(202, fmt::format(R"({{"recorded":true,"was_known":false,"at":"{}"}})", path), 1);
  response.headers.emplace_back("Location", path);
  return response;
}

base::Response put_operator_action(base::Ports& ports, node::Node& node, ApiRequest& call) {
  auto &kind = call.path[2], &name = call.path[3], &what = call.path[4];
  std::string check = call.path.size() > 5 ? call.path[5] : "";
  bool waiver = what == "waivers" && std::any_of(std::begin(rollout::kChecks), std::end(rollout::kChecks),
                                                 [&](auto* known) { return check == known; });
  if (!waiver && (call.path.size() != 5 || (what != "withdrawal" && what != "express")))
    return error_response(404, "no such resource");
  auto body = parse_body(call.request.body, reason_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto reason = std::get<base::Json>(body).at("reason").string_or();
  auto release = node.registers().read(config::release_key(kind, name));
  if (auto* error = std::get_if<consensus::RegisterError>(&release)) return register_error(*error);
  if (std::get<consensus::VersionedValue>(release).version == 0)
    return error_response(404, "no such release");
  auto edit = [&](pb::OperatorAction& action) -> std::optional<base::Response> {
    if (waiver)
      (*action.mutable_waived())[check] = reason;
    else
      (what == "express" ? *action.mutable_express() : *action.mutable_withdrawn()) = reason;
    return {};
  };
  return change_register<pb::OperatorAction>(ports, node, call, config::operator_action_key(kind, name),
                                             edit);
}

base::Response get_releases(node::Node& node, ApiRequest& call) {
  auto& path = call.path;
  if (path.size() > 2 && !config::is_kind(path[2])) return error_response(404, "no such kind of release");
  if (path.size() == 4) return get_release(node, path[2], path[3], true);
  return list_releases(node, path.size() == 3 ? path[2] : "");
}

}  // namespace dunlinwing::control_api
