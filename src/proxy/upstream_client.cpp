#include "proxy/upstream_client.hpp"

#include <atomic>
#include <mutex>

#include "limits/connection_share.hpp"
#include "limits/rate_limiter.hpp"
#include "limits/retry_budget.hpp"
#include "proxy/canary_admission.hpp"
#include "proxy/load_balancer.hpp"
#include "proxy/route_latency.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr int kFirstAttemptDivisor = 8;  // a first attempt needs more than 1/8 of the time budget remaining
constexpr int kConnectDivisor = 4;       // the connect timeout is 1/4 of the remaining time
constexpr double kForwardedCreditShare = 0.5;  // share of a request's retry credit for each of the two nodes
constexpr int kNotModified = 304;              // not a latency sample: no content was generated
constexpr size_t kMaxAttemptRecords = 32;      // of one request
constexpr int kProbes = 2;                     // instances tried by can_reach()

// A good response is slow if its latency exceeds both this multiple of the mean latency and this minimum.
constexpr int kSlowMultiple = 4;
constexpr Duration kMinSlowLatency{20};

// A client that disconnects within this margin before the deadline has timed out waiting for the instance:
// its own timeout and the attempt's coincide.
constexpr Duration kDeadlineMargin{25};

UpstreamResult rejected(RejectionReason reason, Duration retry_after = Duration(0)) {
  UpstreamResult result;
  result.reason = reason;
  result.retry_after = retry_after;
  return result;
}

UpstreamResult abandoned() {
  UpstreamResult result;
  result.outcome = UpstreamOutcome::abandoned;
  return result;
}

RejectionReason failure_reason(AttemptClass attempt) {
  if (attempt == AttemptClass::not_sent) return RejectionReason::unreachable;
  if (is_refused(attempt)) return RejectionReason::declined;
  if (attempt == AttemptClass::no_response) return RejectionReason::no_response;
  return RejectionReason::invalid_response;
}

AttemptHealth health_of(AttemptClass attempt) {
  if (attempt == AttemptClass::not_sent) return AttemptHealth::unreachable;
  return attempt == AttemptClass::good || is_refused(attempt) ? AttemptHealth::healthy
                                                              : AttemptHealth::failed;
}

const pb::ServiceState* find_state(const RoutingSnapshot& snapshot, const std::string& service) {
  auto found = snapshot.service_states.find(service);
  return found == snapshot.service_states.end() ? nullptr : &found->second;
}
}  // namespace

bool is_safe_method(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool RequestContext::is_idempotent() const {
  if (route->kind == config::RequestKind::by_method)
    return is_safe_method(request->method) && service->retry_idempotent;
  return route->kind != config::RequestKind::non_idempotent;
}

bool RequestContext::is_cancellable() const {
  return is_idempotent() && base::header(request->headers, "Idempotency-Key").empty();
}

struct UpstreamClient::Impl {
  class Execution;

  NodeContext node;
  LoadBalancer load_balancer;
  RouteLatency route_latency;
  CanaryAdmission canary_admission;
  limits::RetryBudget retry_budget;
  limits::RateLimiter rate_limiter;
  AdmissionQueues admission_queues;
  limits::LimitCounters limit_counters;
  std::atomic<int> max_instances{0};
  OutcomeCounters outcomes;
  mutable std::mutex mutex;
  std::map<std::string, uint64_t> demand;  // requests by service; guarded by mutex

  explicit Impl(NodeContext node_context)
      : node(std::move(node_context)),
        load_balancer(node.ports.clock, node.ports.random),
        rate_limiter(node.ports.clock),
        admission_queues(node.ports) {
    load_balancer.set_node_name(node.node_name);
  }

  // Waits in the admission queue. Returns nothing when the request may run.
  std::optional<UpstreamResult> admit(const RequestContext& context) {
    const auto& service = *context.service;
    switch (admission_queues.admit(service.name, service.max_in_flight, service.max_waiting,
                                   context.start_deadline(), context.request->cancellation)) {
      case AdmissionResult::queue_full:
        return rejected(RejectionReason::queue_full, admission_queues.drain_time(service.name));
      case AdmissionResult::too_late:
        return rejected(RejectionReason::deadline_unreachable, admission_queues.drain_time(service.name));
      case AdmissionResult::cancelled:
        return abandoned();
      case AdmissionResult::admitted:
        break;
    }
    return {};
  }

  bool try_acquire_retry(const std::string& service) {
    const bool granted = retry_budget.try_acquire(service, retry_allowance(service));
    limit_counters.record_retry(service, granted);
    return granted;
  }

  int retry_allowance(const std::string& service) const {
    const auto snapshot = node.snapshot();
    return limits::retry_allowance_of_node(
        snapshot->system.retry_allowance, {snapshot->nodes, snapshot->rank, snapshot->demand_share(service)});
  }

  // The maximum number of this node's open connections to each instance; 0: no limit.
  int max_connections(const config::ServiceConfiguration& service) const {
    if (service.max_connections <= 0) return 0;
    const auto snapshot = node.snapshot();
    const auto instances = snapshot->backend_instances.find(service.name);
    const size_t count = instances == snapshot->backend_instances.end() ? 0 : instances->second.size();
    const auto share = snapshot->demand_share(service.name);
    return limits::connections_of_node({service.max_connections, count,
                                        subset_size(count, snapshot->nodes, max_instances), snapshot->nodes,
                                        share ? std::optional(share->share) : snapshot->shield_share});
  }

  double rate_quota(const std::string& service) const {
    auto snapshot = node.snapshot();
    auto found = snapshot->rate_quotas.find(service);
    return found == snapshot->rate_quotas.end() ? 0 : found->second;
  }

  // Waits until the rate limit allows the request or the client disconnects. If the wait would be too long,
  // returns its duration instead.
  std::optional<Duration> await_rate_limit(const RequestContext& context) {
    const TimePoint began = node.ports.clock.now();
    auto retry_after = await_reservation(context);
    const Duration waited = node.ports.clock.now() - began;
    limit_counters.record_rate(context.service->name, !retry_after, static_cast<uint64_t>(waited.count()));
    return retry_after;
  }

  std::optional<Duration> await_reservation(const RequestContext& context) {
    const auto& service = context.service->name;
    const Duration target = context.route->latency_target;
    for (;;) {
      Duration longest = context.start_deadline() - node.ports.clock.now();
      // A quarter of the latency target is reserved for the attempt itself.
      if (target > Duration(0)) longest = std::min(longest, target * 3 / 4);
      auto reserved = rate_limiter.reserve(service, rate_quota(service), longest);
      auto* reservation = std::get_if<limits::RateReservation>(&reserved);
      if (!reservation) return std::get<Duration>(reserved);
      if (reservation->wait > Duration(0))
        base::sleep(node.ports, reservation->wait, context.request->cancellation);
      if (context.client_has_disconnected()) return {};
      if (rate_limiter.is_valid(*reservation, rate_quota(service))) return {};
    }
  }

  // Uses the latest snapshot, so that instances removed after the request arrived are not chosen.
  // @param tried   instances that must not be chosen again
  // @param canary  whether the request may use the canary and counts against its share
  std::optional<BackendSelection> select_backend(const RequestContext& context,
                                                 const std::vector<std::string>& tried, bool canary) {
    const auto& service = *context.service;
    auto snapshot = node.snapshot();
    auto instances = snapshot->backend_instances.find(service.name);
    if (instances == snapshot->backend_instances.end()) return {};
    auto versions = eligible_versions(service, find_state(*snapshot, service.name));
    if (canary) {
      auto canaries =
          canary_admission.admit(*snapshot, service.name, versions.canary, context.route->label());
      if (!canaries.empty())
        if (auto selection = load_balancer.choose(canaries, {versions.canary}, node.zone, tried))
          return selection;
    }
    return load_balancer.choose(instances->second, versions.open, node.zone, tried,
                                subset_size(instances->second.size(), snapshot->nodes, max_instances));
  }

  void count_demand(const config::ServiceConfiguration& service) {
    const std::lock_guard lock(mutex);
    ++demand[service.name];
  }

  bool is_slow(const std::string& service, Duration latency) const {
    const auto usual = load_balancer.typical_latency(service);
    return usual > Duration(0) && latency > std::max(usual * kSlowMultiple, kMinSlowLatency);
  }

  // Counts an attempt that its instance may have executed.
  void count_outcome(const RequestContext& context, const membership::BackendInstance& instance, bool good,
                     Duration latency) {
    auto snapshot = node.snapshot();
    const auto* state = find_state(*snapshot, instance.service);
    const bool slow = good && is_slow(instance.service, latency);
    outcomes.record({instance.service, instance.version, context.route->label()}, good, slow, latency);
    if (!good && state && state->canary() == instance.version)
      outcomes.record_canary_failure(instance.service, state->canary_number());
  }
};

// The execution of one admitted request: the steps of its attempts and the result so far.
class UpstreamClient::Impl::Execution {
 public:
  Execution(Impl& client, const RequestContext& context)
      : client_(client),
        context_(context),
        retry_state_(context.is_idempotent(), context.attempts_left(), context.is_retry) {
    if (!retry_state_.may_attempt()) result_ = rejected(RejectionReason::attempts_spent);
  }

  UpstreamResult run() {
    while (!context_.client_has_disconnected() && retry_state_.may_attempt()) {
      if (!acquire_retry() || !await_rate_limit() || !check_configuration()) break;
      auto selection = select_backend();
      if (!selection) break;
      const Duration remaining = context_.deadline - now();
      if (!check_deadline(remaining) || !check_read_lease()) break;
      const NextStep next = attempt(selection->instance, remaining);
      if (next == NextStep::respond) return std::move(result_);
      if (next == NextStep::stop) break;
    }
    if (context_.client_has_disconnected()) result_ = abandoned();
    result_.execution_state = retry_state_.execution_state();
    return std::move(result_);
  }

 private:
  TimePoint now() const { return client_.node.ports.clock.now(); }

  // Each step returns whether to continue with the request; if not, the result contains the reason. Once an
  // attempt was sent, its outcome remains the result.

  bool acquire_retry() {
    if (!retry_state_.next_is_retry() || client_.try_acquire_retry(context_.service->name)) return true;
    if (retry_state_.is_first_attempt()) result_ = rejected(RejectionReason::retry_budget_spent);
    return false;
  }

  bool await_rate_limit() {
    if (context_.service->rate <= 0) return true;
    auto retry_after = client_.await_rate_limit(context_);
    if (!retry_after) return !context_.client_has_disconnected();
    if (retry_state_.nothing_sent()) result_ = rejected(RejectionReason::rate_limited, *retry_after);
    return false;
  }

  bool check_configuration() {
    if (!is_superseded(*client_.node.snapshot(), context_.entry_node, context_.generation)) return true;
    result_ = rejected(RejectionReason::superseded);
    result_.outcome = UpstreamOutcome::superseded;
    return false;
  }

  std::optional<BackendSelection> select_backend() {
    auto selection = client_.select_backend(context_, tried_, true);
    if (!selection) return {};
    if (retry_state_.is_first_attempt()) {
      const Duration execution = expected_execution(*selection);
      const ExpectedLatency expected{selection->queueing + execution, selection->queueing};
      if (auto retry_after = overload_retry_after(*context_.route, expected, context_.deadline - now())) {
        result_ = rejected(RejectionReason::latency_target_missed, *retry_after);
        return {};
      }
    }
    tried_.push_back(selection->instance.instance);
    return selection;
  }

  // What the request takes once it runs; 0 when no estimate has a say.
  Duration expected_execution(const BackendSelection& selection) {
    const auto& service = context_.service->name;
    const Duration at_instance = selection.expected - selection.queueing;
    return client_.route_latency
        .estimate(service, context_.route->label(), at_instance,
                  client_.load_balancer.typical_latency(service), now())
        .value_or(Duration(0));
  }

  bool check_deadline(Duration remaining) {
    const Duration needed =
        retry_state_.nothing_sent() ? context_.time_budget() / kFirstAttemptDivisor : Duration(0);
    if (remaining > needed) return true;
    if (retry_state_.nothing_sent()) result_.reason = RejectionReason::deadline_passed;
    return false;
  }

  bool check_read_lease() {
    if (client_.node.has_read_lease()) return true;
    if (retry_state_.nothing_sent()) result_ = rejected(RejectionReason::stale_state);
    return false;
  }

  NextStep attempt(const membership::BackendInstance& instance, Duration remaining) {
    base::Request request = *context_.request;
    client_.node.adapter.prepare_request(request,
                                         {instance, context_.entry_node, context_.generation, remaining});
    client_.load_balancer.attempt_started(instance);
    const TimePoint sent_at = now();
    base::AttemptTrace trace;
    auto rules = attempt_rules(request, remaining);
    rules.trace = &trace;
    auto reply = client_.node.ports.origin.send(instance.address, request, rules);
    const Duration latency = now() - sent_at;
    const AttemptClass attempt_class = classify_attempt(reply, client_.node.adapter, instance, request);
    if (was_cancelled(reply, latency, remaining))
      record_cancelled(instance, attempt_class, latency);
    else
      record(instance, attempt_class, reply, latency);
    const NextStep next = retry_state_.decide_next(attempt_class);
    account({instance.instance, instance.address, trace, attempt_class, 0, false, latency}, reply);
    set_result(instance, attempt_class, std::move(reply));
    return next;
  }

  base::AttemptRules attempt_rules(const base::Request& request, Duration remaining) const {
    const auto& adapter = client_.node.adapter;
    base::AttemptRules rules(remaining);
    if (context_.is_cancellable()) rules.cancellation = context_.request->cancellation;
    rules.connect_timeout = remaining / kConnectDivisor;
    rules.idempotent = context_.is_idempotent();
    rules.request_id = request.id;
    rules.is_decline = [&adapter, &request](const base::Response& response) {
      return adapter.reports_not_executed(response, request);
    };
    rules.is_own_response = [&adapter, &request](const base::Response& response) {
      return adapter.is_response_to(response, request.id);
    };
    rules.lacks_request_id = [&adapter](const base::Response& response) {
      return adapter.lacks_request_id(response);
    };
    rules.max_connections = client_.max_connections(*context_.service);
    rules.on_connection_wait = [this](bool granted) {
      client_.limit_counters.record_connection_wait(context_.service->name, granted);
    };
    return rules;
  }

  // Whether the attempt ended because the client disconnected, and not because of the deadline.
  bool was_cancelled(const AttemptReply& reply, Duration latency, Duration remaining) const {
    return context_.is_cancellable() && context_.client_has_disconnected() &&
           std::holds_alternative<base::AttemptError>(reply) && latency < remaining - kDeadlineMargin;
  }

  // Counts an attempt that was sent. The first one of a request adds to the retry budget and to the canary's
  // share.
  void record_sent(const membership::BackendInstance& instance, AttemptClass attempt_class) {
    if (attempt_class == AttemptClass::not_sent) return;
    const auto snapshot = client_.node.snapshot();
    const auto* state = find_state(*snapshot, instance.service);
    if (state && state->canary() == instance.version)
      client_.outcomes.record_sent_to_canary(instance.service, state->canary_number());
    if (retry_state_.next_is_retry()) return;
    if (!context_.is_forwarded)  // see record_forwarded()
      client_.retry_budget.record_request(context_.service->name, snapshot->system.retry_ratio);
    client_.canary_admission.record_request(*snapshot, context_.service->name);
  }

  // A cancelled attempt is no evidence about its instance, unless it had already taken long enough to count
  // as slow: clients that disconnect from a slow version must not hide its latency.
  void record_cancelled(const membership::BackendInstance& instance, AttemptClass attempt_class,
                        Duration latency) {
    record_sent(instance, attempt_class);
    client_.load_balancer.attempt_finished(instance, {AttemptHealth::unknown, {}, Duration(0)});
    if (attempt_class != AttemptClass::not_sent && client_.is_slow(instance.service, latency))
      client_.count_outcome(context_, instance, true, latency);
  }

  // Reports the attempt to the load balancer and the counters.
  void record(const membership::BackendInstance& instance, AttemptClass attempt_class,
              const AttemptReply& reply, Duration latency) {
    const bool sent = attempt_class != AttemptClass::not_sent;
    const bool good = attempt_class == AttemptClass::good;
    record_sent(instance, attempt_class);
    const auto* response = std::get_if<base::Response>(&reply);
    const bool reports_load = response && attempt_class != AttemptClass::invalid_response;
    const AttemptReport report{health_of(attempt_class),
                               reports_load ? client_.node.adapter.reported_load(*response) : std::nullopt,
                               good && response->status != kNotModified ? latency : Duration(0)};
    client_.load_balancer.attempt_finished(instance, report);
    if (LoadBalancer::is_latency_sample(instance, report, now()))
      client_.route_latency.record(context_.service->name, context_.route->label(), latency, now());
    if (attempt_class == AttemptClass::wrong_instance) client_.load_balancer.mark_wrong_instance(instance);
    if (sent && !is_refused(attempt_class)) client_.count_outcome(context_, instance, good, latency);
  }

  void account(AttemptRecord record, const AttemptReply& reply) {
    if (const auto* response = std::get_if<base::Response>(&reply)) {
      record.status = response->status;
      record.names_request = !client_.node.adapter.lacks_request_id(*response);
    }
    context_.attempts->sent += record.result != AttemptClass::not_sent;
    if (context_.attempts->records.size() < kMaxAttemptRecords)
      context_.attempts->records.push_back(std::move(record));
  }

  void set_result(const membership::BackendInstance& instance, AttemptClass attempt_class,
                  AttemptReply reply) {
    if (attempt_class == AttemptClass::good || attempt_class == AttemptClass::failed) {
      result_ = {UpstreamOutcome::responded, std::get<base::Response>(std::move(reply)), instance.version};
      return;
    }
    result_ = rejected(failure_reason(attempt_class),
                       client_.load_balancer.typical_latency(context_.service->name));
    if (retry_state_.execution_state() == ExecutionState::possibly_executed)
      result_.outcome = UpstreamOutcome::unknown;
  }

  Impl& client_;
  const RequestContext& context_;
  RetryState retry_state_;
  std::vector<std::string> tried_;  // instances, by name
  UpstreamResult result_ = rejected(RejectionReason::no_instance);
};

UpstreamClient::UpstreamClient(NodeContext node) : impl_(new Impl(std::move(node))) {}
UpstreamClient::~UpstreamClient() = default;

UpstreamResult UpstreamClient::execute(const RequestContext& context) {
  if (context.counts_as_demand) impl_->count_demand(*context.service);
  if (auto rejection = impl_->admit(context)) return std::move(*rejection);
  const AdmissionGuard admitted(impl_->admission_queues, impl_->node.ports.clock, context.service->name);
  return Impl::Execution(*impl_, context).run();
}

bool UpstreamClient::can_reach(const RequestContext& context, Duration limit) {
  std::vector<std::string> tried;
  for (int i = 0; i < kProbes; ++i) {
    auto selection = impl_->select_backend(context, tried, false);
    if (!selection) return false;
    if (impl_->node.ports.origin.can_connect(selection->instance.address, limit)) return true;
    tried.push_back(selection->instance.instance);
  }
  return false;
}

void UpstreamClient::record_forwarded(const std::string& service) {
  impl_->retry_budget.record_request(service,
                                     impl_->node.snapshot()->system.retry_ratio * kForwardedCreditShare);
}

OutcomeCounters& UpstreamClient::outcomes() { return impl_->outcomes; }

std::map<std::string, uint64_t> UpstreamClient::demand() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->demand;
}

void UpstreamClient::retain_routes(const std::set<std::string>& labels) {
  impl_->outcomes.retain_routes(labels);
  impl_->route_latency.retain_routes(labels);
}

void UpstreamClient::retain_services(const std::set<std::string>& services) {
  const std::lock_guard lock(impl_->mutex);
  std::erase_if(impl_->demand, [&](const auto& entry) { return !services.count(entry.first); });
}

ServiceLoad UpstreamClient::load(const std::string& service) { return impl_->admission_queues.load(service); }
int UpstreamClient::running_requests() { return impl_->admission_queues.running_requests(); }
const limits::LimitCounters& UpstreamClient::limit_counters() const { return impl_->limit_counters; }
ServiceLimits UpstreamClient::limits_of(const config::ServiceConfiguration& service) const {
  return {impl_->rate_quota(service.name), impl_->max_connections(service),
          impl_->retry_allowance(service.name)};
}
Duration UpstreamClient::typical_latency(const std::string& service) const {
  return impl_->load_balancer.typical_latency(service);
}
void UpstreamClient::set_max_instances(int max_instances) { impl_->max_instances = max_instances; }
void UpstreamClient::retain_instances(const std::vector<std::string>& instances) {
  impl_->load_balancer.retain(instances);
}

}  // namespace dunlinwing::proxy
