// A move was asked for after the pull that came before the look that first showed it. Who
// begins to look in its midst takes what is recorded, and adds the span of a read_lease and
// a bound for what was recorded late: whatever is not known counts against it.
#include "rollout/version_rollout_observer.hpp"

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::rollout {

void VersionRolloutObserver::update(TimePoint now, const membership::ChosenValues& chosen,
                                    const std::map<std::string, pb::NodeStatus>& statuses,
                                    const std::map<std::string, membership::BackendInstanceStatus>& workers) {
  std::map<std::string, pb::ServiceState> states;
  std::map<std::string, std::vector<membership::BackendInstance>> by;
  std::map<std::string, std::map<std::string, int>> warm_by;
  std::set<std::string> cold, warm;
  for (auto& [i, w] : workers) {
    if (w.gone) continue;
    by[w.heartbeat.service()].push_back({i, w.heartbeat.service(), w.heartbeat.version(), {}, {}, 1});
    if (Duration(w.heartbeat.warm_up_ms()) > w.age)
      cold.insert(i);
    else
      ++warm_by[w.heartbeat.service()][w.heartbeat.version()];
  }
  for (auto& [k, h] : chosen) {
    if (!k.starts_with("service/")) continue;
    auto name = k.substr(8);
    auto& state = states[name];
    state.ParseFromString(h.data);
    if (state.canary().empty() || !state.deadline_ms()) {
      cases_.erase(name);
      continue;
    }
    auto& c = cases_[name];
    if (c.number != state.canary_number()) {
      c = {state.canary_number(), {}, {}, {}, {}};
      c.requested = last_ == TimePoint(0) ? now - Duration(static_cast<int64_t>(state.held_ms())) - bound_ * 3
                                          : last_ - bound_ / 8;
    }
    auto asked = canary::canary_instances(by[name], state.canary(), true);
    bool any_cold = std::any_of(asked.begin(), asked.end(), [&](auto& w) { return cold.count(w.instance); });
    if (asked.empty() || any_cold)
      c.warm_since = TimePoint(0);
    else if (c.warm_since == TimePoint(0))
      c.warm_since = now;
    if (c.warm_since != TimePoint(0) && now - c.warm_since >= bound_ / 4) warm.insert(name);
    if (!state.switching())
      c.switch_seen = TimePoint(0);
    else if (c.switch_seen == TimePoint(0))
      c.switch_seen = now;
    c.warm_instances = warm_by[name];
  }
  docket_.update(states, statuses, warm);
  last_ = now;
}

void VersionRolloutObserver::fill_observation(TimePoint now, const std::string& service,
                                              const pb::ServiceState& state,
                                              VersionRolloutObservation& observation) const {
  auto f = cases_.find(service);
  if (f == cases_.end() || f->second.number != state.canary_number()) return;
  auto& c = f->second;
  observation.since_requested = now - c.requested;
  observation.since_switch = c.switch_seen == TimePoint(0) ? Duration(0) : now - c.switch_seen;
  observation.warm_instances = c.warm_instances;
  observation.all_warm = c.warm_since != TimePoint(0) && now - c.warm_since >= bound_ / 4;
  observation.sample = docket_.at(service);
}

}  // namespace dunlinwing::rollout
