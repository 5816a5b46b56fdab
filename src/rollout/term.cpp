// Two things can go wrong: a bad version that is promoted breaks a rule, a good one that
// is not costs little. So every doubt ends in a roll-back. The verdict comes as late as
// the term allows, which leaves the most evidence and, should the version turn bad only
// under the whole load, the least time for it; in the switch the relays still judge, and
// go back by themselves.
#include <fmt/format.h>

#include <algorithm>

#include "rollout/moves.hpp"
#include "traffic/trial.hpp"

namespace dunlinwing::rollout {
namespace {
Duration span(uint64_t ms) { return Duration(static_cast<int64_t>(ms)); }
int of(const std::map<std::string, int>& m, const std::string& k) {
  auto f = m.find(k);
  return f == m.end() ? 0 : f->second;
}
}  // namespace

void drop_trial(pb::ServiceState& s) {
  s.clear_trial();
  s.set_switching(false);
  if (s.outcome() != "running") return;
  s.set_outcome("rolled_back");
  s.set_why("another order took its place");
}

void open_trial(pb::ServiceState& s, const std::string& version, Duration within, Duration longest) {
  drop_trial(s);
  s.set_trial(version);
  s.set_trial_number(s.trial_number() + 1);
  for (auto set : {&pb::ServiceState::set_good, &pb::ServiceState::set_bad, &pb::ServiceState::set_from_good,
                   &pb::ServiceState::set_from_bad, &pb::ServiceState::set_held_ms})
    (s.*set)(0);
  s.set_why("on trial");
  s.set_within_ms(static_cast<uint64_t>(within.count()));
  s.set_longest_ms(static_cast<uint64_t>(longest.count()));
  s.set_percent(within > Duration(0) ? traffic::kColdPercent : 0);
  if (within == Duration(0)) return;
  s.set_asked(version);
  s.set_outcome("running");
}

std::string outcome(const pb::ServiceState& s) { return s.asked().empty() ? std::string() : s.outcome(); }

MoveOutcome step_term(const std::string& name, const pb::ServiceState& s, const MoveSight& v,
                      const Rules& r) {
  MoveOutcome o{s, {}};
  auto& n = o.state;
  auto to = s.trial();
  auto all = traffic::sum(v.seen.trial), from = traffic::sum(v.seen.old);
  n.set_held_ms(std::max(s.held_ms(), static_cast<uint64_t>(v.asked.count())));
  n.set_good(std::max(s.good(), all.good));
  n.set_bad(std::max(s.bad(), all.bad));
  n.set_from_good(std::max(s.from_good(), from.good));
  n.set_from_bad(std::max(s.from_bad(), from.bad));
  Duration term = span(s.within_ms()), at = span(n.held_ms()), margin = r.bound / 8;
  Duration ending = r.bound + std::min(span(s.longest_ms()), r.bound);  // of a switch, once it is recorded
  Duration latest = term - ending - margin * 3, verdict = latest - margin * 2;

  auto save = [&](bool urgent) { o.effects.push_back(Save{urgent}); };
  auto end = [&](const char* how, const std::string& why) {
    n.clear_trial();
    n.set_switching(false);
    n.set_outcome(how);
    n.set_why(why);
    o.effects.push_back(
        Tell{fmt::format("Service {}: the move to version {} is {}: {}.", name, to, how, why)});
    save(true);
  };
  auto back = [&](const std::string& why) {
    (*n.mutable_quarantined())[to] = why;
    end("rolled_back", why);
  };
  auto figures = fmt::format("{} bad answers of {}, {} slow, against {} and {} of {}", all.bad, all.all(),
                             all.slow, from.bad, from.slow, from.all());
  if (v.given_up || n.bad() >= static_cast<uint64_t>(r.system.bad_answers) ||
      traffic::plainly_worse(v.seen)) {
    back(figures);
  } else if (auto why = traffic::worse(v.seen); !why.empty()) {
    back(why);
  } else if (s.switching()) {
    if (!of(v.workers, to)) {
      back("its workers went away in the switch");
    } else if (auto poor = traffic::refuted(v.seen); !poor.empty()) {
      back(poor);
    } else if (v.switching >= ending) {
      auto* k = n.mutable_kept();
      k->erase(std::remove(k->begin(), k->end(), to), k->end());
      n.set_current(to);
      end("completed", figures);
    }
  } else if (at >= latest) {
    back("no verdict in time: " + (s.why().empty() ? std::string("nothing was seen") : s.why()));
  } else {
    auto few = [&] { return of(v.warm, to) * 4 < std::max(1, of(v.workers, s.current())) * 3; };
    why = !v.all_warm ? std::string("its workers are not warm yet") : traffic::objection(v.seen);
    if (why.empty() && few())
      why = fmt::format("{} warm workers for {} of the version in place", of(v.warm, to),
                        of(v.workers, s.current()));
    // What is not needed for the verdict is left for the switch, should it have to go back.
    uint32_t share = v.all_warm && !traffic::ample(v.seen) ? traffic::kTermPercent : traffic::kColdPercent;
    if (v.all_warm && s.percent() != share) {
      n.set_percent(share);
      save(true);
    }
    n.set_why(why.empty() ? "nothing speaks against it so far" : why);
    if (why.empty() && at >= verdict) {
      n.set_switching(true);
      n.set_why("switching: " + figures);
      o.effects.push_back(Tell{fmt::format("Service {}: {} to version {}.", name, n.why(), to)});
      save(true);
    }
  }
  if (o.effects.empty()) save(false);
  return o;
}

}  // namespace dunlinwing::rollout
