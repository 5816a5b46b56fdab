// Two things can go wrong: a bad version that is promoted breaks a rule, a good one that
// is not costs little. So every doubt ends in a roll-back. The verdict comes as late as
// the term allows, which leaves the most evidence and, should the version turn bad only
// under the whole load, the least time for it; in the switch the relays still judge, and
// go back by themselves.
#include <fmt/format.h>

#include <algorithm>

#include "canary/canary_share.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {
namespace {
Duration span(uint64_t ms) { return Duration(static_cast<int64_t>(ms)); }
int of(const std::map<std::string, int>& m, const std::string& k) {
  auto f = m.find(k);
  return f == m.end() ? 0 : f->second;
}
}  // namespace

void drop_canary(pb::ServiceState& state) {
  state.clear_canary();
  state.set_switching(false);
  if (state.outcome() != "running") return;
  state.set_outcome("rolled_back");
  state.set_reason("another order took its place");
}

void start_canary(pb::ServiceState& state, const std::string& version, Duration within, Duration longest) {
  drop_canary(state);
  state.set_canary(version);
  state.set_canary_number(state.canary_number() + 1);
  for (auto set :
       {&pb::ServiceState::set_good, &pb::ServiceState::set_bad, &pb::ServiceState::set_baseline_good,
        &pb::ServiceState::set_baseline_bad, &pb::ServiceState::set_held_ms})
    (state.*set)(0);
  state.set_reason("on trial");
  state.set_deadline_ms(static_cast<uint64_t>(within.count()));
  state.set_longest_ms(static_cast<uint64_t>(longest.count()));
  state.set_percent(within > Duration(0) ? canary::kColdPercent : 0);
  if (within == Duration(0)) return;
  state.set_requested(version);
  state.set_outcome("running");
}

std::string rollout_outcome(const pb::ServiceState& state) {
  return state.requested().empty() ? std::string() : state.outcome();
}

VersionRolloutStep step_with_deadline(const std::string& name, const pb::ServiceState& state,
                                      const VersionRolloutObservation& observation,
                                      const RolloutRules& rules) {
  VersionRolloutStep result{state, {}};
  auto& n = result.state;
  auto to = state.canary();
  auto all = canary::sum(observation.sample.canary), from = canary::sum(observation.sample.baseline);
  n.set_held_ms(std::max(state.held_ms(), static_cast<uint64_t>(observation.since_requested.count())));
  n.set_good(std::max(state.good(), all.good));
  n.set_bad(std::max(state.bad(), all.bad));
  n.set_baseline_good(std::max(state.baseline_good(), from.good));
  n.set_baseline_bad(std::max(state.baseline_bad(), from.bad));
  Duration term = span(state.deadline_ms()), at = span(n.held_ms()), margin = rules.bound / 8;
  Duration ending =
      rules.bound + std::min(span(state.longest_ms()), rules.bound);  // of a switch, once it is recorded
  Duration latest = term - ending - margin * 3, verdict = latest - margin * 2;

  auto save = [&](bool urgent) { result.effects.push_back(PersistEffect{urgent}); };
  auto end = [&](const char* how, const std::string& why) {
    n.clear_canary();
    n.set_switching(false);
    n.set_outcome(how);
    n.set_reason(why);
    result.effects.push_back(
        LogEffect{fmt::format("Service {}: the move to version {} is {}: {}.", name, to, how, why)});
    save(true);
  };
  auto back = [&](const std::string& why) {
    (*n.mutable_quarantined())[to] = why;
    end("rolled_back", why);
  };
  auto figures = fmt::format("{} bad answers of {}, {} slow, against {} and {} of {}", all.bad, all.total(),
                             all.slow, from.bad, from.slow, from.total());
  if (observation.aborted || n.bad() >= static_cast<uint64_t>(rules.system.max_canary_failures) ||
      canary::is_clearly_worse(observation.sample)) {
    back(figures);
  } else if (auto why = canary::regression(observation.sample); !why.empty()) {
    back(why);
  } else if (state.switching()) {
    if (!of(observation.instances, to)) {
      back("its workers went away in the switch");
    } else if (auto poor = canary::regression_after_switch(observation.sample); !poor.empty()) {
      back(poor);
    } else if (observation.since_switch >= ending) {
      auto* k = n.mutable_previous_versions();
      k->erase(std::remove(k->begin(), k->end(), to), k->end());
      n.set_current(to);
      end("completed", figures);
    }
  } else if (at >= latest) {
    back("no verdict in time: " +
         (state.reason().empty() ? std::string("nothing was seen") : state.reason()));
  } else {
    auto few = [&] {
      return of(observation.warm_instances, to) * 4 <
             std::max(1, of(observation.instances, state.current())) * 3;
    };
    why = !observation.all_warm ? std::string("its workers are not warm yet")
                                : canary::promotion_blocker(observation.sample);
    if (why.empty() && few())
      why = fmt::format("{} warm workers for {} of the version in place", of(observation.warm_instances, to),
                        of(observation.instances, state.current()));
    // What is not needed for the verdict is left for the switch, should it have to go back.
    uint32_t share = observation.all_warm && !canary::has_ample_evidence(observation.sample)
                         ? canary::kDeadlinePercent
                         : canary::kColdPercent;
    if (observation.all_warm && state.percent() != share) {
      n.set_percent(share);
      save(true);
    }
    n.set_reason(why.empty() ? "nothing speaks against it so far" : why);
    if (why.empty() && at >= verdict) {
      n.set_switching(true);
      n.set_reason("switching: " + figures);
      result.effects.push_back(LogEffect{fmt::format("Service {}: {} to version {}.", name, n.reason(), to)});
      save(true);
    }
  }
  if (result.effects.empty()) save(false);
  return result;
}

}  // namespace dunlinwing::rollout
