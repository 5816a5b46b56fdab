// A share is earned request by request and spent whole, so a relay that restarts begins
// with nothing but its part of what may be spent ahead.
#include "proxy/canary_admission.hpp"

#include <algorithm>

#include "limits/budget.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr int64_t kOne = 100;
}  // namespace

std::vector<membership::BackendInstance> CanaryAdmission::admit(const RoutingSnapshot& snapshot,
                                                                const std::string& service,
                                                                const std::string& version,
                                                                const std::string& route) {
  auto st = snapshot.service_states.find(service);
  auto instances = snapshot.backend_instances.find(service);
  if (version.empty() || st == snapshot.service_states.end() ||
      instances == snapshot.backend_instances.end() || snapshot.aborted_canaries.count(service))
    return {};
  bool term = st->second.deadline_ms() > 0;
  auto v = canary::canary_instances(instances->second, version, term);
  if (v.empty()) return {};
  auto share = static_cast<int>(snapshot.system.canary_percent);
  ShareParameters p{share, share, 0};
  if (term) {
    p.earn = std::min(share, canary::kDeadlinePercent);
    p.spend = static_cast<int>(st->second.percent());
    if (p.spend >= p.earn)
      p.initial_credit =
          limits::retry_allowance_of_node(canary::kInitialCredit, snapshot.nodes, snapshot.rank);
  }
  if (!admit(service, st->second.canary_number(), version, term ? route : std::string(), p)) return {};
  if (!term) return v;
  auto turn = next_turn(service, snapshot.rank);
  if (!turn) return v;
  auto one = canary::instance_in_turn(instances->second, version, *turn);
  return one.empty() ? v : one;
}

std::optional<uint64_t> CanaryAdmission::next_turn(const std::string& service, int rank) {
  std::lock_guard lock(mutex_);
  auto& share = shares_[service];
  if (!share.burst_over) return {};
  // Relays of few trial requests each begin at different workers.
  return share.turn++ + static_cast<uint64_t>(rank);
}

bool CanaryAdmission::admit(const std::string& service, uint64_t number, const std::string& version,
                            const std::string& route, ShareParameters p) {
  std::lock_guard lock(mutex_);
  auto& s = shares_[service];
  if (s.number != number || s.version != version) s = {number, version};
  s.earned += p.earn;
  if (p.initial_credit && !s.initial_credit_given) s.earned += p.initial_credit * kOne;
  s.initial_credit_given |= p.initial_credit > 0;
  bool spares = p.spend < p.earn;
  if (spares) s.reserved += p.spend;
  auto& mine = s.requests_by_route[route];
  if (!spares && s.earned < kOne) s.burst_over = true;
  if (s.earned < kOne || (spares && s.reserved < kOne)) return false;
  bool least = std::all_of(s.requests_by_route.begin(), s.requests_by_route.end(),
                           [&](auto& x) { return mine <= x.second; });
  if (!least && (spares ? s.reserved : s.earned) < 2 * kOne) return false;  // left for a route that had fewer
  s.earned -= kOne;
  if (spares) s.reserved -= kOne;
  ++mine;
  return true;
}

}  // namespace dunlinwing::proxy
