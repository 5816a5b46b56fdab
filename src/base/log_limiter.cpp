#include "base/log_limiter.hpp"

namespace dunlinwing::base {
namespace {
constexpr int64_t kMillisecondsPerSecond = 1000;
}

bool LogLimiter::acquire(TimePoint now) {
  const std::lock_guard lock(mutex_);
  const int64_t second = now.count() / kMillisecondsPerSecond;
  if (second != second_) {
    second_ = second;
    lines_ = 0;
  }
  if (lines_ >= lines_per_second_) {
    ++suppressed_;
    return false;
  }
  ++lines_;
  return true;
}

uint64_t LogLimiter::take_suppressed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(suppressed_, 0);
}

}  // namespace dunlinwing::base
