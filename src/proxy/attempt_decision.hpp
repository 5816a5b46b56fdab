/// @file
/// The decisions on the way of a request to a backend instance, apart from any input or output: what one
/// attempt came to, what follows from it, whether a queue at an instance is too long to join, and how many
/// instances one node uses.
///
/// Invariants: a request that is not idempotent is sent again only when no instance can have executed it;
/// the execution state of a request never falls.
/// Threads: the functions are pure; a RetryState belongs to one request.
#pragma once
#include "base/ports.hpp"
#include "config/routing_configuration.hpp"
#include "proxy/protocol_adapter.hpp"

namespace dunlinwing::proxy {

/// What an attempt brought back.
using AttemptReply = std::variant<base::Response, base::AttemptError>;

/// What an attempt came to.
enum class AttemptClass {
  good,              ///< the instance's own whole response
  failed,            ///< the same, with a status of failure
  not_executed,      ///< the instance says that it did not execute the request
  wrong_instance,    ///< another instance than the one meant says so
  invalid_response,  ///< what came was not the instance's own whole response
  no_response,       ///< something was sent and no whole response came
  not_sent,          ///< no connection: no byte was sent
};

/// Whether an instance said of itself that it did not execute the request.
constexpr bool is_refused(AttemptClass attempt) {
  return attempt == AttemptClass::not_executed || attempt == AttemptClass::wrong_instance;
}

/// @param instance  for which the attempt was meant
/// @param request   as it was sent
AttemptClass classify_attempt(const AttemptReply& reply, const ProtocolAdapter& adapter,
                              const membership::BackendInstance& instance, const base::Request& request);

/// How far a request may have got at backend instances, over all attempts; in ascending order.
enum class ExecutionState {
  not_sent,           ///< no byte of any attempt left
  sent_not_executed,  ///< every instance that got it said that it did not execute it
  possibly_executed,
};

/// What follows an attempt.
enum class NextStep {
  respond,  ///< its response is the request's
  retry,    ///< another instance may be tried
  stop,     ///< nobody can tell whether the request was executed, and it may not be executed twice
};

/// Decides on the attempts of one request.
class RetryState {
 public:
  /// @param idempotent      the request may be executed more than once
  /// @param max_attempts    instances to which it may be sent, at most
  /// @param first_is_retry  the request was sent by another way before
  RetryState(bool idempotent, int max_attempts, bool first_is_retry)
      : idempotent_(idempotent), max_attempts_(max_attempts), next_is_retry_(first_is_retry) {}

  /// Whether there are attempts left.
  bool may_attempt() const;

  /// Whether no attempt was made yet, not even one without a connection.
  bool is_first_attempt() const { return attempts_ == 0; }

  /// Whether the next attempt sends again what was sent before, so that it needs the retry budget.
  bool next_is_retry() const { return next_is_retry_; }

  bool nothing_sent() const { return execution_ == ExecutionState::not_sent; }
  ExecutionState execution() const { return execution_; }

  /// Counts an attempt, and decides what follows.
  NextStep decide_next(AttemptClass attempt);

 private:
  bool idempotent_;
  int max_attempts_;
  bool next_is_retry_;
  int attempts_ = 0;       // instances chosen, whether something was sent or not
  int sent_attempts_ = 0;  // of these, with something sent
  ExecutionState execution_ = ExecutionState::not_sent;
};

/// How long a request is expected to take at an instance.
struct ExpectedLatency {
  Duration total{0};     ///< until its response
  Duration queueing{0};  ///< the part of it that is spent behind other requests
};

/// When it makes sense to send the request again, if the queue at the best instance is too long for it.
/// How long is too long follows from the route's latency target and its priority.
/// @param remaining  until the request's deadline
/// @return nothing when the request may join the queue
std::optional<Duration> overload_retry_after(const config::RouteConfiguration& route,
                                             const ExpectedLatency& expected, Duration remaining);

/// Of how many of a service's instances one node uses: each node of a large fleet uses a few, so
/// that its connections are used often enough to stay open, and each instance is used by a few nodes.
/// @param instances      that the service has, over the fleet
/// @param nodes          in the fleet
/// @param max_instances  that one node may use; 0: no bound
size_t subset_size(size_t instances, int nodes, int max_instances);

}  // namespace dunlinwing::proxy
