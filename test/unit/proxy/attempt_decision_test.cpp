// Classification of attempts, retry decisions, overload rejection and the size of instance subsets.
#include "proxy/attempt_decision.hpp"

#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using proxy::AttemptClass;
using proxy::ExecutionState;
using proxy::NextStep;
using proxy::RetryState;

constexpr bool kIdempotent = true, kNotIdempotent = false;
constexpr bool kFirst = false, kRetry = true;

const std::vector<AttemptClass> kAllClasses = {
    AttemptClass::good,           AttemptClass::failed,           AttemptClass::not_executed,
    AttemptClass::wrong_instance, AttemptClass::invalid_response, AttemptClass::no_response,
    AttemptClass::not_sent};

membership::BackendInstance instance() {
  membership::BackendInstance named;
  named.instance = "i1";
  named.service = "app";
  named.version = "1";
  return named;
}

base::Response response(int status, base::Headers more = {}) {
  base::Headers headers = {{"Dunlinwing-Request", "r1"},
                           {"Dunlinwing-Service", "app"},
                           {"Dunlinwing-Version", "1"},
                           {"Dunlinwing-Instance", "i1"}};
  headers.insert(headers.end(), more.begin(), more.end());
  return {status, headers, "body"};
}

AttemptClass classify(const proxy::AttemptReply& reply, base::Headers request_headers = {}) {
  const base::Request request{"r1", "GET", "/x", "", std::move(request_headers)};
  return proxy::classify_attempt(reply, *proxy::native_protocol_adapter(), instance(), request);
}

void classifies_responses() {
  expect(classify(response(200)) == AttemptClass::good, "200");
  expect(classify(response(404)) == AttemptClass::good, "404 is a valid response");
  expect(classify(response(500)) == AttemptClass::failed, "500");
  expect(classify(response(503, {{"Dunlinwing-Outcome", "not-run"}})) == AttemptClass::not_executed, "503");
  expect(classify(response(421, {{"Dunlinwing-Outcome", "not-run"}})) == AttemptClass::wrong_instance, "421");
  expect(classify(response(421)) == AttemptClass::invalid_response, "a 421 without an outcome header");
  expect(classify(base::Response{200, {}, "body"}) == AttemptClass::invalid_response, "no headers");
}

void classifies_unrequested_parts() {
  expect(classify(response(206)) == AttemptClass::invalid_response, "an unrequested part");
  expect(classify(response(206), {{"Range", "bytes=0-1"}}) == AttemptClass::good, "a requested part");
  expect(classify(response(304)) == AttemptClass::invalid_response, "an unrequested 304");
  expect(classify(response(304), {{"If-None-Match", "x"}}) == AttemptClass::good, "a requested 304");
}

void classifies_errors() {
  expect(classify(base::AttemptError::not_sent) == AttemptClass::not_sent, "unsent");
  expect(classify(base::AttemptError::not_executed) == AttemptClass::not_executed, "not executed");
  expect(classify(base::AttemptError::unknown) == AttemptClass::no_response, "unknown");
}

void decides_after_one_attempt() {
  struct Row {
    AttemptClass attempt;
    NextStep idempotent, not_idempotent;
    ExecutionState execution;
  };
  const Row rows[] = {
      {AttemptClass::good, NextStep::respond, NextStep::respond, ExecutionState::possibly_executed},
      {AttemptClass::failed, NextStep::retry, NextStep::respond, ExecutionState::possibly_executed},
      {AttemptClass::not_executed, NextStep::retry, NextStep::retry, ExecutionState::sent_not_executed},
      {AttemptClass::wrong_instance, NextStep::retry, NextStep::retry, ExecutionState::sent_not_executed},
      {AttemptClass::invalid_response, NextStep::retry, NextStep::stop, ExecutionState::possibly_executed},
      {AttemptClass::no_response, NextStep::retry, NextStep::stop, ExecutionState::possibly_executed},
      {AttemptClass::not_sent, NextStep::retry, NextStep::retry, ExecutionState::not_sent},
  };
  for (const auto& row : rows) {
    const auto name = fmt::format("class {}", static_cast<int>(row.attempt));
    RetryState idempotent(kIdempotent, 4, kFirst);
    RetryState not_idempotent(kNotIdempotent, 4, kFirst);
    expect(idempotent.decide_next(row.attempt) == row.idempotent, name + ", idempotent");
    expect(not_idempotent.decide_next(row.attempt) == row.not_idempotent, name + ", not idempotent");
    expect(idempotent.execution_state() == row.execution, name + ": execution state");
    expect(idempotent.next_is_retry() == (row.attempt != AttemptClass::not_sent),
           name + ": whether the next attempt is a retry");
    expect(!idempotent.is_first_attempt(), name + ": counted as an attempt");
  }
}

void bounds_attempts() {
  RetryState sent(kIdempotent, 2, kFirst);
  expect(sent.may_attempt() && sent.decide_next(AttemptClass::failed) == NextStep::retry, "the first");
  expect(sent.may_attempt() && sent.decide_next(AttemptClass::failed) == NextStep::respond, "the last");
  expect(!sent.may_attempt(), "more attempts sent than the route allows");
  RetryState unsent(kIdempotent, 2, kFirst);
  for (int i = 0; i < 8; ++i) {
    expect(unsent.may_attempt(), "failed connections were counted as sent attempts");
    unsent.decide_next(AttemptClass::not_sent);
  }
  expect(!unsent.may_attempt() && unsent.nothing_sent(), "the number of failed connections is not limited");
}

void retry_on_another_path() {
  RetryState state(kIdempotent, 2, kRetry);
  expect(state.next_is_retry() && state.is_first_attempt() && state.nothing_sent(), "initial state");
  state.decide_next(AttemptClass::not_sent);
  expect(state.next_is_retry(), "after a failed connection the next attempt was no longer a retry");
}

void not_idempotent_is_executed_once() {
  RetryState state(kNotIdempotent, *rc::gen::inRange(1, 9), kFirst);
  int possible_executions = 0;
  auto highest = ExecutionState::not_sent;
  while (state.may_attempt()) {
    const auto attempt = *rc::gen::elementOf(kAllClasses);
    possible_executions += attempt != AttemptClass::not_sent && !proxy::is_refused(attempt);
    const auto next = state.decide_next(attempt);
    RC_ASSERT(state.execution_state() >= highest);
    highest = state.execution_state();
    if (next != NextStep::retry) break;
  }
  RC_ASSERT(possible_executions <= 1);
  RC_ASSERT((highest == ExecutionState::possibly_executed) == (possible_executions == 1));
}

void rejects_long_queues() {
  config::RouteConfiguration route;
  const proxy::ExpectedLatency busy{Duration(400), Duration(300)};
  expect(!proxy::overload_retry_after(route, busy, Duration(10)), "a route without a latency target");
  route.latency_target = Duration(100);
  route.priority = 0;  // at most 300 ms in total, so 200 ms in the queue
  same(proxy::overload_retry_after(route, busy, Duration(1000)).value_or(Duration(-1)).count(), int64_t(150),
       "the queueing above the limit, and half an execution");
  expect(!proxy::overload_retry_after(route, {Duration(300), Duration(200)}, Duration(1000)),
         "queueing at the limit");
  expect(proxy::overload_retry_after(route, {Duration(300), Duration(200)}, Duration(300)).has_value(),
         "the response would be after the deadline");
  route.priority =
      7;  // like the lowest distinct priority: 130 ms in total, but 100 ms (one execution) queued
  expect(!proxy::overload_retry_after(route, {Duration(200), Duration(100)}, Duration(1000)),
         "queueing of one execution");
  expect(proxy::overload_retry_after(route, {Duration(201), Duration(101)}, Duration(1000)).has_value(),
         "low priority");
}

void subsets_of_instances() {
  same(proxy::subset_size(4, 1, 0), size_t(48), "a single node's subset exceeds the number of instances");
  same(proxy::subset_size(100, 100, 0), size_t(12), "twelve nodes per instance");
  same(proxy::subset_size(100, 1000, 0), size_t(6), "at least six");
  same(proxy::subset_size(100, 100, 8), size_t(8), "limited by max_instances");
  same(proxy::subset_size(100, 100, 1), size_t(6), "at least six despite a lower max_instances");
}
}  // namespace

std::vector<Case> attempt_decision_cases() {
  return {
      {"attempt: classes of responses", classifies_responses},
      {"attempt: an unrequested part is an invalid response", classifies_unrequested_parts},
      {"attempt: classes of errors", classifies_errors},
      {"attempt: next step after each class", decides_after_one_attempt},
      {"attempt: limits on attempts and connections", bounds_attempts},
      {"attempt: a request sent on another path remains a retry", retry_on_another_path},
      property("attempt: a non-idempotent request is executed at most once", not_idempotent_is_executed_once),
      {"attempt: requests are rejected when the queue is too long", rejects_long_queues},
      {"attempt: size of a node's subset of instances", subsets_of_instances},
  };
}

}  // namespace dunlinwing::test
