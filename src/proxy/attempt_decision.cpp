#include "proxy/attempt_decision.hpp"

#include <algorithm>
#include <iterator>

namespace dunlinwing::proxy {
namespace {
constexpr int kMaxAttempts = 8;  // per request, including attempts whose connection fails

// The expected latency, as a multiple of the latency target, up to which a response is still useful to the
// client, by the route's priority; the last entry applies to all higher numbers.
constexpr double kTargetMultiples[] = {3.0, 2.0, 1.3};

constexpr size_t kMinSubset = 6;          // minimum number of a service's instances that a node uses
constexpr size_t kNodesPerInstance = 12;  // approximate number of nodes that use one instance
}  // namespace

AttemptClass classify_attempt(const AttemptReply& reply, const ProtocolAdapter& adapter,
                              const membership::BackendInstance& instance, const base::Request& request) {
  if (const auto* error = std::get_if<base::AttemptError>(&reply)) {
    switch (*error) {
      case base::AttemptError::not_sent:
        return AttemptClass::not_sent;
      case base::AttemptError::not_executed:
        return AttemptClass::not_executed;
      case base::AttemptError::unknown:
        return AttemptClass::no_response;
    }
  }
  const auto& response = std::get<base::Response>(reply);
  if (is_unrequested_partial(request, response)) return AttemptClass::invalid_response;
  switch (adapter.classify(response, instance, request)) {
    case ResponseClass::good:
      return AttemptClass::good;
    case ResponseClass::failed:
      return AttemptClass::failed;
    case ResponseClass::not_executed:
      return AttemptClass::not_executed;
    case ResponseClass::wrong_instance:
      return AttemptClass::wrong_instance;
    case ResponseClass::invalid:
      break;
  }
  return AttemptClass::invalid_response;
}

bool RetryState::may_attempt() const { return attempts_ < kMaxAttempts && sent_attempts_ < max_attempts_; }

NextStep RetryState::decide_next(AttemptClass attempt) {
  ++attempts_;
  // Nothing was sent, so the next attempt does not count as a retry.
  if (attempt == AttemptClass::not_sent) return NextStep::retry;
  ++sent_attempts_;
  const bool refused = is_refused(attempt);
  execution_ =
      std::max(execution_, refused ? ExecutionState::sent_not_executed : ExecutionState::possibly_executed);
  next_is_retry_ = true;
  if (attempt == AttemptClass::good) return NextStep::respond;
  if (attempt == AttemptClass::failed)
    return idempotent_ && sent_attempts_ < max_attempts_ ? NextStep::retry : NextStep::respond;
  if (!idempotent_ && !refused) return NextStep::stop;
  return NextStep::retry;
}

std::optional<Duration> overload_retry_after(const config::RouteConfiguration& route,
                                             const ExpectedLatency& expected, Duration remaining) {
  if (route.latency_target <= Duration(0)) return {};
  const Duration execution = expected.total - expected.queueing;
  const auto priority = static_cast<size_t>(std::min<int>(route.priority, std::size(kTargetMultiples) - 1));
  const Duration longest(
      static_cast<int64_t>(static_cast<double>(route.latency_target.count()) * kTargetMultiples[priority]));
  const Duration max_queueing = std::max(longest - execution, execution);
  if (expected.queueing <= max_queueing && expected.total < remaining) return {};
  return std::max(expected.queueing - max_queueing, Duration(0)) + execution / 2;
}

size_t subset_size(size_t instances, int nodes, int max_instances) {
  const auto node_count = static_cast<size_t>(std::max(nodes, 1));
  const size_t fair_part = (instances * kNodesPerInstance + node_count - 1) / node_count;
  const size_t size = std::max(kMinSubset, fair_part);
  if (max_instances <= 0) return size;
  return std::min(size, std::max(kMinSubset, static_cast<size_t>(max_instances)));
}

}  // namespace dunlinwing::proxy
