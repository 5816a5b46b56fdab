// A move is acknowledged once it is recorded. The same request again is the same move: while
// it runs, after it has ended, and for a while after a newer one took its place. Another
// takes the place of a running one, unless the service is just being switched.
#include "control_api/version_rollouts.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

#include "control_api/majority_contact.hpp"
#include "control_api/schemas.hpp"
#include "control_api/services.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr int kAttempts = 8;
constexpr int kEarlierKept = 8;
// So long after it was replaced, a move that is asked for again in the same words is a request
// sent again. Later it is a new one.
constexpr Duration kRepeatSpan{30000};

struct MoveRequest {
  std::string service, version;
  Duration within{0};
  bool lift_quarantine = false;
};

base::Response move_response(const pb::ServiceState& state, uint64_t version) {
  constexpr auto kForm =
      R"({{"state":{},"version":{},"why":{},"within_ms":{},"asked_ms_ago":{},"good":{},"bad":{}}})";
  return json_response(200,
                       fmt::format(kForm, base::quote(rollout::rollout_outcome(state)),
                                   base::quote(state.requested()), base::quote(state.reason()),
                                   state.deadline_ms(), state.held_ms(), state.good(), state.bad()),
                       version);
}

base::Response earlier_response(const pb::EarlierVersionRollout& earlier, uint64_t version) {
  constexpr auto kForm = R"({{"state":{},"version":{},"why":{},"within_ms":{}}})";
  return json_response(200,
                       fmt::format(kForm, base::quote(earlier.outcome()), base::quote(earlier.version()),
                                   base::quote(earlier.reason()), earlier.deadline_ms()),
                       version);
}

bool running(const pb::ServiceState& state) { return !state.canary().empty() && state.deadline_ms() > 0; }

// Whether the latest move is the one that is asked for.
bool is_latest(const pb::ServiceState& state, const MoveRequest& move) {
  if (state.requested() != move.version) return false;
  if (running(state)) return state.canary() == move.version;
  bool stands = state.quarantined().count(move.version) > 0 || state.current() == move.version;
  return stands && !move.lift_quarantine;
}

// The replaced move that this request repeats, or null.
const pb::EarlierVersionRollout* find_repeated(const pb::ServiceState& state, const MoveRequest& move,
                                               int64_t wall_ms) {
  if (move.lift_quarantine) return nullptr;
  for (auto& earlier : state.earlier()) {
    bool same = earlier.version() == move.version &&
                earlier.deadline_ms() == static_cast<uint64_t>(move.within.count());
    if (same && std::abs(wall_ms - earlier.replaced_wall_ms()) < kRepeatSpan.count()) return &earlier;
  }
  return nullptr;
}

// Keeps the latest move among the earlier ones, as it ends.
void keep_earlier(pb::ServiceState& state, int64_t wall_ms) {
  rollout::drop_canary(state);
  if (state.requested().empty() || !state.deadline_ms()) return;
  auto& earlier = *state.mutable_earlier();
  auto* kept = earlier.Add();
  kept->set_version(state.requested());
  kept->set_deadline_ms(state.deadline_ms());
  kept->set_outcome(state.outcome());
  kept->set_reason(state.reason());
  kept->set_replaced_wall_ms(wall_ms);
  if (earlier.size() > kEarlierKept) earlier.DeleteSubrange(0, earlier.size() - kEarlierKept);
}

// Makes the move the latest.
void record_move(pb::ServiceState& state, const MoveRequest& move, Duration longest) {
  if (move.lift_quarantine) state.mutable_quarantined()->erase(move.version);
  bool in_place = state.current() == move.version;
  if (!in_place && !state.quarantined().count(move.version))
    return rollout::start_canary(state, move.version, move.within, longest);
  state.set_requested(move.version);
  state.set_deadline_ms(static_cast<uint64_t>(move.within.count()));
  state.set_outcome(in_place ? "completed" : "rolled_back");
  state.set_reason(in_place ? "it is in place"
                            : "the version is in quarantine: " + state.quarantined().at(move.version));
}
}  // namespace

base::Response get_version_rollout(node::Node& node, ApiRequest& call) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(rollout::service_key(call.path[2]));
  pb::ServiceState state;
  if (found != chosen.end()) state.ParseFromString(found->second.data);
  if (rollout::rollout_outcome(state).empty())
    return error_response(404, "no move of this service was ever asked for");
  return move_response(state, found->second.version);
}

base::Response put_version_rollout(base::Ports& ports, node::Node& node, ApiRequest& call) {
  auto body = parse_body(call.request.body, version_rollout_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  MoveRequest move{call.path[2], json.at("version").string_or(), Duration(json.at("within_ms").integer_or()),
                   json.at("lift_quarantine").bool_or()};
  auto looked_up = service_for_version(node, move.service, move.version);
  if (auto* response = std::get_if<base::Response>(&looked_up)) return *response;
  auto service = std::get<std::shared_ptr<const config::ServiceConfiguration>>(looked_up);
  auto key = rollout::service_key(move.service);
  auto read = node.registers().read(key);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto held = std::get<consensus::VersionedValue>(read);
  for (int i = 0; i < kAttempts && (i == 0 || ports.clock.now() < call.deadline); ++i) {
    pb::ServiceState state;
    state.ParseFromString(held.data);
    if (is_latest(state, move)) return move_response(state, held.version);
    auto wall_ms = ports.clock.wall_ms();
    if (auto* repeated = find_repeated(state, move, wall_ms))
      return earlier_response(*repeated, held.version);
    if (auto failed = check_precondition(call.request, held.version)) return *failed;
    if (running(state) && state.switching())
      return error_response(503, "the service is being switched to version " + state.canary() +
                                     "; ask again when that has ended");
    if (state.current().empty()) {
      auto current = version_in_place(ports, node, move.service, *service, move.version);
      if (auto* response = std::get_if<base::Response>(&current)) return *response;
      state.set_current(std::get<std::string>(current));
    }
    keep_earlier(state, wall_ms);
    record_move(state, move, service->deadline);
    auto written = node.registers().write(key, held.version, state.SerializeAsString());
    if (auto* value = std::get_if<consensus::VersionedValue>(&written))
      return move_response(state, value->version);
    if (auto* error = std::get_if<consensus::RegisterError>(&written)) return register_error(*error);
    held = std::get<consensus::VersionConflict>(written).current;
  }
  return error_response(503, "other writes came first; ask again");
}

}  // namespace dunlinwing::control_api
