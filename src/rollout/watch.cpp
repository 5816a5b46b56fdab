// A move was asked for after the pull that came before the look that first showed it. Who
// begins to look in its midst takes what is recorded, and adds the span of a read_lease and
// a bound for what was recorded late: whatever is not known counts against it.
#include "rollout/watch.hpp"

#include <algorithm>

#include "traffic/trial.hpp"

namespace dunlinwing::rollout {

void Watch::look(TimePoint now, const membership::Chosen& chosen,
                 const std::map<std::string, pb::NodeStatus>& statuses,
                 const std::map<std::string, membership::WorkerFact>& workers) {
  std::map<std::string, pb::ServiceState> states;
  std::map<std::string, std::vector<traffic::Worker>> by;
  std::map<std::string, std::map<std::string, int>> warm_by;
  std::set<std::string> cold, warm;
  for (auto& [i, w] : workers) {
    if (w.gone) continue;
    by[w.beat.service()].push_back({i, w.beat.service(), w.beat.version(), {}, {}, 1});
    if (Duration(w.beat.cold_ms()) > w.age)
      cold.insert(i);
    else
      ++warm_by[w.beat.service()][w.beat.version()];
  }
  for (auto& [k, h] : chosen) {
    if (!k.starts_with("service/")) continue;
    auto name = k.substr(8);
    auto& s = states[name];
    s.ParseFromString(h.data);
    if (s.trial().empty() || !s.within_ms()) {
      cases_.erase(name);
      continue;
    }
    auto& c = cases_[name];
    if (c.number != s.trial_number()) {
      c = {s.trial_number(), {}, {}, {}, {}};
      c.asked = last_ == TimePoint(0) ? now - Duration(static_cast<int64_t>(s.held_ms())) - bound_ * 3
                                      : last_ - bound_ / 8;
    }
    auto asked = traffic::trial_workers(by[name], s.trial(), true);
    bool any_cold = std::any_of(asked.begin(), asked.end(), [&](auto& w) { return cold.count(w.instance); });
    if (asked.empty() || any_cold)
      c.warm = TimePoint(0);
    else if (c.warm == TimePoint(0))
      c.warm = now;
    if (c.warm != TimePoint(0) && now - c.warm >= bound_ / 4) warm.insert(name);
    if (!s.switching())
      c.switching = TimePoint(0);
    else if (c.switching == TimePoint(0))
      c.switching = now;
    c.warm_workers = warm_by[name];
  }
  docket_.hear(states, statuses, warm);
  last_ = now;
}

void Watch::tell(TimePoint now, const std::string& service, const pb::ServiceState& s, MoveSight& v) const {
  auto f = cases_.find(service);
  if (f == cases_.end() || f->second.number != s.trial_number()) return;
  auto& c = f->second;
  v.asked = now - c.asked;
  v.switching = c.switching == TimePoint(0) ? Duration(0) : now - c.switching;
  v.warm = c.warm_workers;
  v.all_warm = c.warm != TimePoint(0) && now - c.warm >= bound_ / 4;
  v.seen = docket_.at(service);
}

}  // namespace dunlinwing::rollout
