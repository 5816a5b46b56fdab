// A bad version fails, or is slow, on a third of its requests or more; faults of workers
// and the way to them spoil a few in a hundred. The bars stand between. Workers differ
// in speed by more than two, so a mean alone says little until it is far off.
// A route whose own share can't give enough answers in the time is thin. Thin routes are
// judged as one, so that none holds a good version back; a few poor answers on one of them
// are enough to refuse a bad one.
#include "traffic/docket.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "traffic/trial.hpp"

namespace dunlinwing::traffic {
namespace {
constexpr uint64_t kPlain = 8;        // poor answers without which nothing is plain
constexpr double kPlainRate = 0.2;    // beyond the old version's, and
constexpr double kPlainTimes = 2;     // so many times it
constexpr uint64_t kEnough = 30;      // answers on a route that are evidence
constexpr uint64_t kClean = 12;       // enough where none was poor: a third poor gives that once in a hundred
constexpr uint64_t kForEachPoor = 6;  // as many more for each poor one leave the same doubt
constexpr uint64_t kAmple = 40;
constexpr uint64_t kTraffic = 3;  // answers by the old version that make a route one with traffic
constexpr uint64_t kSure = 60;    // answers by which a difference beyond the noise stays one
constexpr double kNoise = 0.08;
constexpr double kSlower = 2.2, kSlowerMs = 3;
constexpr uint64_t kPercent = 100;
// A route with so many requests in the whole trial gives kClean answers out of its own share.
constexpr uint64_t kBusy = kClean * kPercent / static_cast<uint64_t>(kTermPercent);
constexpr uint64_t kDoubt = 2;    // poor answers on a thin route that keep it from being promoted
constexpr uint64_t kRefuted = 3;  // poor answers on a thin route that end a switch

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

/// Whether the answers are enough for a verdict on what they are of.
bool enough(const Tally& t) { return t.all() >= std::min(kEnough, kClean + kForEachPoor * t.poor()); }

/// The routes with traffic: the old version answers on them, or the one on trial does.
std::set<std::string> routes_with_traffic(const Seen& s) {
  std::set<std::string> routes;
  for (auto& [route, old] : s.old)
    if (old.all() >= kTraffic) routes.insert(route);
  for (auto& [route, trial] : s.trial)
    if (trial.all()) routes.insert(route);
  return routes;
}

/// What the old version does on a route, since the workers on trial are warm if it was asked since.
Tally usual_on(const Seen& s, const std::string& route) {
  auto warm = of(s.warm_old, route);
  return warm.all() ? warm : of(s.old, route);
}

/// Whether a route can't give evidence of its own: it has few requests, and few of them
/// were answered by the version on trial.
bool thin(const Seen& s, const std::string& route) {
  bool busy = of(s.old, route).all() + of(s.trial, route).all() >= kBusy;
  return !busy && !enough(of(s.warm_trial, route));
}

/// What counts for a thin route: the answers of warm workers, and the failures of cold ones
/// too, since every single one says much where there are so few.
Tally thin_tally(const Seen& s, const std::string& route) {
  auto tally = of(s.warm_trial, route);
  tally.bad += minus(of(s.trial, route), tally).bad;
  return tally;
}

/// The thin routes, judged as one: what the version on trial answered on them, and what the
/// old one would have made of the same requests.
struct Pool {
  Tally trial;
  double expected_poor = 0, expected_ms = 0;
};

Pool pool_of_thin(const Seen& s) {
  Pool pool;
  for (auto& route : routes_with_traffic(s)) {
    if (!thin(s, route)) continue;
    auto trial = thin_tally(s, route), usual = usual_on(s, route);
    auto requests = static_cast<double>(trial.all());
    pool.trial += trial;
    pool.expected_poor += requests * usual.rate();
    pool.expected_ms += usual.all() ? requests * usual.mean() : static_cast<double>(trial.took_ms);
  }
  return pool;
}

std::string differs(const Pool& pool) {
  auto requests = static_cast<double>(pool.trial.all());
  if (static_cast<double>(pool.trial.poor()) > pool.expected_poor + requests * kNoise)
    return fmt::format("{} poor answers of {} on routes with few requests, where {:.1f} are usual",
                       pool.trial.poor(), pool.trial.all(), pool.expected_poor);
  if (static_cast<double>(pool.trial.took_ms) > kSlower * pool.expected_ms + kSlowerMs * requests)
    return fmt::format("{} ms for {} answers on routes with few requests, where {:.0f} are usual",
                       pool.trial.took_ms, pool.trial.all(), pool.expected_ms);
  return {};
}

/// A thin route with at least `least` poor answers, far more than is usual there.
std::string poor_thin_route(const Seen& s, uint64_t least) {
  for (auto& route : routes_with_traffic(s)) {
    auto trial = thin_tally(s, route), usual = usual_on(s, route);
    if (!thin(s, route) || trial.poor() < least) continue;
    if (trial.rate() > usual.rate() + kPlainRate)
      return fmt::format("{} poor answers of {} on route '{}', which has few requests", trial.poor(),
                         trial.all(), route);
  }
  return {};
}

/// What speaks against promotion on the thin routes, taken together.
std::string objection_of_thin(const Seen& s) {
  auto pool = pool_of_thin(s);
  if (auto why = poor_thin_route(s, kDoubt); !why.empty()) return why;
  if (enough(pool.trial)) return differs(pool);
  // All of them are too few: the service as a whole speaks for them, if none was poor.
  if (enough(sum(s.warm_trial)) && !pool.trial.poor()) return {};
  return fmt::format("only {} answers on routes with few requests, {} of them poor", pool.trial.all(),
                     pool.trial.poor());
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
      if (auto d = differs(k, t, usual_on(s, k)); !d.empty()) return d;
  return {};
}

bool ample(const Seen& s) {
  for (auto& route : routes_with_traffic(s))
    if (!thin(s, route) && of(s.warm_trial, route).all() < kAmple) return false;
  auto pool = pool_of_thin(s).trial.all();
  return (pool == 0 || pool >= kAmple) && objection(s).empty();
}

std::string objection(const Seen& s) {
  if (!sum(s.warm_trial).all()) return "no answers since its workers are warm";
  for (auto& route : routes_with_traffic(s)) {
    if (thin(s, route)) continue;
    auto trial = of(s.warm_trial, route);
    if (!enough(trial))
      return fmt::format("only {} answers on route '{}', {} of them poor", trial.all(), route, trial.poor());
    if (auto why = differs(route, trial, usual_on(s, route)); !why.empty()) return why;
  }
  return objection_of_thin(s);
}

std::string refuted(const Seen& s) { return poor_thin_route(s, kRefuted); }

}  // namespace dunlinwing::traffic
