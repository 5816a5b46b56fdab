// A bad version fails, or is slow, on a third of its requests or more; faults of workers
// and the way to them spoil a few in a hundred. The bars stand between. Workers differ
// in speed by more than two, so a mean alone says little until it is far off.
#include "traffic/docket.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::traffic {
namespace {
constexpr uint64_t kPlain = 8;      // poor answers without which nothing is plain
constexpr double kPlainRate = 0.2;  // beyond the old version's, and
constexpr double kPlainTimes = 2;   // so many times it
constexpr uint64_t kEnough = 30;    // answers on a route that are evidence
constexpr uint64_t kClean = 12;     // enough on a route where none was poor
constexpr uint64_t kAmple = 40;
constexpr uint64_t kTraffic = 3;  // answers by the old version that make a route one with traffic
constexpr uint64_t kSure = 60;    // answers by which a difference beyond the noise stays one
constexpr double kNoise = 0.08;
constexpr double kSlower = 2.2, kSlowerMs = 3;

bool plain(const Tally& t, const Tally& o) {
  return t.poor() >= kPlain && t.rate() > std::max(o.rate() * kPlainTimes, o.rate() + kPlainRate);
}
Tally of(const ByRoute& r, const std::string& k) {
  auto f = r.find(k);
  return f == r.end() ? Tally{} : f->second;
}
std::string differs(const std::string& route, const Tally& t, const Tally& o) {
  if (t.rate() > o.rate() + kNoise)
    return fmt::format("{} poor answers of {} on route '{}', against {} of {}", t.poor(), t.all(), route,
                       o.poor(), o.all());
  if (o.all() && t.mean() > kSlower * o.mean() + kSlowerMs)
    return fmt::format("{:.1f} ms on route '{}', against {:.1f}", t.mean(), route, o.mean());
  return {};
}
Tally minus(const Tally& a, const Tally& b) {
  return {a.good - std::min(a.good, b.good), a.bad - std::min(a.bad, b.bad),
          a.slow - std::min(a.slow, b.slow), a.took_ms - std::min(a.took_ms, b.took_ms)};
}
}  // namespace

Tally& Tally::operator+=(const Tally& o) {
  good += o.good;
  bad += o.bad;
  slow += o.slow;
  took_ms += o.took_ms;
  return *this;
}

Tally sum(const ByRoute& r) {
  Tally t;
  for (auto& [k, x] : r) t += x;
  return t;
}

void Docket::hear(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
                  const std::set<std::string>& warm) {
  for (auto& [name, s] : states) {
    if (s.trial().empty()) {
      cases_.erase(name);
      continue;
    }
    auto& c = cases_[name];
    if (c.number != s.trial_number()) c = {s.trial_number(), false, {}};
    c.warm |= warm.count(name) > 0;
  }
  for (auto& [src, n] : statuses) {
    auto& [inc, rows] = last_[src];
    if (inc != n.mark().incarnation()) rows.clear();
    inc = n.mark().incarnation();
    for (auto& b : n.bad()) {
      Tally now{b.good(), b.bad(), b.slow(), b.took_ms()};
      auto& was = rows[{b.service(), b.version(), b.route()}];
      auto d = minus(now, was);
      was = now;
      auto f = cases_.find(b.service());
      if (!began_ || f == cases_.end()) continue;
      auto& st = states.at(b.service());
      auto& x = f->second.seen;
      bool mine = b.version() == st.trial();
      if (!mine && b.version() != st.current()) continue;
      (mine ? x.trial : x.old)[b.route()] += d;
      if (mine && st.switching()) x.switched[b.route()] += d;
      if (f->second.warm) (mine ? x.warm_trial : x.warm_old)[b.route()] += d;
    }
  }
  began_ = true;
}

const Seen& Docket::at(const std::string& service) const {
  static const Seen none;
  auto f = cases_.find(service);
  return f == cases_.end() ? none : f->second.seen;
}

bool plainly_worse(const Seen& s) {
  // What was good before, cold or with little to do, must not hide what comes now.
  for (auto* t : {&s.trial, &s.warm_trial, &s.switched}) {
    if (plain(sum(*t), sum(s.old))) return true;
    for (auto& [k, x] : *t)
      if (plain(x, of(s.old, k))) return true;
  }
  return false;
}

std::string worse(const Seen& s) {
  for (auto& [k, t] : s.warm_trial)
    if (t.all() >= kSure)
      if (auto d = differs(k, t, of(s.warm_old, k).all() ? of(s.warm_old, k) : of(s.old, k)); !d.empty())
        return d;
  return {};
}

bool ample(const Seen& s) {
  for (auto& [k, o] : s.old)
    if (o.all() >= kTraffic && of(s.warm_trial, k).all() < kAmple) return false;
  return objection(s).empty();
}

std::string objection(const Seen& s) {
  ByRoute routes = s.old;
  for (auto& [k, t] : s.trial) routes[k];
  if (!sum(s.warm_trial).all()) return "no answers since its workers are warm";
  for (auto& [k, o] : routes) {
    auto t = of(s.warm_trial, k), w = of(s.warm_old, k);
    bool traffic = o.all() >= kTraffic || of(s.trial, k).all();
    if (!traffic) continue;
    if (t.all() < kClean || (t.all() < kEnough && t.poor()))
      return fmt::format("only {} answers on route '{}', {} of them poor", t.all(), k, t.poor());
    if (auto d = differs(k, t, w.all() ? w : o); !d.empty()) return d;
  }
  return {};
}

}  // namespace dunlinwing::traffic
