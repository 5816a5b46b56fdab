/// @file
/// When a node pulls next. Good pulls follow each other at a fixed period, or sooner when a caller waits for
/// one. Failed pulls are retried quickly at first, because a message may have been lost or the replicas may
/// be restarting, and then with a jittered backoff: retries must not add load to replicas that fail to
/// respond because they are overloaded. Does no I/O; used by the control thread only.
#pragma once
#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::membership {

/// The outcome of a pull.
enum class PullResult {
  good,     ///< a quorum responded completely
  partial,  ///< the replicas have more to report; pull again at once
  failed,
};

/// Computes the wait after each pull from its result.
class PullSchedule {
 public:
  /// How long to wait before the next pull.
  struct Wait {
    Duration least;  ///< when a caller waits for the pull
    Duration usual;  ///< never less than `least`
  };

  /// @param random  has to outlive the schedule
  PullSchedule(base::Random& random, Duration period) : random_(random), period_(period) {}

  /// Records the result of a pull that took `spent`; returns how long to wait before the next one.
  Wait next_wait(PullResult result, Duration spent) {
    if (result == PullResult::partial) return {shortest(), shortest()};
    failures_ = result == PullResult::good ? 0 : failures_ + 1;
    if (failures_ == 0) return {shortest(), std::max(shortest(), period_ - spent)};
    if (failures_ <= kQuickRetries)
      return {shortest(), std::max(shortest(), std::min(period_ / 2, period_ - spent))};
    return {period_ / 2, backoff()};
  }

  /// Whether the last pulls failed, so that querying one replica before the others is not worthwhile.
  bool failing() const { return failures_ > kQuickRetries; }

 private:
  static constexpr int kQuickRetries = 8;    // about two seconds, enough for replicas to restart
  static constexpr int kMaxDoublings = 1;    // of the period: a node pulls soon after it is reachable again
  static constexpr int kShortestWaits = 10;  // number of these per period

  Duration shortest() const { return period_ / kShortestWaits; }

  /// A random time between 0.5 and 1.5 times the doubled period.
  Duration backoff() {
    auto doubled = period_ * (1 << std::min(failures_ - kQuickRetries - 1, kMaxDoublings));
    auto jitter = random_.below(static_cast<uint64_t>(doubled.count()));
    return doubled / 2 + Duration(static_cast<int64_t>(jitter));
  }

  base::Random& random_;
  Duration period_;
  int failures_ = 0;  ///< consecutive, up to the last pull
};

}  // namespace dunlinwing::membership
