/// @file
/// The machine's network link as used by this process: one pacer per direction.
///
/// Threads: every function may be called from any thread.
#pragma once
#include "link/pacer.hpp"

namespace dunlinwing::link {

struct Link {
  /// @param mbps  megabits per second in each direction; 0: not configured, and nothing is paced
  Link(base::Clock& clock, base::Tasks& tasks, double mbps)
      : inbound(clock, tasks, mbps * kBytesPerMegabit), outbound(clock, tasks, mbps * kBytesPerMegabit) {}

  Pacer inbound;
  Pacer outbound;

 private:
  static constexpr double kBytesPerMegabit = 125000;
};

/// The link and traffic class that a component transfers under.
struct LinkUse {
  Link* link = nullptr;  ///< null: its rate is unknown, and nothing is counted or paced
  TrafficClass traffic_class = TrafficClass::control;

  /// Counts bytes that were received, or are sent without waiting.
  void count_received(size_t bytes) const {
    if (link) link->inbound.charge(traffic_class, bytes);
  }
  void count_sent(size_t bytes) const {
    if (link) link->outbound.charge(traffic_class, bytes);
  }

  /// Number of bytes of a body that are sent at a time.
  size_t outbound_part_bytes() const { return link ? link->outbound.part_bytes() : SIZE_MAX; }

  /// Waits until a part may be sent; false when the limit passes first.
  /// @param since      when the first part was ready to be sent
  /// @param remaining  bytes, this part included
  [[nodiscard]] bool await_outbound(size_t bytes, TimePoint since, size_t remaining, Duration limit) const {
    return !link || link->outbound.acquire({traffic_class, since, remaining}, bytes, limit);
  }
};

}  // namespace dunlinwing::link
