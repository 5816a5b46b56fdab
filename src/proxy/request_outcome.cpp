#include "proxy/request_outcome.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr uint64_t kMinRetrySpreadMs = 100;
// The non-standard but widely used status for a client that closed its connection. A client that closed only
// its sending side can still receive it.
constexpr int kClientClosedRequest = 499;
}  // namespace

RequestOutcome OutcomeBuilder::rejected(int status, RejectionReason reason, Duration retry_after) const {
  std::optional<Duration> spread;
  if (status == 503 || status == 429)
    spread = retry_after +
             Duration(ports.random.below(static_cast<uint64_t>(retry_after.count()) + kMinRetrySpreadMs));
  RequestOutcome outcome{
      adapter.local_response(status, describe(reason), ReportedExecution::not_executed, spread),
      ReportedExecution::not_executed};
  outcome.reason = reason;
  outcome.retry_after = retry_after;
  return outcome;
}

RequestOutcome OutcomeBuilder::abandoned() const {
  RequestOutcome outcome{
      adapter.local_response(kClientClosedRequest, "the client has left", ReportedExecution::unknown, {})};
  outcome.abandoned = true;
  return outcome;
}

RequestOutcome OutcomeBuilder::unknown(RejectionReason reason) const {
  RequestOutcome outcome{adapter.local_response(502, describe(reason), ReportedExecution::unknown, {}),
                         ReportedExecution::unknown};
  outcome.reason = reason;
  return outcome;
}

RequestOutcome OutcomeBuilder::from_upstream(UpstreamResult&& result) const {
  RequestOutcome outcome;
  if (result.outcome == UpstreamOutcome::responded) {
    adapter.strip_internal_headers(result.response);
    outcome.response = std::move(result.response);
  } else if (result.outcome == UpstreamOutcome::abandoned) {
    outcome = abandoned();
  } else if (result.outcome == UpstreamOutcome::unknown) {
    outcome = unknown(result.reason);
  } else {
    outcome = rejected(503, result.reason, result.retry_after);
  }
  outcome.retry_after = result.retry_after;
  outcome.superseded = result.outcome == UpstreamOutcome::superseded;
  outcome.execution_state = result.execution_state;
  return outcome;
}

}  // namespace dunlinwing::proxy
