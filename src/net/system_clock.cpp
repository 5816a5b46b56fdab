#include "net/system_clock.hpp"

#include <boost/fiber/context.hpp>
#include <ctime>

#include "net/timer.hpp"

namespace dunlinwing::net {
namespace {
int64_t milliseconds_of(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return time.tv_sec * 1000LL + time.tv_nsec / 1000000;
}
}  // namespace

TimePoint SystemClock::now() { return TimePoint(milliseconds_of(CLOCK_BOOTTIME)); }

int64_t SystemClock::wall_ms() { return milliseconds_of(CLOCK_REALTIME); }

void SystemClock::sleep(Duration duration) {
  auto* fiber = boost::fibers::context::active();
  bool time_is_up = false;
  Timer timer;
  timer.set(std::chrono::steady_clock::now() + duration, [&] {
    time_is_up = true;
    boost::fibers::context::active()->schedule(fiber);
  });
  while (!time_is_up) fiber->suspend();
}

}  // namespace dunlinwing::net
