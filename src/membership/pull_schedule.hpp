// When a node pulls next. Good pulls follow each other at a steady period, sooner when
// somebody waits for one. Pulls that fail are repeated soon at first, for a message may have
// been lost or the replicas be restarting, and then ever more seldom and at random moments: a fleet whose
// replicas are overloaded must not ask them the more often the less they answer.
#pragma once
#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::membership {

enum class PullResult {
  good,     // a quorum told everything
  partial,  // there is more to ask for at once
  failed,
};

class PullSchedule {
 public:
  PullSchedule(base::Random& random, Duration period) : random_(random), period_(period) {}

  // Tells how the pull that took `spent` ended; how long to wait for the next one.
  struct Wait {
    Duration least;  // whoever is in a hurry
    Duration usual;
  };
  Wait after(PullResult result, Duration spent) {
    if (result == PullResult::partial) return {hurried(), hurried()};
    failures_ = result == PullResult::good ? 0 : failures_ + 1;
    if (failures_ == 0) return {hurried(), std::max(hurried(), period_ - spent)};
    if (failures_ <= kQuickRetries)
      return {hurried(), std::max(hurried(), std::min(period_ / 2, period_ - spent))};
    auto doubled = period_ * (1 << std::min(failures_ - kQuickRetries - 1, kMostDoublings));
    auto wait =
        doubled / 2 + Duration(static_cast<int64_t>(random_.below(static_cast<uint64_t>(doubled.count()))));
    return {period_ / 2, wait};
  }

  // Whether the last pulls failed, so that the usual order of asks does not pay.
  bool failing() const { return failures_ > kQuickRetries; }

 private:
  static constexpr int kQuickRetries = 8;   // about two seconds of a core that restarts
  static constexpr int kMostDoublings = 1;  // of the period: a node that can be reached again pulls soon
  static constexpr int kHurriedShare = 10;  // of the period, between two pulls

  Duration hurried() const { return period_ / kHurriedShare; }

  base::Random& random_;
  Duration period_;
  int failures_ = 0;
};

}  // namespace dunlinwing::membership
