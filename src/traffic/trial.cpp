// A share is earned request by request and spent whole, so a relay that restarts begins
// with nothing but its part of what may be spent ahead.
#include "traffic/trial.hpp"

#include <algorithm>

#include "traffic/budget.hpp"

namespace dunlinwing::traffic {
namespace {
constexpr size_t kAsked = 2;
constexpr int64_t kOne = 100;
}  // namespace

std::vector<Worker> trial_workers(const std::vector<Worker>& ws, const std::string& version, bool term) {
  std::vector<Worker> v;
  for (auto& w : ws)
    if (w.version == version) v.push_back(w);
  if (!term) return v;
  std::sort(v.begin(), v.end(), [](auto& a, auto& b) { return a.instance < b.instance; });
  if (v.size() > kAsked) v.resize(kAsked);
  return v;
}

std::vector<Worker> worker_in_turn(const std::vector<Worker>& workers, const std::string& version,
                                   uint64_t turn) {
  std::vector<Worker> warm;
  for (auto& worker : workers)
    if (worker.version == version && worker.cold_until == TimePoint(0)) warm.push_back(worker);
  if (warm.empty()) return {};
  std::sort(warm.begin(), warm.end(), [](auto& a, auto& b) { return a.instance < b.instance; });
  return {warm[turn % warm.size()]};
}

std::vector<Worker> Trials::grant(const Table& t, const std::string& service, const std::string& version,
                                  const std::string& route) {
  auto st = t.states.find(service);
  auto ws = t.workers.find(service);
  if (version.empty() || st == t.states.end() || ws == t.workers.end() || t.given_up.count(service))
    return {};
  bool term = st->second.within_ms() > 0;
  auto v = trial_workers(ws->second, version, term);
  if (v.empty()) return {};
  auto share = static_cast<int>(t.system.trial_share_percent);
  Part p{share, share, 0};
  if (term) {
    p.earn = std::min(share, kTermPercent);
    p.spend = static_cast<int>(st->second.percent());
    if (p.spend >= p.earn) p.ahead = repeat_part(kAhead, t.nodes, t.rank);
  }
  if (!grant(service, st->second.trial_number(), version, term ? route : std::string(), p)) return {};
  if (!term) return v;
  auto turn = next_turn(service, t.rank);
  if (!turn) return v;
  auto one = worker_in_turn(ws->second, version, *turn);
  return one.empty() ? v : one;
}

std::optional<uint64_t> Trials::next_turn(const std::string& service, int rank) {
  std::lock_guard l(m_);
  auto& share = by_[service];
  if (!share.burst_over) return {};
  // Relays of few trial requests each begin at different workers.
  return share.turn++ + static_cast<uint64_t>(rank);
}

bool Trials::grant(const std::string& service, uint64_t number, const std::string& version,
                   const std::string& route, Part p) {
  std::lock_guard l(m_);
  auto& s = by_[service];
  if (s.number != number || s.version != version) s = {number, version};
  s.earned += p.earn;
  if (p.ahead && !s.ahead) s.earned += p.ahead * kOne;
  s.ahead |= p.ahead > 0;
  bool spares = p.spend < p.earn;
  if (spares) s.sparing += p.spend;
  auto& mine = s.by[route];
  if (!spares && s.earned < kOne) s.burst_over = true;
  if (s.earned < kOne || (spares && s.sparing < kOne)) return false;
  bool least = std::all_of(s.by.begin(), s.by.end(), [&](auto& x) { return mine <= x.second; });
  if (!least && (spares ? s.sparing : s.earned) < 2 * kOne) return false;  // left for a route that had fewer
  s.earned -= kOne;
  if (spares) s.sparing -= kOne;
  ++mine;
  return true;
}

}  // namespace dunlinwing::traffic
