/// @file
/// Counts the outcomes of this node's attempts by service, version and route, for canary analysis and for the
/// metrics page.
///
/// Invariant: the number of counters by route is bounded by the routes in force; counts of other routes are
/// added to totals without route, which never decrease.
///
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <map>
#include <mutex>
#include <set>
#include <tuple>

#include "canary/canary_statistics.hpp"

namespace dunlinwing::proxy {

/// The key by which attempts are counted.
struct OutcomeKey {
  std::string service;
  std::string version;
  std::string route;  ///< the route's label
  bool operator<(const OutcomeKey& other) const {
    return std::tie(service, version, route) < std::tie(other.service, other.version, other.route);
  }
};

/// This node's attempts at a canary.
struct CanaryAttempts {
  uint64_t canary_number = 0;
  uint64_t sent = 0;    ///< all, regardless of their outcome
  uint64_t failed = 0;  ///< those of `sent` that failed
};

class OutcomeCounters {
 public:
  /// Counts an attempt that its instance may have executed.
  /// @param slow  a good attempt whose latency is far above the service's mean
  void record(const OutcomeKey& key, bool good, bool slow, Duration latency);

  /// Counts an attempt that was sent to the service's current canary. A new canary number resets the counts.
  void record_sent_to_canary(const std::string& service, uint64_t canary_number);

  /// Counts the failure of such an attempt.
  void record_canary_failure(const std::string& service, uint64_t canary_number);

  /// The counts of the routes in force, since the process started or the route came into force.
  std::map<OutcomeKey, canary::OutcomeCounts> counts() const;

  /// The counts over all routes, past ones included, since the process started; the keys have no route.
  std::map<OutcomeKey, canary::OutcomeCounts> totals() const;

  /// By service.
  std::map<std::string, CanaryAttempts> canary_attempts() const;

  /// Adds the counts of all other routes to the totals and removes those routes.
  /// @param labels  of the routes in force
  void retain_routes(const std::set<std::string>& labels);

 private:
  CanaryAttempts& attempts_at(const std::string& service, uint64_t canary_number);

  mutable std::mutex mutex_;
  std::map<OutcomeKey, canary::OutcomeCounts> counts_;  // guarded by mutex_
  std::map<OutcomeKey, canary::OutcomeCounts>
      retired_;  // of routes not in force, without their labels; guarded by mutex_
  std::map<std::string, CanaryAttempts> canary_attempts_;  // by service; guarded by mutex_
};

}  // namespace dunlinwing::proxy
