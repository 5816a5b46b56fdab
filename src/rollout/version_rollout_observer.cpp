#include "rollout/version_rollout_observer.hpp"

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kWarmFraction = 4;      // instances must have been warm for the bound divided by this
constexpr int kUnrecordedBounds = 3;  // the duration of a lease, plus a bound
constexpr int kSessionBounds = 2;     // at least a node's session timeout, see StateCacheConfig

// Since when the condition has held continuously; 0: it does not hold now.
TimePoint condition_start(TimePoint before, bool holds, TimePoint now) {
  if (!holds) return TimePoint(0);
  return before == TimePoint(0) ? now : before;
}
}  // namespace

void VersionRolloutObserver::update(
    TimePoint now, TimePoint pulled_at, const membership::ChosenValues& chosen,
    const std::map<std::string, pb::NodeStatus>& statuses,
    const std::map<std::string, membership::BackendInstanceStatus>& instances) {
  if (first_update_ == TimePoint(0)) first_update_ = now;
  auto view = view_instances(instances);
  std::map<std::string, pb::ServiceState> states;
  std::set<std::string> warm;  // services whose canary has warm instances
  const auto prefix = service_key("");
  for (const auto& [key, value] : chosen)
    if (key.starts_with(prefix)) states[key.substr(prefix.size())].ParseFromString(value.data);
  request_times_.update(pulled_at, states);
  for (const auto& [service, state] : states) {
    if (!has_deadline_rollout(state)) {
      rollouts_.erase(service);
      continue;
    }
    observe(now, service, state, view);
    auto& rollout = rollouts_[service];
    estimate_request_time(now, service, state, statuses, rollout);
    observe_nodes(service, state, statuses, rollout);
    if (is_warm(now, rollout)) warm.insert(service);
  }
  statistics_.update(states, statuses, warm);
}

VersionRolloutObserver::InstanceView VersionRolloutObserver::view_instances(
    const std::map<std::string, membership::BackendInstanceStatus>& instances) {
  InstanceView view;
  for (const auto& [name, instance] : instances) {
    if (instance.gone) continue;
    const auto& heartbeat = instance.heartbeat;
    view.by_service[heartbeat.service()].push_back(
        {name, heartbeat.service(), heartbeat.version(), {}, {}, 1});
    if (Duration(heartbeat.warm_up_ms()) > instance.age)
      view.cold.insert(name);
    else
      ++view.warm_by_service[heartbeat.service()][heartbeat.version()];
  }
  return view;
}

void VersionRolloutObserver::observe(TimePoint now, const std::string& service, const pb::ServiceState& state,
                                     InstanceView& view) {
  auto& rollout = rollouts_[service];
  if (rollout.canary_number != state.canary_number()) {
    rollout = ObservedRollout{};
    rollout.canary_number = state.canary_number();
    rollout.first_observed_at = now;
  }
  const auto used = canary::canary_instances(view.by_service[service], state.canary(), true);
  const bool any_cold = std::any_of(used.begin(), used.end(),
                                    [&](auto& instance) { return view.cold.count(instance.instance) > 0; });
  rollout.warm_since = condition_start(rollout.warm_since, !used.empty() && !any_cold, now);
  rollout.switch_observed_at = condition_start(rollout.switch_observed_at, state.switching(), now);
  rollout.warm_instances = view.warm_by_service[service];
}

void VersionRolloutObserver::estimate_request_time(TimePoint now, const std::string& service,
                                                   const pb::ServiceState& state,
                                                   const std::map<std::string, pb::NodeStatus>& statuses,
                                                   ObservedRollout& rollout) const {
  if (rollout.knows_request) return;
  auto at = request_times_.requested_at(service, state.canary_number());
  if (!at) at = reported_request_time(statuses, service, state.canary_number(), now);
  if (rollout.requested_at == TimePoint(0))
    rollout.requested_at = now - Duration(static_cast<int64_t>(state.held_ms()));
  const bool waits = !at && now - rollout.first_observed_at < bound_;
  if (waits) return;
  rollout.knows_request = true;
  rollout.requested_at = at ? *at : rollout.requested_at - bound_ * kUnrecordedBounds;
}

// Records how many requests the nodes sent to the canary, and whether all of them follow a switch to it.
void VersionRolloutObserver::observe_nodes(const std::string& service, const pb::ServiceState& state,
                                           const std::map<std::string, pb::NodeStatus>& statuses,
                                           ObservedRollout& rollout) {
  rollout.all_follow_switch = true;
  for (const auto& [source, status] : statuses) {
    for (const auto& counts : status.canary_counts()) {
      if (counts.service() != service || counts.number() != state.canary_number()) continue;
      auto& sent = rollout.sent_to_canary[{source, status.version().incarnation()}];
      sent = std::max(sent, counts.sent());
    }
    rollout.all_follow_switch &=
        std::any_of(status.switches().begin(), status.switches().end(), [&](const auto& followed) {
          return followed.service() == service && followed.number() == state.canary_number();
        });
  }
}

bool VersionRolloutObserver::is_warm(TimePoint now, const ObservedRollout& rollout) const {
  return rollout.warm_since != TimePoint(0) && now - rollout.warm_since >= bound_ / kWarmFraction;
}

void VersionRolloutObserver::fill_observation(TimePoint now, const std::string& service,
                                              const pb::ServiceState& state,
                                              VersionRolloutObservation& observation) const {
  auto found = rollouts_.find(service);
  if (found == rollouts_.end() || found->second.canary_number != state.canary_number()) return;
  const auto& rollout = found->second;
  observation.since_requested = now - rollout.requested_at;
  observation.since_switch =
      rollout.switch_observed_at == TimePoint(0) ? Duration(0) : now - rollout.switch_observed_at;
  observation.warm_instances = rollout.warm_instances;
  observation.all_warm = is_warm(now, rollout);
  observation.sample = statistics_.at(service);
  for (const auto& [process, sent] : rollout.sent_to_canary) observation.sent_to_canary += sent;
  // Before it has observed for a session, this node may not have received the status of every node.
  observation.all_follow_switch = rollout.all_follow_switch && now - first_update_ >= bound_ * kSessionBounds;
}

}  // namespace dunlinwing::rollout
