// Each request sent earns a fifth of a repeat, and no more is ever saved up than
// this relay's part of the allowance: so no stretch of time, ten seconds or
// other, can hold more repeats than the allowance and a fifth of its requests.
// A process that has just started knows nothing of what its forerunner spent, so
// it starts with nothing saved up, and its first paced send comes a whole
// interval after its start.
#include "limits/budget.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kMargin = 0.75;  // of the allowance: what arrives is less even than what leaves
constexpr double kLateMs = 100;   // a turn missed by more is taken anew
}  // namespace

int retry_allowance_of_node(int64_t allowance, int nodes, int rank) {
  auto all = static_cast<int64_t>(kMargin * static_cast<double>(allowance));
  int64_t n = std::max(nodes, 1);
  return static_cast<int>(all / n + (rank < all % n));
}

void RetryBudget::record_request(const std::string& s, double earns) {
  std::lock_guard lock(mutex_);
  earned_[s] += earns;
}

bool RetryBudget::try_acquire(const std::string& s, int part) {
  std::lock_guard lock(mutex_);
  auto& e = earned_[s];
  e = std::min(e, static_cast<double>(part));
  if (e < 1) return false;
  e -= 1;
  return true;
}

std::variant<RateReservation, Duration> RateLimiter::reserve(const std::string& s, double share,
                                                             Duration most) {
  std::lock_guard lock(mutex_);
  auto now = static_cast<double>(clock_.now().count());
  if (share <= 0) return most;
  double gap = 1000.0 / share;
  auto& n = next_ms_.emplace(s, began_ + gap).first->second;
  double at = std::max(n, now);
  double wait = at - now;
  if (wait > static_cast<double>(most.count())) return Duration(static_cast<int64_t>(wait));
  n = at + gap;
  return RateReservation{Duration(static_cast<int64_t>(wait + 0.999)), at, share};
}

bool RateLimiter::is_valid(const RateReservation& t, double share) const {
  return share >= t.quota * 0.999 && static_cast<double>(clock_.now().count()) <= t.due_ms + kLateMs;
}

}  // namespace dunlinwing::limits
