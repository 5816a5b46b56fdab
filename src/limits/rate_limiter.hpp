/// @file
/// Spaces the requests that one node sends to an origin evenly at its quota of the origin's stated rate. The
/// rate holds over the whole fleet because the quotas of all nodes together never exceed it.
#pragma once
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::limits {

/// A moment at which one request may be sent.
struct RateReservation {
  Duration wait{0};   ///< until that moment
  double due_ms = 0;  ///< that moment, in milliseconds of the clock
  double quota = 0;   ///< under which it was computed, in requests a second
};

/// The moments that are reserved so far. From any thread.
class RateLimiter {
 public:
  /// @param clock  has to outlive the limiter
  explicit RateLimiter(base::Clock& clock)
      : clock_(clock), started_ms_(static_cast<double>(clock.now().count())) {}

  /// Reserves the next free moment, one interval after the one reserved before. The first one is a whole
  /// interval after this process started, which does not know what its predecessor sent.
  /// @param quota     of this node, in requests a second; 0: it may send none
  /// @param max_wait  a later moment is not reserved
  /// @return the reservation, or for how long one would have to wait
  [[nodiscard]] std::variant<RateReservation, Duration> reserve(const std::string& service, double quota,
                                                                Duration max_wait);

  /// Whether a reservation that was waited for still stands: its moment has not passed, and the quota has not
  /// fallen since. If not, another one has to be made.
  [[nodiscard]] bool is_valid(const RateReservation& reservation, double quota) const;

 private:
  base::Clock& clock_;
  double started_ms_;
  std::mutex mutex_;
  std::map<std::string, double> next_ms_;  ///< by service, the next free moment; guarded by mutex_
};

}  // namespace dunlinwing::limits
