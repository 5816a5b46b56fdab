/// @file
/// The network link of a simulated machine: each direction has a rate and a queue, first in, first out.
///
/// Threads: used by the simulation's one thread.
#pragma once
#include <algorithm>

#include "base/common.hpp"

namespace dunlinwing::simulation {

/// One direction of a link.
class LinkQueue {
 public:
  /// @param mbps  in Mbit/s; 0: bytes pass without delay
  void set_rate(double mbps) { bytes_per_ms_ = mbps * kBytesPerMegabit / kMsPerSecond; }

  bool has_rate() const { return bytes_per_ms_ > 0; }

  /// Queues bytes behind those queued before.
  /// @return the time until the last of them has passed
  Duration transfer(TimePoint now, size_t bytes) {
    passed_ += bytes;
    if (!has_rate()) return Duration(0);
    const auto time = static_cast<double>(now.count());
    free_at_ = std::max(free_at_, time) + static_cast<double>(bytes) / bytes_per_ms_;
    return Duration(static_cast<int64_t>(free_at_ - time));
  }

  /// Total bytes queued so far.
  uint64_t passed() const { return passed_; }

 private:
  static constexpr double kBytesPerMegabit = 125000;
  static constexpr double kMsPerSecond = 1000;

  double bytes_per_ms_ = 0;
  double free_at_ = 0;  ///< when all queued bytes will have passed, in milliseconds
  uint64_t passed_ = 0;
};

/// Both directions of a machine's link.
struct HostLink {
  LinkQueue inbound;
  LinkQueue outbound;
  bool has_rate() const { return inbound.has_rate() || outbound.has_rate(); }
};

}  // namespace dunlinwing::simulation
