// Fifty bad answers of a version on trial put it into quarantine for good, however
// the version in place fares. A promoted version that turns bad (fifty in ten
// seconds, or in a minute) while its forerunner still has workers gives way to it.
#include "rollout/moves.hpp"

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

void prune_kept(pb::ServiceState& s, const std::map<std::string, int>& workers) {
  auto* kept = s.mutable_kept();
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

MoveOutcome step(const std::string& name, const pb::ServiceState& s, const MoveSight& v, const Rules& r) {
  if (!s.trial().empty() && s.within_ms()) return step_term(name, s, v, r);
  MoveOutcome o{s, {}};
  auto& n = o.state;
  auto get = [](const std::map<std::string, Counts>& m, const std::string& k) {
    auto f = m.find(k);
    return f == m.end() ? Counts{} : f->second;
  };
  auto tell = [&](std::string t) { o.effects.push_back(Tell{std::move(t)}); };
  auto banish = [&](const std::string& ver, const std::string& why) {
    (*n.mutable_quarantined())[ver] = why;
    n.set_why(fmt::format("version {} is in quarantine: {}", ver, why));
    tell(fmt::format("Service {}: {}.", name, n.why()));
    o.effects.push_back(Save{true});
  };
  auto limit = static_cast<uint64_t>(r.system.bad_answers);
  if (!n.trial().empty()) {
    auto t = get(v.delta, n.trial()), f = get(v.delta, n.current());
    n.set_good(n.good() + t.good);
    n.set_bad(n.bad() + t.bad);
    n.set_from_good(n.from_good() + f.good);
    n.set_from_bad(n.from_bad() + f.bad);
    n.set_held_ms(n.held_ms() + static_cast<uint64_t>(v.dt.count()));
    double a = rate(n.good(), n.bad()), b = rate(n.from_good(), n.from_bad());
    if (n.bad() >= limit || v.given_up) {
      auto ver = n.trial();
      n.clear_trial();
      banish(ver, fmt::format("{} bad answers of {} on trial, against {} of {}", n.bad(), n.good() + n.bad(),
                              n.from_bad(), n.from_good() + n.from_bad()));
    } else if (n.good() + n.bad() >= static_cast<uint64_t>(r.system.promote_requests) &&
               Duration(static_cast<int64_t>(n.held_ms())) >=
                   Duration(static_cast<int64_t>(static_cast<double>(r.system.promote_seconds) * 1000 /
                                                 r.scale))) {
      if (worse(a, b)) {
        n.set_why("it answers worse than the version in place, and stays on trial");
      } else {
        auto old = n.current();
        auto* k = n.mutable_kept();
        k->erase(std::remove(k->begin(), k->end(), n.trial()), k->end());
        if (std::find(k->begin(), k->end(), old) == k->end()) n.add_kept(old);
        prune_kept(n, v.workers);
        n.set_current(n.trial());
        n.clear_trial();
        n.set_why(fmt::format("promoted after {} requests, {} of them bad", n.good() + n.bad(), n.bad()));
        tell(fmt::format("Service {}: version {} is {}.", name, n.current(), n.why()));
        o.effects.push_back(Save{true});
      }
    }
  }
  // Whether the version in place gave way to one it followed, over this span.
  auto gave_way = [&](const std::map<std::string, Counts>& span) {
    auto c = get(span, n.current());
    if (c.bad < limit) return false;
    for (int i = n.kept_size() - 1; i >= 0; --i) {
      auto k = n.kept(i);
      auto w = v.workers.find(k);
      auto kc = get(span, k);
      if (n.quarantined().count(k) || w == v.workers.end() || !w->second) continue;
      if (!worse(rate(c.good, c.bad), rate(kc.good, kc.bad))) continue;
      auto bad = n.current();
      n.set_current(k);
      n.mutable_kept()->DeleteSubrange(i, 1);
      banish(bad, fmt::format("{} bad answers of {} after promotion", c.bad, c.good + c.bad));
      return true;
    }
    return false;
  };
  if (!gave_way(v.recent)) gave_way(v.minute);
  if (o.effects.empty() && !google::protobuf::util::MessageDifferencer::Equals(n, s))
    o.effects.push_back(Save{false});
  return o;
}

}  // namespace dunlinwing::rollout
