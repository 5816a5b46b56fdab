/// @file
/// The reasons for which requests are rejected, and a count per reason, service and route.
///
/// Invariant: the number of counters by route is bounded by the routes in force; counts of other routes are
/// added to counters without route, which never decrease.
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>

namespace dunlinwing::proxy {

/// Why a request was not executed, or why it is unknown whether it was.
enum class RejectionReason {
  none,                   ///< the request was not rejected
  draining,               ///< this node is shutting down
  not_ready,              ///< this node has no configuration, or no valid read lease
  body_too_long,          ///< the body exceeds the configured limit
  no_route,               ///< no route matches
  method_not_allowed,     ///< no route for this target allows the method
  no_weight,              ///< no service of the route has a positive weight
  queue_full,             ///< the service's admission queue is full
  deadline_unreachable,   ///< the wait in the admission queue exceeds the start deadline
  deadline_passed,        ///< the deadline passed while the request waited
  rate_limited,           ///< this node's quota of the service's rate is used up
  retry_budget_spent,     ///< the first attempt here would be a retry, and the retry budget is used up
  superseded,             ///< a newer configuration is in force
  latency_target_missed,  ///< a response would be too late to be useful
  stale_state,            ///< the read lease expired while the request waited
  no_instance,            ///< no instance of an allowed version is known
  unreachable,            ///< no instance could be reached
  declined,               ///< an instance reported that it did not execute it, and no other accepted it
  no_response,            ///< no complete response was received
  attempts_spent,         ///< it was sent to as many backend instances as the route allows
  invalid_response,       ///< the response was incomplete or not of the addressed instance
  fetch_rejected,         ///< another request's fetch of the same object was rejected
  shield_rejected,        ///< an origin shield rejected it on behalf of the origin
  link_saturated,         ///< this node's network link cannot carry the response in time
  memory_short,           ///< this node has no memory for the response
  earlier_attempt,        ///< rejected now, but an earlier attempt may have executed it
};

/// The human-readable text in the response.
const char* describe(RejectionReason reason);

/// The label of the metric.
const char* label(RejectionReason reason);

/// The key by which rejections are counted.
struct RejectionKey {
  RejectionReason reason = RejectionReason::none;
  std::string service;  ///< empty: the request was rejected before a service was selected
  std::string route;    ///< the route's label; empty: none, or a route no longer in force
  bool operator<(const RejectionKey& other) const {
    return std::tie(reason, service, route) < std::tie(other.reason, other.service, other.route);
  }
};

class RejectionCounters {
 public:
  void record(const RejectionKey& key);

  /// The counts since the process started.
  std::map<RejectionKey, uint64_t> counts() const;

  /// Adds the counts of all other routes to counters without route.
  /// @param labels  of the routes in force
  void retain_routes(const std::set<std::string>& labels);

 private:
  mutable std::mutex mutex_;
  std::map<RejectionKey, uint64_t> counts_;  // guarded by mutex_
};

}  // namespace dunlinwing::proxy
