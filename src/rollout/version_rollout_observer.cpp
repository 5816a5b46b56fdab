#include "rollout/version_rollout_observer.hpp"

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kPullsPerBound = 8;     // see StateCacheConfig::pull_period
constexpr int kWarmFraction = 4;      // of a bound, for which instances have to be warm before they count
constexpr int kUnrecordedBounds = 3;  // the span of a lease, and a bound

// Since when a condition holds that is observed now; 0: it does not hold.
TimePoint held_since(TimePoint before, bool holds, TimePoint now) {
  if (!holds) return TimePoint(0);
  return before == TimePoint(0) ? now : before;
}
}  // namespace

void VersionRolloutObserver::update(
    TimePoint now, const membership::ChosenValues& chosen,
    const std::map<std::string, pb::NodeStatus>& statuses,
    const std::map<std::string, membership::BackendInstanceStatus>& instances) {
  auto view = view_instances(instances);
  std::map<std::string, pb::ServiceState> states;
  std::set<std::string> warm;  // services whose canary has warm instances
  const auto prefix = service_key("");
  for (const auto& [key, value] : chosen) {
    if (!key.starts_with(prefix)) continue;
    const auto service = key.substr(prefix.size());
    auto& state = states[service];
    state.ParseFromString(value.data);
    if (state.canary().empty() || !state.deadline_ms()) {
      rollouts_.erase(service);
      continue;
    }
    observe(now, service, state, view);
    if (is_warm(now, rollouts_[service])) warm.insert(service);
  }
  statistics_.update(states, statuses, warm);
  updated_ = now;
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
    rollout.requested = request_time(now, state);
  }
  const auto used = canary::canary_instances(view.by_service[service], state.canary(), true);
  const bool any_cold = std::any_of(used.begin(), used.end(),
                                    [&](auto& instance) { return view.cold.count(instance.instance) > 0; });
  rollout.warm_since = held_since(rollout.warm_since, !used.empty() && !any_cold, now);
  rollout.switched = held_since(rollout.switched, state.switching(), now);
  rollout.warm_instances = view.warm_by_service[service];
}

TimePoint VersionRolloutObserver::request_time(TimePoint now, const pb::ServiceState& state) const {
  if (updated_ != TimePoint(0)) return updated_ - bound_ / kPullsPerBound;
  return now - Duration(static_cast<int64_t>(state.held_ms())) - bound_ * kUnrecordedBounds;
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
  observation.since_requested = now - rollout.requested;
  observation.since_switch = rollout.switched == TimePoint(0) ? Duration(0) : now - rollout.switched;
  observation.warm_instances = rollout.warm_instances;
  observation.all_warm = is_warm(now, rollout);
  observation.sample = statistics_.at(service);
}

}  // namespace dunlinwing::rollout
