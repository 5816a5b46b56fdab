/// @file
/// When a node pulls next. Good pulls follow each other at a steady period, sooner when somebody waits for
/// one. Pulls that fail are retried soon at first, for a message may have been lost or the replicas be
/// restarting, and then ever more seldom and at random moments: a fleet whose replicas are overloaded must
/// not ask them the more often the less they answer. Does no I/O; used by the thread that runs control only.
#pragma once
#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::membership {

/// How a pull ended.
enum class PullResult {
  good,     ///< a quorum answered with everything it has
  partial,  ///< there is more to ask for at once
  failed,
};

/// Turns the results of pulls into waits.
class PullSchedule {
 public:
  /// How long to wait for the next pull.
  struct Wait {
    Duration least;  ///< when somebody waits for the pull
    Duration usual;  ///< never less than `least`
  };

  /// @param random  has to outlive the schedule
  PullSchedule(base::Random& random, Duration period) : random_(random), period_(period) {}

  /// Takes how the pull that took `spent` ended; how long to wait for the next one.
  Wait after(PullResult result, Duration spent) {
    if (result == PullResult::partial) return {shortest(), shortest()};
    failures_ = result == PullResult::good ? 0 : failures_ + 1;
    if (failures_ == 0) return {shortest(), std::max(shortest(), period_ - spent)};
    if (failures_ <= kQuickRetries)
      return {shortest(), std::max(shortest(), std::min(period_ / 2, period_ - spent))};
    return {period_ / 2, backoff()};
  }

  /// Whether the last pulls failed, so that it does not pay to ask one replica before the others.
  bool failing() const { return failures_ > kQuickRetries; }

 private:
  static constexpr int kQuickRetries = 8;    // about two seconds, in which replicas restart
  static constexpr int kMaxDoublings = 1;    // of the period: a node that can be reached again pulls soon
  static constexpr int kShortestWaits = 10;  // of them make a period

  Duration shortest() const { return period_ / kShortestWaits; }

  /// A random time of half to one and a half of the doubled period.
  Duration backoff() {
    auto doubled = period_ * (1 << std::min(failures_ - kQuickRetries - 1, kMaxDoublings));
    auto jitter = random_.below(static_cast<uint64_t>(doubled.count()));
    return doubled / 2 + Duration(static_cast<int64_t>(jitter));
  }

  base::Random& random_;
  Duration period_;
  int failures_ = 0;  ///< in a row, up to now
};

}  // namespace dunlinwing::membership
