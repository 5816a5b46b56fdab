#include "limits/rate_limiter.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kMsPerSecond = 1000;
constexpr double kMaxDelayMs = 100;   // a request that is later than this needs a new reservation
constexpr double kSameQuota = 0.999;  // a quota above this fraction of the earlier one has not fallen
constexpr double kRoundUpMs = 0.999;  // rounds up to whole milliseconds
}  // namespace

std::variant<RateReservation, Duration> RateLimiter::reserve(const std::string& service, double quota,
                                                             Duration max_wait) {
  std::lock_guard lock(mutex_);
  auto now = static_cast<double>(clock_.now().count());
  if (quota <= 0) return max_wait;
  double interval = kMsPerSecond / quota;
  auto& next = next_ms_.emplace(service, started_ms_ + interval).first->second;
  double due = std::max(next, now);
  double wait = due - now;
  if (wait > static_cast<double>(max_wait.count())) return Duration(static_cast<int64_t>(wait));
  next = due + interval;
  return RateReservation{Duration(static_cast<int64_t>(wait + kRoundUpMs)), due, quota};
}

bool RateLimiter::is_valid(const RateReservation& reservation, double quota) const {
  auto now = static_cast<double>(clock_.now().count());
  return quota >= reservation.quota * kSameQuota && now <= reservation.due_ms + kMaxDelayMs;
}

}  // namespace dunlinwing::limits
