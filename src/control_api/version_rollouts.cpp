// A version rollout is acknowledged once it is recorded. A repeated request refers to the same
// rollout: while it runs, after it has ended, and for kRetryWindow after a newer one replaced it. A
// different request replaces a running rollout, unless the service is being switched.
#include "control_api/version_rollouts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "control_api/cached_registers.hpp"
#include "control_api/register_change.hpp"
#include "control_api/schemas.hpp"
#include "control_api/services.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
// Replaced rollouts that a service's register keeps: as many as operators' clients may still retry.
constexpr int kMaxEarlier = 8;
// An equal request within this time after a rollout was replaced is a retry of it; later it is a new one.
constexpr Duration kRetryWindow{30000};

/// What an operator requests.
struct RolloutRequest {
  std::string service;
  std::string version;
  Duration deadline{0};  ///< from now
  bool lift_quarantine = false;
};

// ---- Responses ----

std::string rollout_json(const pb::ServiceState& state) {
  constexpr auto kForm =
      R"({{"state":{},"version":{},"why":{},"within_ms":{},"asked_ms_ago":{},"good":{},"bad":{}}})";
  return fmt::format(kForm, base::quote(rollout::rollout_outcome(state)), base::quote(state.requested()),
                     base::quote(state.reason()), state.deadline_ms(), state.held_ms(), state.good(),
                     state.bad());
}

std::string earlier_json(const pb::EarlierVersionRollout& earlier) {
  constexpr auto kForm = R"({{"state":{},"version":{},"why":{},"within_ms":{}}})";
  return fmt::format(kForm, base::quote(earlier.outcome()), base::quote(earlier.version()),
                     base::quote(earlier.reason()), earlier.deadline_ms());
}

// ---- Decisions: pure functions of the service's state and the request ----

bool is_running(const pb::ServiceState& state) { return !state.canary().empty() && state.deadline_ms() > 0; }

/// Whether the latest rollout is the one that is requested.
bool is_latest(const pb::ServiceState& state, const RolloutRequest& wanted) {
  if (state.requested() != wanted.version) return false;
  if (is_running(state)) return state.canary() == wanted.version;
  bool ended = state.quarantined().count(wanted.version) > 0 || state.current() == wanted.version;
  return ended && !wanted.lift_quarantine;
}

/// The replaced rollout that this request is a retry of, or null.
/// @param wall_ms  the current wall-clock time
const pb::EarlierVersionRollout* find_retried(const pb::ServiceState& state, const RolloutRequest& wanted,
                                              int64_t wall_ms) {
  if (wanted.lift_quarantine) return nullptr;
  for (const auto& earlier : state.earlier()) {
    bool same = earlier.version() == wanted.version &&
                earlier.deadline_ms() == static_cast<uint64_t>(wanted.deadline.count());
    if (same && std::abs(wall_ms - earlier.replaced_wall_ms()) < kRetryWindow.count()) return &earlier;
  }
  return nullptr;
}

/// The response to a request that changes nothing: it is a retry, its precondition fails, or a switch is
/// under way.
std::optional<base::Response> response_without_change(const pb::ServiceState& state,
                                                      const RolloutRequest& wanted, const base::Request& http,
                                                      uint64_t version, int64_t wall_ms) {
  if (is_latest(state, wanted)) return json_response(200, rollout_json(state), version);
  if (const auto* retried = find_retried(state, wanted, wall_ms))
    return json_response(200, earlier_json(*retried), version);
  if (auto failed = check_precondition(http, version)) return failed;
  if (is_running(state) && state.switching())
    return error_response(503, "the service is being switched to version " + state.canary() +
                                   "; ask again when that has ended");
  return {};
}

/// Ends the latest rollout and adds it to the earlier ones.
void archive_latest(pb::ServiceState& state, int64_t wall_ms) {
  rollout::drop_canary(state);
  if (state.requested().empty() || !state.deadline_ms()) return;
  auto& list = *state.mutable_earlier();
  auto* archived = list.Add();
  archived->set_version(state.requested());
  archived->set_deadline_ms(state.deadline_ms());
  archived->set_outcome(state.outcome());
  archived->set_reason(state.reason());
  archived->set_replaced_wall_ms(wall_ms);
  if (list.size() > kMaxEarlier) list.DeleteSubrange(0, list.size() - kMaxEarlier);
}

/// Makes the requested rollout the latest. A rollout to a version that is current or quarantined
/// ends at once.
/// @param longest  the maximum duration of a request to the service
void start_rollout(pb::ServiceState& state, const RolloutRequest& wanted, Duration longest) {
  if (wanted.lift_quarantine) state.mutable_quarantined()->erase(wanted.version);
  bool in_place = state.current() == wanted.version;
  if (!in_place && !state.quarantined().count(wanted.version)) {
    rollout::start_canary(state, wanted.version, wanted.deadline, longest);
    return;
  }
  state.set_requested(wanted.version);
  state.set_deadline_ms(static_cast<uint64_t>(wanted.deadline.count()));
  state.set_outcome(in_place ? "completed" : "rolled_back");
  state.set_reason(in_place ? "it is in place"
                            : "the version is in quarantine: " + state.quarantined().at(wanted.version));
}

std::variant<RolloutRequest, base::Response> parse_rollout(const ApiRequest& request) {
  auto body = parse_body(request.http.body, version_rollout_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  const auto& json = std::get<base::Json>(body);
  return RolloutRequest{request.path[2], json.at("version").string_or(),
                        Duration(json.at("within_ms").integer_or()), json.at("lift_quarantine").bool_or()};
}
}  // namespace

base::Response get_version_rollout(const ApiContext& context, const ApiRequest& request) {
  const auto key = rollout::service_key(request.path[2]);
  auto stored = cached_register(context.node, key);
  pb::ServiceState state;
  state.ParseFromString(stored.data);
  // The switch may end at any moment, and near the deadline a client that waits for its end needs the latest
  // state without delay.
  if (state.switching()) {
    const auto read = context.node.registers().read(key);
    if (const auto* latest = std::get_if<consensus::VersionedValue>(&read)) {
      stored = *latest;
      state.ParseFromString(stored.data);
    }
  }
  if (rollout::rollout_outcome(state).empty())
    return error_response(404, "no move of this service was ever asked for");
  return json_response(200, rollout_json(state), stored.version);
}

base::Response put_version_rollout(const ApiContext& context, const ApiRequest& request) {
  auto parsed = parse_rollout(request);
  if (auto* invalid = std::get_if<base::Response>(&parsed)) return *invalid;
  const auto& wanted = std::get<RolloutRequest>(parsed);
  auto looked_up = service_for_version(context.node, wanted.service, wanted.version);
  if (auto* response = std::get_if<base::Response>(&looked_up)) return *response;
  auto service = std::get<std::shared_ptr<const config::ServiceConfiguration>>(looked_up);
  RegisterChange change;
  change.key = rollout::service_key(wanted.service);
  change.conflict_message = "other writes came first; ask again";
  change.decide =
      [&](const consensus::VersionedValue& stored) -> std::variant<RegisterWrite, base::Response> {
    pb::ServiceState state;
    state.ParseFromString(stored.data);
    auto wall_ms = context.ports.clock.wall_ms();
    if (auto response = response_without_change(state, wanted, request.http, stored.version, wall_ms))
      return *response;
    if (auto no_majority = ensure_current_version(context, state, wanted.service, *service, wanted.version))
      return *no_majority;
    archive_latest(state, wall_ms);
    start_rollout(state, wanted, service->deadline);
    return RegisterWrite{state.SerializeAsString(), rollout_json(state)};
  };
  return apply_change(context, request, change);
}

}  // namespace dunlinwing::control_api
