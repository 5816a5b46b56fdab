// A document is validated first, on its own; then its name's register is read from a majority, to
// find out whether the name is taken.
#include "control_api/releases.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.hpp"
#include "config/names.hpp"
#include "control_api/cached_registers.hpp"
#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"
#include "control_api/services.hpp"
#include "rollout/release_checks.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("control-api");
constexpr std::string_view kReleasePrefix = "release/";
constexpr std::string_view kConfigurationKind = "layout";  // of releases, as the API names it

using RoutingConfigurationPtr = std::shared_ptr<const config::RoutingConfiguration>;

// ---- Reading ----

std::string progress_json(const pb::RolloutState& rollout, const std::string& kind, const std::string& name) {
  for (const auto& progress : rollout.releases())
    if (progress.kind() == kind && progress.release() == name) return message_json(progress);
  return "null";
}

/// The members of a release's JSON object except its document, without the closing brace.
std::string release_summary(node::Node& node, const pb::RolloutState& rollout, const std::string& kind,
                            const std::string& name) {
  pb::OperatorAction action;
  action.ParseFromString(cached_register(node, config::operator_action_key(kind, name)).data);
  return fmt::format(R"({{"kind":{},"name":{},"course":{},"acts":{})", base::quote(kind), base::quote(name),
                     progress_json(rollout, kind, name), message_json(action));
}

/// @param only_kind  empty: every kind
base::Response list(node::Node& node, const std::string& only_kind) {
  auto rollout = rollout::read_rollout_state(node.state_cache().chosen());
  std::vector<std::string> releases;
  for_each_cached_register(
      node, kReleasePrefix, [&](const std::string& path, const consensus::VersionedValue& value) {
        if (!value.version) return;
        auto slash = path.find('/');
        auto kind = path.substr(0, slash);
        if (!only_kind.empty() && kind != only_kind) return;
        releases.push_back(release_summary(node, rollout, kind, path.substr(slash + 1)) + "}");
      });
  return json_response(200, fmt::format("{{\"releases\":[{}]}}", fmt::join(releases, ",")));
}

base::Response no_such_kind() { return error_response(404, "no such kind of release"); }
base::Response no_such_release() { return error_response(404, "no such release"); }

// ---- Recording ----

base::Response leaves_out_current(const std::string& service, const std::string& current) {
  constexpr auto kForm =
      R"({{"defects":[{{"at":"/content/services/{}/versions","what":"leaves out {}, the version in place; move the service first"}}]}})";
  return json_response(409, fmt::format(kForm, service, current));
}

/// Whether the configuration has a version that serves the service now or served it before.
bool keeps_a_version(const config::ServiceConfiguration& service, const pb::ServiceState& state) {
  auto allowed = [&](const std::string& version) {
    return std::find(service.versions.begin(), service.versions.end(), version) != service.versions.end();
  };
  if (state.current().empty() || service.versions.empty() || allowed(state.current())) return true;
  return std::any_of(state.previous_versions().begin(), state.previous_versions().end(), allowed);
}

/// Rejects a configuration that leaves out the current version of a service: only a version rollout, through
/// a canary, replaces that version.
/// @return the response that rejects it, or that reports that the check could not be made; else empty
std::optional<base::Response> check_versions(node::Node& node, const config::Release& release) {
  auto parsed = config::parse_routing_configuration(release.name, release.content);
  auto* next = std::get_if<RoutingConfigurationPtr>(&parsed);
  if (!next) return {};
  auto read = configuration_in_force(node);
  if (auto* response = std::get_if<base::Response>(&read)) return *response;
  auto in_force = std::get<RoutingConfigurationPtr>(read);
  for (const auto& [name, service] : (*next)->services) {
    if (!in_force || !in_force->services.count(name)) continue;
    auto stored = node.registers().read(rollout::service_key(name));
    if (auto* error = std::get_if<consensus::RegisterError>(&stored)) return register_error(*error);
    pb::ServiceState state;
    state.ParseFromString(std::get<consensus::VersionedValue>(stored).data);
    if (!keeps_a_version(service, state)) return leaves_out_current(name, state.current());
  }
  return {};
}

/// The kind and the name of a release in a request.
struct ReleaseName {
  const std::string& kind;
  const std::string& name;
  std::string path() const { return fmt::format("/v1/releases/{}/{}", kind, name); }
  std::string key() const { return config::release_key(kind, name); }
};

std::string recorded_json(const ReleaseName& release, bool was_known) {
  return fmt::format(R"({{"recorded":true,"was_known":{},"at":"{}"}})", was_known, release.path());
}

/// The response when the name is taken, by the same document or by another.
base::Response already_recorded(const ApiRequest& request, const consensus::VersionedValue& stored,
                                const ReleaseName& release) {
  if (stored.data == request.http.body && may_be_retry(request.http, stored.version))
    return json_response(200, recorded_json(release, true), stored.version);
  if (auto failed = check_precondition(request.http, stored.version)) return *failed;
  return error_response(409, "a release of this name exists and is immutable", stored.version);
}

/// Writes a valid release to its register, unless it was written before.
base::Response record(const ApiContext& context, const ApiRequest& request, const ReleaseName& release) {
  std::optional<base::Response> taken;
  consensus::RegisterUpdate update;
  update.deadline = request.deadline;
  update.apply = [&](const consensus::VersionedValue& stored) -> std::optional<std::string> {
    taken.reset();
    if (stored.version == 0) return request.http.body;
    taken = already_recorded(request, stored, release);
    return {};
  };
  const auto result = context.updater.update(release.key(), update);
  if (const auto* error = as<consensus::UpdateError>(result)) return update_error(*error);
  if (taken) return *taken;
  logger.info("Release {} {} was recorded.", release.kind, release.name);
  auto response = json_response(202, recorded_json(release, false), 1);
  response.headers.emplace_back("Location", release.path());
  return response;
}

// ---- Operator actions ----

enum class ActionKind { waiver, withdrawal, express };

struct ActionRequest {
  ActionKind kind;
  std::string check;  ///< the waived check, of a waiver
};

/// The action that a path /v1/releases/KIND/NAME/ACTION names; empty when it names none.
std::optional<ActionRequest> parse_action(const std::vector<std::string>& path) {
  const auto& action = path[4];
  if (path.size() == 5) {
    if (action == "withdrawal") return ActionRequest{ActionKind::withdrawal, {}};
    if (action == "express") return ActionRequest{ActionKind::express, {}};
    return {};
  }
  const auto& check = path[5];
  bool known = std::any_of(std::begin(rollout::kChecks), std::end(rollout::kChecks),
                           [&](const char* name) { return check == name; });
  if (action != "waivers" || !known) return {};
  return ActionRequest{ActionKind::waiver, check};
}

void set_reason(pb::OperatorAction& action, const ActionRequest& wanted, const std::string& reason) {
  switch (wanted.kind) {
    case ActionKind::waiver:
      (*action.mutable_waived())[wanted.check] = reason;
      return;
    case ActionKind::withdrawal:
      action.set_withdrawn(reason);
      return;
    case ActionKind::express:
      action.set_express(reason);
      return;
  }
}
}  // namespace

base::Response put_release(const ApiContext& context, const ApiRequest& request) {
  const ReleaseName release{request.path[2], request.path[3]};
  if (!config::is_release_kind(release.kind)) return no_such_kind();
  if (!config::is_valid_release_name(release.name))
    return error_response(422, "a release is named by letters, digits, '-', '_' and '.'");
  auto parsed = config::parse_release(release.kind, release.name, request.http.body);
  if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&parsed))
    return validation_errors(*errors);
  auto read = context.node.registers().read(release.key());
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  const auto& stored = std::get<consensus::VersionedValue>(read);
  if (stored.version > 0) return already_recorded(request, stored, release);
  if (auto failed = check_precondition(request.http, stored.version)) return *failed;
  if (release.kind == kConfigurationKind)
    if (auto response = check_versions(context.node, std::get<config::Release>(parsed))) return *response;
  return record(context, request, release);
}

base::Response put_operator_action(const ApiContext& context, const ApiRequest& request) {
  const ReleaseName release{request.path[2], request.path[3]};
  auto wanted = parse_action(request.path);
  if (!wanted) return error_response(404, "no such resource");
  auto body = parse_body(request.http.body, reason_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  auto reason = std::get<base::Json>(body).at("reason").string_or();
  auto read = context.node.registers().read(release.key());
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  if (std::get<consensus::VersionedValue>(read).version == 0) return no_such_release();
  auto edit = [&](pb::OperatorAction& action) -> std::optional<base::Response> {
    set_reason(action, *wanted, reason);
    return {};
  };
  return change_register<pb::OperatorAction>(context, request,
                                             config::operator_action_key(release.kind, release.name), edit);
}

base::Response list_releases(const ApiContext& context, const ApiRequest&) { return list(context.node, {}); }

base::Response list_releases_of_kind(const ApiContext& context, const ApiRequest& request) {
  const auto& kind = request.path[2];
  return config::is_release_kind(kind) ? list(context.node, kind) : no_such_kind();
}

base::Response get_release(const ApiContext& context, const ApiRequest& request) {
  const ReleaseName release{request.path[2], request.path[3]};
  if (!config::is_release_kind(release.kind)) return no_such_kind();
  auto stored = cached_register(context.node, release.key());
  if (stored.version == 0) return no_such_release();
  auto rollout = rollout::read_rollout_state(context.node.state_cache().chosen());
  auto summary = release_summary(context.node, rollout, release.kind, release.name);
  return json_response(200, summary + ",\"document\":" + stored.data + "}", stored.version);
}

}  // namespace dunlinwing::control_api
