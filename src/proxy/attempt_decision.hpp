/// @file
/// The decisions on sending a request to backend instances, without any I/O: the class of an attempt's
/// outcome, whether to retry, whether an instance's queue is too long for the request, and how many instances
/// one node uses.
///
/// Invariants: a non-idempotent request is retried only when no instance can have executed it; the execution
/// state of a request never decreases.
/// Threads: the functions are pure; a RetryState belongs to one request.
#pragma once
#include "base/ports.hpp"
#include "config/routing_configuration.hpp"
#include "proxy/protocol_adapter.hpp"

namespace dunlinwing::proxy {

/// The response of an attempt, or its error.
using AttemptReply = std::variant<base::Response, base::AttemptError>;

/// The class of an attempt's outcome.
enum class AttemptClass {
  good,              ///< a complete response of the addressed instance
  failed,            ///< the same, with an error status
  not_executed,      ///< the instance reports that it did not execute the request
  wrong_instance,    ///< an instance other than the addressed one reports that
  invalid_response,  ///< a response that is incomplete or not of the addressed instance
  no_response,       ///< the request was sent, and no complete response was received
  not_sent,          ///< the connection failed: no byte was sent
};

/// Whether an instance reported that it did not execute the request.
constexpr bool is_refused(AttemptClass attempt) {
  return attempt == AttemptClass::not_executed || attempt == AttemptClass::wrong_instance;
}

/// @param instance  to which the attempt was addressed
/// @param request   as it was sent
AttemptClass classify_attempt(const AttemptReply& reply, const ProtocolAdapter& adapter,
                              const membership::BackendInstance& instance, const base::Request& request);

/// How far backend instances may have processed a request, over all attempts; in ascending order.
enum class ExecutionState {
  not_sent,           ///< no attempt sent a byte
  sent_not_executed,  ///< every instance that received the request reported that it did not execute it
  possibly_executed,
};

/// The action after an attempt.
enum class NextStep {
  respond,  ///< the attempt's response is returned
  retry,    ///< another instance may be tried
  stop,     ///< the request may have been executed and is not idempotent: no retry
};

/// Decides on the attempts of one request.
class RetryState {
 public:
  /// @param idempotent      the request may be executed more than once
  /// @param max_attempts    the maximum number of instances to which the request is sent
  /// @param first_is_retry  the request was already sent on another path, such as through a shield
  RetryState(bool idempotent, int max_attempts, bool first_is_retry)
      : idempotent_(idempotent), max_attempts_(max_attempts), next_is_retry_(first_is_retry) {}

  /// Whether another attempt is allowed.
  bool may_attempt() const;

  /// Whether no attempt was made yet; attempts whose connection failed count too.
  bool is_first_attempt() const { return attempts_ == 0; }

  /// Whether the request was already sent, so that the next attempt uses the retry budget.
  bool next_is_retry() const { return next_is_retry_; }

  bool nothing_sent() const { return execution_ == ExecutionState::not_sent; }
  ExecutionState execution_state() const { return execution_; }

  /// Counts an attempt and decides the next step.
  NextStep decide_next(AttemptClass attempt);

 private:
  bool idempotent_;
  int max_attempts_;
  bool next_is_retry_;
  int attempts_ = 0;       // all, also those whose connection failed
  int sent_attempts_ = 0;  // those that sent the request
  ExecutionState execution_ = ExecutionState::not_sent;
};

/// The expected latency of a request at an instance.
struct ExpectedLatency {
  Duration total{0};     ///< until the response
  Duration queueing{0};  ///< the part of `total` spent waiting behind other requests
};

/// The Retry-After delay if the queue at the best instance is too long for the request. The limit follows
/// from the route's latency target and priority.
/// @param remaining  until the request's deadline
/// @return nothing when the request may join the queue
std::optional<Duration> overload_retry_after(const config::RouteConfiguration& route,
                                             const ExpectedLatency& expected, Duration remaining);

/// The number of a service's instances that one node uses. In a large fleet each node uses only a few
/// instances, so that its connections are used often enough to stay open, and few nodes use each instance.
/// @param instances      the number of the service's instances over the fleet
/// @param nodes          the number of nodes in the fleet
/// @param max_instances  the limit for one node; 0: no limit
size_t subset_size(size_t instances, int nodes, int max_instances);

}  // namespace dunlinwing::proxy
