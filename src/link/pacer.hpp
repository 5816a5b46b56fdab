/// @file
/// Paces one direction of the machine's network link so that its queue stays short: small messages, control
/// above all, are never queued behind seconds of large bodies.
///
/// A token bucket with slightly less than the link's rate. Bodies wait for tokens part by part, in the order
/// of the earliest possible completion; a body ages, so that small ones do not starve it. Control never
/// waits; the tokens it takes are not available to bodies, but these keep a tenth of the rate however much
/// control there is.
///
/// Invariant: bodies never exceed what the rate allows by more than a burst and one part.
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <array>
#include <map>
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::link {

/// Traffic, classified by what it competes with.
enum class TrafficClass {
  control,   ///< between nodes, with operators and with backend instances: heartbeats, pulls, votes, orders
  clients,   ///< requests of clients and their responses
  fetches,   ///< cacheable bodies between nodes
  backends,  ///< attempts at backend instances
};
inline constexpr size_t kTrafficClasses = 4;

/// The label in metrics.
const char* label(TrafficClass traffic_class);

/// What was transferred and what waited in one direction and class. All but `waiting_bytes` are monotonic.
struct TrafficCounts {
  uint64_t bytes = 0;
  uint64_t waits = 0;          ///< parts that had to wait for tokens
  uint64_t wait_ms = 0;        ///< the total time of these waits
  uint64_t given_up = 0;       ///< parts that timed out or were cancelled before they had tokens
  uint64_t waiting_bytes = 0;  ///< of the bodies that are waiting now
};
using TrafficCountsByClass = std::array<TrafficCounts, kTrafficClasses>;

/// A body that is transferred part by part.
struct Transfer {
  TrafficClass traffic_class = TrafficClass::clients;
  TimePoint since{0};    ///< when it was ready to be transferred; it ages from then on
  size_t remaining = 0;  ///< bytes, the next part included
};

class Pacer {
 public:
  /// @param bytes_per_second  of the link; 0: not configured, and nothing waits
  Pacer(base::Clock& clock, base::Tasks& tasks, double bytes_per_second);

  /// Suspends the calling fiber until the next part of a transfer may be sent.
  /// @return false when the limit passed or the request was cancelled first; then no tokens were taken
  [[nodiscard]] bool acquire(const Transfer& transfer, size_t bytes, Duration limit,
                             const base::CancellationPtr& cancellation = {});

  /// Takes tokens for bytes that are sent at once, ahead of all waiters.
  void charge(TrafficClass traffic_class, size_t bytes);

  /// Returns tokens that were acquired and not used.
  void refund(TrafficClass traffic_class, size_t bytes);

  /// How long it would take until the last part of a body that is ready now has been sent.
  Duration expected_time(size_t bytes) const;

  /// How long a body takes on an otherwise idle link.
  Duration uncontended_time(size_t bytes) const;

  /// Number of bytes of a body that are transferred at a time.
  size_t part_bytes() const { return part_bytes_; }
  /// The link's rate in bytes per second; 0: not configured.
  double link_rate() const { return link_rate_; }
  TrafficCountsByClass counts() const;

 private:
  struct Waiter {
    Transfer transfer;
    std::shared_ptr<base::Condition> condition;
  };
  /// By the time at which each transfer would be complete if it had the link to itself from `Transfer::since`
  /// on.
  using Waiters = std::multimap<TimePoint, Waiter>;

  TimePoint completion(const Transfer& transfer) const;
  void refill(TimePoint now);
  void take_tokens(TrafficClass traffic_class, size_t bytes);
  void count(TrafficClass traffic_class, size_t bytes);
  Duration time_until_tokens() const;
  void wake_first();
  bool await_turn(Waiters::iterator place, size_t bytes, TimePoint end,
                  const base::CancellationPtr& cancellation, std::unique_lock<std::mutex>& lock);

  base::Clock& clock_;
  base::Tasks& tasks_;
  const double link_rate_;   ///< see link_rate()
  const double rate_;        ///< of bodies and control together, bytes per second; 0: unlimited
  const double burst_;       ///< bytes
  const size_t part_bytes_;  ///< see part_bytes()

  mutable std::mutex mutex_;  // guards all below
  double tokens_ = 0;         ///< bytes; negative after a part larger than the remaining tokens
  double debt_ = 0;           ///< bytes that were charged when there were no tokens for them
  TimePoint refilled_at_{0};
  Waiters waiters_;
  TrafficCountsByClass counts_;
  std::array<size_t, kTrafficClasses> refunded_{};  ///< bytes that were counted and not used, by class
};

}  // namespace dunlinwing::link
