// A bad version fails, or is slow, on a third of its requests or more; faults of workers
// and the way to them spoil a few in a hundred. The bars stand between. Workers differ
// in speed by more than two, so a mean alone says little until it is far off.
// A route whose own share can't give enough answers in the time is thin. Thin routes are
// judged as one, so that none holds a good version back; a few poor answers on one of them
// are enough to refuse a bad one.
#include "canary/canary_statistics.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::canary {
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
constexpr uint64_t kBusy = kClean * kPercent / static_cast<uint64_t>(kDeadlinePercent);
constexpr uint64_t kDoubt = 2;    // poor answers on a thin route that keep it from being promoted
constexpr uint64_t kRefuted = 3;  // poor answers on a thin route that end a switch

bool plain(const OutcomeCounts& t, const OutcomeCounts& o) {
  return t.failed_or_slow() >= kPlain &&
         t.failure_rate() > std::max(o.failure_rate() * kPlainTimes, o.failure_rate() + kPlainRate);
}
OutcomeCounts of(const ByRoute& r, const std::string& k) {
  auto f = r.find(k);
  return f == r.end() ? OutcomeCounts{} : f->second;
}
std::string differs(const std::string& route, const OutcomeCounts& t, const OutcomeCounts& o) {
  if (t.failure_rate() > o.failure_rate() + kNoise)
    return fmt::format("{} poor answers of {} on route '{}', against {} of {}", t.failed_or_slow(), t.total(),
                       route, o.failed_or_slow(), o.total());
  if (o.total() && t.mean_ms() > kSlower * o.mean_ms() + kSlowerMs)
    return fmt::format("{:.1f} ms on route '{}', against {:.1f}", t.mean_ms(), route, o.mean_ms());
  return {};
}
OutcomeCounts minus(const OutcomeCounts& a, const OutcomeCounts& b) {
  return {a.good - std::min(a.good, b.good), a.bad - std::min(a.bad, b.bad),
          a.slow - std::min(a.slow, b.slow), a.total_ms - std::min(a.total_ms, b.total_ms)};
}

/// Whether the answers are enough for a verdict on what they are of.
bool enough(const OutcomeCounts& t) {
  return t.total() >= std::min(kEnough, kClean + kForEachPoor * t.failed_or_slow());
}

/// The routes with traffic: the old version answers on them, or the one on trial does.
std::set<std::string> routes_with_traffic(const CanarySample& s) {
  std::set<std::string> routes;
  for (auto& [route, old] : s.baseline)
    if (old.total() >= kTraffic) routes.insert(route);
  for (auto& [route, trial] : s.canary)
    if (trial.total()) routes.insert(route);
  return routes;
}

/// What the old version does on a route, since the workers on trial are warm if it was asked since.
OutcomeCounts usual_on(const CanarySample& s, const std::string& route) {
  auto warm = of(s.warm_baseline, route);
  return warm.total() ? warm : of(s.baseline, route);
}

/// Whether a route can't give evidence of its own: it has few requests, and few of them
/// were answered by the version on trial.
bool thin(const CanarySample& s, const std::string& route) {
  bool busy = of(s.baseline, route).total() + of(s.canary, route).total() >= kBusy;
  return !busy && !enough(of(s.warm_canary, route));
}

/// What counts for a thin route: the answers of warm workers, and the failures of cold ones
/// too, since every single one says much where there are so few.
OutcomeCounts thin_tally(const CanarySample& s, const std::string& route) {
  auto tally = of(s.warm_canary, route);
  tally.bad += minus(of(s.canary, route), tally).bad;
  return tally;
}

/// The thin routes, judged as one: what the version on trial answered on them, and what the
/// old one would have made of the same requests.
struct Pool {
  OutcomeCounts trial;
  double expected_poor = 0, expected_ms = 0;
};

Pool pool_of_thin(const CanarySample& s) {
  Pool pool;
  for (auto& route : routes_with_traffic(s)) {
    if (!thin(s, route)) continue;
    auto trial = thin_tally(s, route), usual = usual_on(s, route);
    auto requests = static_cast<double>(trial.total());
    pool.trial += trial;
    pool.expected_poor += requests * usual.failure_rate();
    pool.expected_ms += usual.total() ? requests * usual.mean_ms() : static_cast<double>(trial.total_ms);
  }
  return pool;
}

std::string differs(const Pool& pool) {
  auto requests = static_cast<double>(pool.trial.total());
  if (static_cast<double>(pool.trial.failed_or_slow()) > pool.expected_poor + requests * kNoise)
    return fmt::format("{} poor answers of {} on routes with few requests, where {:.1f} are usual",
                       pool.trial.failed_or_slow(), pool.trial.total(), pool.expected_poor);
  if (static_cast<double>(pool.trial.total_ms) > kSlower * pool.expected_ms + kSlowerMs * requests)
    return fmt::format("{} ms for {} answers on routes with few requests, where {:.0f} are usual",
                       pool.trial.total_ms, pool.trial.total(), pool.expected_ms);
  return {};
}

/// A thin route with at least `least` poor answers, far more than is usual there.
std::string poor_thin_route(const CanarySample& s, uint64_t least) {
  for (auto& route : routes_with_traffic(s)) {
    auto trial = thin_tally(s, route), usual = usual_on(s, route);
    if (!thin(s, route) || trial.failed_or_slow() < least) continue;
    if (trial.failure_rate() > usual.failure_rate() + kPlainRate)
      return fmt::format("{} poor answers of {} on route '{}', which has few requests",
                         trial.failed_or_slow(), trial.total(), route);
  }
  return {};
}

/// What speaks against promotion on the thin routes, taken together.
std::string objection_of_thin(const CanarySample& s) {
  auto pool = pool_of_thin(s);
  if (auto why = poor_thin_route(s, kDoubt); !why.empty()) return why;
  if (enough(pool.trial)) return differs(pool);
  // All of them are too few: the service as a whole speaks for them, if none was poor.
  if (enough(sum(s.warm_canary)) && !pool.trial.failed_or_slow()) return {};
  return fmt::format("only {} answers on routes with few requests, {} of them poor", pool.trial.total(),
                     pool.trial.failed_or_slow());
}
}  // namespace

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& o) {
  good += o.good;
  bad += o.bad;
  slow += o.slow;
  total_ms += o.total_ms;
  return *this;
}

OutcomeCounts sum(const ByRoute& r) {
  OutcomeCounts t;
  for (auto& [k, x] : r) t += x;
  return t;
}

void CanaryStatistics::update(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
                              const std::set<std::string>& warm) {
  for (auto& [name, s] : states) {
    if (s.canary().empty()) {
      cases_.erase(name);
      continue;
    }
    auto& c = cases_[name];
    if (c.number != s.canary_number()) c = {s.canary_number(), false, {}};
    c.warm |= warm.count(name) > 0;
  }
  for (auto& [src, n] : statuses) {
    auto& [inc, rows] = last_[src];
    if (inc != n.version().incarnation()) rows.clear();
    inc = n.version().incarnation();
    for (auto& b : n.version_counts()) {
      OutcomeCounts now{b.good(), b.bad(), b.slow(), b.total_ms()};
      auto& was = rows[{b.service(), b.version(), b.route()}];
      auto d = minus(now, was);
      was = now;
      auto f = cases_.find(b.service());
      if (!began_ || f == cases_.end()) continue;
      auto& state = states.at(b.service());
      auto& x = f->second.sample;
      bool mine = b.version() == state.canary();
      if (!mine && b.version() != state.current()) continue;
      (mine ? x.canary : x.baseline)[b.route()] += d;
      if (mine && state.switching()) x.after_switch[b.route()] += d;
      if (f->second.warm) (mine ? x.warm_canary : x.warm_baseline)[b.route()] += d;
    }
  }
  began_ = true;
}

const CanarySample& CanaryStatistics::at(const std::string& service) const {
  static const CanarySample none;
  auto f = cases_.find(service);
  return f == cases_.end() ? none : f->second.sample;
}

bool is_clearly_worse(const CanarySample& s) {
  // What was good before, cold or with little to do, must not hide what comes now.
  for (auto* t : {&s.canary, &s.warm_canary, &s.after_switch}) {
    if (plain(sum(*t), sum(s.baseline))) return true;
    for (auto& [k, x] : *t)
      if (plain(x, of(s.baseline, k))) return true;
  }
  return false;
}

std::string regression(const CanarySample& s) {
  for (auto& [k, t] : s.warm_canary)
    if (t.total() >= kSure)
      if (auto d = differs(k, t, usual_on(s, k)); !d.empty()) return d;
  return {};
}

bool has_ample_evidence(const CanarySample& s) {
  for (auto& route : routes_with_traffic(s))
    if (!thin(s, route) && of(s.warm_canary, route).total() < kAmple) return false;
  auto pool = pool_of_thin(s).trial.total();
  return (pool == 0 || pool >= kAmple) && promotion_blocker(s).empty();
}

std::string promotion_blocker(const CanarySample& s) {
  if (!sum(s.warm_canary).total()) return "no answers since its workers are warm";
  for (auto& route : routes_with_traffic(s)) {
    if (thin(s, route)) continue;
    auto trial = of(s.warm_canary, route);
    if (!enough(trial))
      return fmt::format("only {} answers on route '{}', {} of them poor", trial.total(), route,
                         trial.failed_or_slow());
    if (auto why = differs(route, trial, usual_on(s, route)); !why.empty()) return why;
  }
  return objection_of_thin(s);
}

std::string regression_after_switch(const CanarySample& s) { return poor_thin_route(s, kRefuted); }

}  // namespace dunlinwing::canary
