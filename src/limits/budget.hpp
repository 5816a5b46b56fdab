// Bounds that hold over the whole fleet because each relay keeps its own part:
// repeats as a share of requests in any ten seconds, and an origin's rate.
#pragma once
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::limits {

// Which part of the fleet's allowance of repeats this relay may save up: whole
// repeats only, so that with more relays than allowance some save up none.
int retry_allowance_of_node(int64_t allowance, int nodes, int rank);

class RetryBudget {
 public:
  void record_request(const std::string& service, double earns = 0.2);  // of a repeat
  // True, and counted, when one more repeat stays within a fifth of the
  // requests plus `part`, over any time at all.
  bool try_acquire(const std::string& service, int part);

 private:
  std::mutex mutex_;
  std::map<std::string, double> earned_;  // and not yet spent
};

// A place in the row of sends at an origin's stated rate.
struct RateReservation {
  Duration wait{0};
  double due_ms = 0, quota = 0;
};

// Spaces sends evenly at this relay's share of a stated rate.
class RateLimiter {
 public:
  explicit RateLimiter(base::Clock& clock)
      : clock_(clock), began_(static_cast<double>(clock.now().count())) {}
  // The next turn, or how long it would be until one when that is beyond `most`.
  std::variant<RateReservation, Duration> reserve(const std::string& service, double share, Duration most);
  // Whether a turn that was waited for still stands: its time is now, and the
  // share it was reckoned with has not fallen since.
  bool is_valid(const RateReservation& t, double share) const;

 private:
  base::Clock& clock_;
  double began_;
  std::mutex mutex_;
  std::map<std::string, double> next_ms_;
};

}  // namespace dunlinwing::limits
