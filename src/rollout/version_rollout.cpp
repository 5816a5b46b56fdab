// Fifty bad answers of a version on trial put it into quarantine for good, however
// the version in place fares. A promoted version that turns bad (fifty in ten
// seconds, or in a minute) while its forerunner still has workers gives way to it.
#include "rollout/version_rollout.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
constexpr int kMostKept = 16;  // former versions without workers

double rate(uint64_t good, uint64_t bad) {
  return good + bad ? static_cast<double>(bad) / static_cast<double>(good + bad) : 0;
}
bool worse(double a, double b) { return a > 2 * b + 0.01; }
}  // namespace

void prune_previous_versions(pb::ServiceState& state, const std::map<std::string, int>& workers) {
  auto* kept = state.mutable_previous_versions();
  auto idle = [&](const std::string& version) {
    auto at = workers.find(version);
    return at == workers.end() || !at->second;
  };
  auto many = std::count_if(kept->begin(), kept->end(), idle);
  for (int i = 0; many > kMostKept && i < kept->size();) {
    if (!idle(kept->Get(i))) {
      ++i;
      continue;
    }
    kept->DeleteSubrange(i, 1);
    --many;
  }
}

std::string service_key(const std::string& s) { return "service/" + s; }

VersionRolloutStep step(const std::string& name, const pb::ServiceState& state,
                        const VersionRolloutObservation& observation, const RolloutRules& rules) {
  if (!state.canary().empty() && state.deadline_ms())
    return step_with_deadline(name, state, observation, rules);
  VersionRolloutStep result{state, {}};
  auto& n = result.state;
  auto get = [](const std::map<std::string, VersionTotals>& m, const std::string& k) {
    auto f = m.find(k);
    return f == m.end() ? VersionTotals{} : f->second;
  };
  auto tell = [&](std::string t) { result.effects.push_back(LogEffect{std::move(t)}); };
  auto banish = [&](const std::string& ver, const std::string& why) {
    (*n.mutable_quarantined())[ver] = why;
    n.set_reason(fmt::format("version {} is in quarantine: {}", ver, why));
    tell(fmt::format("Service {}: {}.", name, n.reason()));
    result.effects.push_back(PersistEffect{true});
  };
  auto limit = static_cast<uint64_t>(rules.system.max_canary_failures);
  if (!n.canary().empty()) {
    auto t = get(observation.delta, n.canary()), f = get(observation.delta, n.current());
    n.set_good(n.good() + t.good);
    n.set_bad(n.bad() + t.bad);
    n.set_baseline_good(n.baseline_good() + f.good);
    n.set_baseline_bad(n.baseline_bad() + f.bad);
    n.set_held_ms(n.held_ms() + static_cast<uint64_t>(observation.elapsed.count()));
    double a = rate(n.good(), n.bad()), b = rate(n.baseline_good(), n.baseline_bad());
    if (n.bad() >= limit || observation.aborted) {
      auto ver = n.canary();
      n.clear_canary();
      banish(ver, fmt::format("{} bad answers of {} on trial, against {} of {}", n.bad(), n.good() + n.bad(),
                              n.baseline_bad(), n.baseline_good() + n.baseline_bad()));
    } else if (n.good() + n.bad() >= static_cast<uint64_t>(rules.system.promote_requests) &&
               Duration(static_cast<int64_t>(n.held_ms())) >=
                   Duration(static_cast<int64_t>(static_cast<double>(rules.system.promote_seconds) * 1000 /
                                                 rules.scale))) {
      if (worse(a, b)) {
        n.set_reason("it answers worse than the version in place, and stays on trial");
      } else {
        auto old = n.current();
        auto* k = n.mutable_previous_versions();
        k->erase(std::remove(k->begin(), k->end(), n.canary()), k->end());
        if (std::find(k->begin(), k->end(), old) == k->end()) n.add_previous_versions(old);
        prune_previous_versions(n, observation.instances);
        n.set_current(n.canary());
        n.clear_canary();
        n.set_reason(fmt::format("promoted after {} requests, {} of them bad", n.good() + n.bad(), n.bad()));
        tell(fmt::format("Service {}: version {} is {}.", name, n.current(), n.reason()));
        result.effects.push_back(PersistEffect{true});
      }
    }
  }
  // Whether the version in place gave way to one it followed, over this span.
  auto gave_way = [&](const std::map<std::string, VersionTotals>& span) {
    auto c = get(span, n.current());
    if (c.bad < limit) return false;
    for (int i = n.previous_versions_size() - 1; i >= 0; --i) {
      auto k = n.previous_versions(i);
      auto w = observation.instances.find(k);
      auto kc = get(span, k);
      if (n.quarantined().count(k) || w == observation.instances.end() || !w->second) continue;
      if (!worse(rate(c.good, c.bad), rate(kc.good, kc.bad))) continue;
      auto bad = n.current();
      n.set_current(k);
      n.mutable_previous_versions()->DeleteSubrange(i, 1);
      banish(bad, fmt::format("{} bad answers of {} after promotion", c.bad, c.good + c.bad));
      return true;
    }
    return false;
  };
  if (!gave_way(observation.recent)) gave_way(observation.minute);
  if (result.effects.empty() && !google::protobuf::util::MessageDifferencer::Equals(n, state))
    result.effects.push_back(PersistEffect{false});
  return result;
}

}  // namespace dunlinwing::rollout
