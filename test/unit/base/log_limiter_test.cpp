// The bound on log lines of one kind in each second.
#include "base/log_limiter.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using namespace std::chrono_literals;

void bounds_each_second() {
  base::LogLimiter limiter(2);
  for (const TimePoint second : {TimePoint(0), TimePoint(5s)}) {
    expect(limiter.acquire(second), "the first line of a second");
    expect(limiter.acquire(second + 500ms), "the second line");
    expect(!limiter.acquire(second + 999ms), "a line beyond the bound");
  }
  same(limiter.take_suppressed(), uint64_t{2}, "lines left out");
  same(limiter.take_suppressed(), uint64_t{0}, "lines left out since");
}
}  // namespace

std::vector<Case> log_limiter_cases() {
  return {{"log: no more lines in a second than allowed", bounds_each_second}};
}

}  // namespace dunlinwing::test
