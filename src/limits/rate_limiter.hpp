/// @file
/// Spaces one node's requests to a service evenly, at the node's quota of the service's configured rate. The
/// rate is kept over the whole fleet because the quotas of all nodes together never exceed it.
#pragma once
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::limits {

/// A time slot in which one request may be sent.
struct RateReservation {
  Duration wait{0};   ///< until the slot
  double due_ms = 0;  ///< the slot's time, in milliseconds of the clock
  double quota = 0;   ///< from which it was computed, in requests per second
};

/// The slots reserved so far. May be used from any thread.
class RateLimiter {
 public:
  /// @param clock  has to outlive the limiter
  explicit RateLimiter(base::Clock& clock)
      : clock_(clock), started_ms_(static_cast<double>(clock.now().count())) {}

  /// Reserves the next free slot, one interval after the previous one. The first slot is a whole interval
  /// after this process started, because it does not know what its predecessor sent.
  /// @param quota     of this node, in requests per second; 0: it may send none
  /// @param max_wait  a slot later than this is not reserved
  /// @return the reservation, or the wait that would have been necessary
  [[nodiscard]] std::variant<RateReservation, Duration> reserve(const std::string& service, double quota,
                                                                Duration max_wait);

  /// Whether a reservation is still valid after the wait: its slot has not passed, and the quota has not
  /// fallen since. If not, the caller has to make a new one.
  [[nodiscard]] bool is_valid(const RateReservation& reservation, double quota) const;

 private:
  base::Clock& clock_;
  double started_ms_;
  std::mutex mutex_;
  std::map<std::string, double> next_ms_;  ///< by service, the next free slot; guarded by mutex_
};

}  // namespace dunlinwing::limits
