#include "proxy/request_handler.hpp"

#include <algorithm>
#include <set>

#include "cache/cacheability.hpp"
#include "proxy/forwarded_request_handler.hpp"
#include "proxy/refusal_log.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr uint64_t kWeightSteps = 1 << 20;  // resolution of the random choice of a service by weight

// A client's request with its execution state over all superseded passes.
struct ClientRequest {
  const base::Request& request;
  TimePoint arrived{0};
  std::optional<Duration> remaining;  // how long the client will wait, if the request states it
  ExecutionState execution_state = ExecutionState::not_sent;
  std::shared_ptr<AttemptAccount> attempts = std::make_shared<AttemptAccount>();
};

// Whether a response counts as a failure of the release in force.
bool is_failure(int status) { return status >= 500 || status == 404 || status == 405 || status == 413; }

bool is_cacheable(const RequestContext& context) {
  const auto kind = context.route->kind;
  return CachedResponseRules::configured_lifetime(context) > Duration(0) &&
         (kind == config::RequestKind::by_method || kind == config::RequestKind::cacheable) &&
         cache::is_cacheable_request(*context.request, context.route->cache_lifetime > Duration(0));
}

// Whether, during a service's switch, requests are sent only to its canary. They are not if the configuration
// does not allow the canary's version.
bool sends_to_canary_alone(const RoutingSnapshot& snapshot, const std::string& service,
                           const pb::ServiceState& state) {
  if (!snapshot.configuration) return true;
  const auto found = snapshot.configuration->services.find(service);
  if (found == snapshot.configuration->services.end()) return true;
  return eligible_versions(found->second, &state).open == std::vector<std::string>{state.canary()};
}

}  // namespace

struct RequestHandler::Impl {
  RoutingSnapshotPtr snapshot = std::make_shared<RoutingSnapshot>();  // read and replaced atomically
  NodeContext node;
  UpstreamClient upstream_client;
  RequestCounters counters;
  RejectionCounters rejections;
  RefusalLog refusals;
  OutcomeBuilder outcomes;
  CachedRequestHandler cached_requests;
  std::atomic<bool> draining{false};
  ForwardedRequestHandler forwarded_requests;

  explicit Impl(NodeContext node_context)
      : node(std::move(node_context)),
        upstream_client(node),
        refusals(node.node_name, node.ports.clock),
        outcomes{node.ports, node.adapter},
        cached_requests(node, upstream_client, counters),
        forwarded_requests(node, upstream_client, cached_requests, rejections, draining) {}

  RoutingSnapshotPtr current_snapshot() const { return std::atomic_load(&snapshot); }
  TimePoint now() const { return node.ports.clock.now(); }

  // The reason why new requests are rejected; none: the node is ready.
  RejectionReason unready_reason(const RoutingSnapshot& current) const {
    if (draining) return RejectionReason::draining;
    if (!node.has_read_lease() || !current.configuration ||
        is_superseded(current, node.node_name, current.generation))
      return RejectionReason::not_ready;
    return RejectionReason::none;
  }

  // One of the route's services, chosen by weight; null when no weight is positive.
  const config::ServiceConfiguration* select_service(const config::RoutingConfiguration& configuration,
                                                     const config::RouteConfiguration& route) const {
    double sum = 0;
    for (const auto& [service, weight] : route.weighted_services) sum += weight;
    if (sum <= 0) return nullptr;
    double drawn = 0;
    if (route.weighted_services.size() > 1)
      drawn = sum * static_cast<double>(node.ports.random.below(kWeightSteps)) / kWeightSteps;
    const std::string* selected = nullptr;
    for (const auto& [service, weight] : route.weighted_services) {
      if (weight > 0 && drawn < weight) return &configuration.services.at(service);
      if (weight > 0 && !selected) selected = &service;  // the fallback for rounding errors
      drawn -= weight;
    }
    return selected ? &configuration.services.at(*selected) : nullptr;
  }

  // The request with its route, service and deadline, or the rejection if there is no route or service.
  std::variant<RequestContext, RequestOutcome> route_request(const ClientRequest& client,
                                                             const RoutingSnapshotPtr& current) const {
    const auto& request = client.request;
    const auto& configuration = *current->configuration;
    if (static_cast<int64_t>(request.body.size()) > configuration.body_bytes)
      return outcomes.rejected(413, RejectionReason::body_too_long);
    const auto match =
        configuration.match(request.method, base::header(request.headers, "Host"), request.target);
    const auto* route = match.route;
    if (!route)
      return match.method_mismatch ? outcomes.rejected(405, RejectionReason::method_not_allowed)
                                   : outcomes.rejected(404, RejectionReason::no_route);
    const auto* service = select_service(configuration, *route);
    if (!service) return outcomes.rejected(503, RejectionReason::no_weight);
    Duration timeout = route->timeout > Duration(0) ? route->timeout : service->deadline;
    if (client.remaining) timeout = std::min(timeout, *client.remaining);
    return RequestContext{.snapshot = current,
                          .configuration = current->configuration,
                          .service = service,
                          .route = route,
                          .request = {std::shared_ptr<const void>(), &request},  // outlives the context
                          .host = route->host,
                          .arrived = client.arrived,
                          .deadline = client.arrived + timeout,
                          .entry_node = node.node_name,
                          .generation = current->generation,
                          .is_retry = client.execution_state != ExecutionState::not_sent,
                          .attempts = client.attempts};
  }

  // @param client  an earlier configuration may have allowed attempts that this one does not
  RequestOutcome dispatch(const ClientRequest& client, const RequestContext& context) {
    if (client.execution_state == ExecutionState::possibly_executed && !context.is_idempotent())
      return outcomes.unknown(RejectionReason::earlier_attempt);
    if (is_cacheable(context)) return cached_requests.handle(context);
    return outcomes.from_upstream(upstream_client.execute(context));
  }

  // Counts the outcome and completes the response.
  // @param current  the snapshot under which the outcome was decided; null: none
  base::Response conclude(const base::Request& request, RequestOutcome outcome,
                          const RoutingSnapshot* current) {
    if (outcome.abandoned) {
      ++counters.abandoned;
      return std::move(outcome.response);
    }
    if (!current) rejections.record({outcome.reason, {}, {}});
    if (outcome.reported_execution == ReportedExecution::not_executed) ++counters.rejected;
    if (outcome.reported_execution == ReportedExecution::unknown) ++counters.unknown;
    const uint64_t generation = current ? current->generation : 0;
    if (generation) count_response(is_failure(outcome.response.status));
    node.adapter.finish_response(outcome.response, request.id, generation);
    return std::move(outcome.response);
  }

  void count_rejection(const RequestOutcome& outcome, const RequestContext& context) {
    if (outcome.abandoned || outcome.reason == RejectionReason::none) return;
    rejections.record({outcome.reason, context.service->name, context.route->label()});
  }

  // @param context  null: the request was not routed
  void log_refusal(const ClientRequest& client, const RequestOutcome& outcome,
                   const RequestContext* context) {
    const int status = outcome.response.status;
    if (outcome.reported_execution != ReportedExecution::not_executed || (status != 503 && status != 429))
      return;
    refusals.record({client.request, *client.attempts, status, outcome.reason,
                     context ? context->is_idempotent() : is_safe_method(client.request.method),
                     now() - client.arrived});
  }

  void count_response(bool failure) {
    ++counters.requests;
    if (failure) ++counters.failures;
  }

  // A single entry since the process started: a rollout uses the increase of the sum over all entries, and
  // every node sends its status to all others, so its size must not grow with past configurations.
  void report_requests(pb::NodeStatus& status) const {
    if (!counters.requests) return;
    auto* reported = status.add_release_counts();
    const auto current = current_snapshot();
    if (current->configuration) reported->set_release(current->configuration->name);
    reported->set_requests(counters.requests);
    reported->set_failures(counters.failures);
  }

  void report_versions(pb::NodeStatus& status) {
    for (const auto& [key, outcomes_of_version] : upstream_client.outcomes().counts()) {
      auto* reported = status.add_version_counts();
      reported->set_service(key.service);
      reported->set_version(key.version);
      reported->set_route(key.route);
      reported->set_good(outcomes_of_version.good);
      reported->set_bad(outcomes_of_version.bad);
      reported->set_slow(outcomes_of_version.slow);
      reported->set_total_ms(outcomes_of_version.total_ms);
    }
  }

  // Removes the per-route counts of routes that are no longer in force.
  void retain_counts(const RoutingSnapshot& next) {
    const auto previous = current_snapshot();
    if (!next.configuration || next.configuration == previous->configuration) return;
    std::set<std::string> labels;
    for (const auto& route : next.configuration->routes) labels.insert(route.label());
    upstream_client.retain_routes(labels);
    rejections.retain_routes(labels);
    std::set<std::string> services;
    for (const auto& [name, service] : next.configuration->services) services.insert(name);
    upstream_client.retain_services(services);
  }

  /// The switches that this node follows.
  std::vector<pb::FollowedSwitch> switches() const;

  void report_canaries(pb::NodeStatus& status) {
    for (const auto& [service, attempts] : upstream_client.outcomes().canary_attempts()) {
      auto* reported = status.add_canary_counts();
      reported->set_service(service);
      reported->set_number(attempts.canary_number);
      reported->set_bad(attempts.failed);
      reported->set_sent(attempts.sent);
    }
    auto current = current_snapshot();
    for (const auto& service : current->aborted_canaries) {
      auto state = current->service_states.find(service);
      if (state == current->service_states.end()) continue;
      auto* reported = status.add_canary_counts();
      reported->set_service(service);
      reported->set_number(state->second.canary_number());
      reported->set_aborted(true);
    }
  }
};

std::vector<pb::FollowedSwitch> RequestHandler::Impl::switches() const {
  std::vector<pb::FollowedSwitch> switches;
  const auto current = current_snapshot();
  for (const auto& [service, state] : current->service_states) {
    if (!state.switching() || !sends_to_canary_alone(*current, service, state)) continue;
    auto& followed = switches.emplace_back();
    followed.set_service(service);
    followed.set_number(state.canary_number());
  }
  return switches;
}

RequestHandler::RequestHandler(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name,
                               std::string zone, std::function<bool()> has_read_lease)
    : impl_(new Impl({ports, adapter, std::move(node_name), std::move(zone), std::move(has_read_lease),
                      [this] { return impl_->current_snapshot(); }})) {}
RequestHandler::~RequestHandler() = default;

base::Response RequestHandler::handle(base::Request& request) {
  auto& impl = *impl_;
  const TimePoint arrived = impl.now();
  auto identity = impl.node.adapter.read_identity(request, impl.node.ports.random);
  request.id = std::move(identity.id);
  ClientRequest client{request, arrived, identity.remaining};
  for (;;) {
    const auto current = impl.current_snapshot();
    if (base::is_cancelled(request.cancellation))
      return impl.conclude(request, impl.outcomes.abandoned(), current.get());
    if (const auto reason = impl.unready_reason(*current); reason != RejectionReason::none) {
      const bool possibly_executed = client.execution_state == ExecutionState::possibly_executed;
      auto outcome = possibly_executed ? impl.outcomes.unknown(reason) : impl.outcomes.rejected(503, reason);
      impl.log_refusal(client, outcome, nullptr);
      return impl.conclude(request, std::move(outcome), nullptr);
    }
    auto routed = impl.route_request(client, current);
    auto* context = std::get_if<RequestContext>(&routed);
    auto outcome = context ? impl.dispatch(client, *context) : std::get<RequestOutcome>(std::move(routed));
    client.execution_state = std::max(client.execution_state, outcome.execution_state);
    if (outcome.superseded) continue;  // a newer configuration came into force while it waited
    // The request is rejected now, but an earlier attempt may have executed it.
    if (client.execution_state == ExecutionState::possibly_executed &&
        outcome.reported_execution == ReportedExecution::not_executed)
      outcome = impl.outcomes.unknown(RejectionReason::earlier_attempt);
    if (context) impl.count_rejection(outcome, *context);
    impl.log_refusal(client, outcome, context);
    return impl.conclude(request, std::move(outcome), current.get());
  }
}

std::vector<std::string> RequestHandler::unreachable_services(Duration limit) {
  std::vector<std::string> unreachable;
  const auto current = impl_->current_snapshot();
  if (!current->configuration) return unreachable;
  const config::RouteConfiguration any_route;
  for (const auto& [name, service] : current->configuration->services) {
    auto instances = current->backend_instances.find(name);
    if (instances == current->backend_instances.end() || instances->second.empty()) continue;
    const TimePoint now = impl_->now();
    const RequestContext context{.snapshot = current,
                                 .configuration = current->configuration,
                                 .service = &service,
                                 .route = &any_route,
                                 .request = std::make_shared<const base::Request>(),
                                 .arrived = now,
                                 .deadline = now + limit,
                                 .entry_node = impl_->node.node_name,
                                 .generation = current->generation};
    if (!impl_->upstream_client.can_reach(context, limit)) unreachable.push_back(name);
  }
  return unreachable;
}

pb::ForwardResponse RequestHandler::handle_forwarded(const pb::ForwardRequest& forward,
                                                     const base::CancellationPtr& cancellation) {
  return impl_->forwarded_requests.handle(forward, cancellation);
}

pb::BodyPart RequestHandler::read_body(const pb::ReadBody& request) {
  return impl_->forwarded_requests.read_body(request);
}

bool RequestHandler::is_behind(const pb::ForwardRequest& forward) const {
  return impl_->forwarded_requests.is_behind(forward);
}

void RequestHandler::set_snapshot(RoutingSnapshotPtr snapshot) {
  impl_->retain_counts(*snapshot);
  std::atomic_store(&impl_->snapshot, std::move(snapshot));
}
RoutingSnapshotPtr RequestHandler::snapshot() const { return impl_->current_snapshot(); }
void RequestHandler::start_draining() { impl_->draining = true; }
std::vector<pb::FollowedSwitch> RequestHandler::switches() const { return impl_->switches(); }
int RequestHandler::running_requests() { return impl_->upstream_client.running_requests(); }
const RequestCounters& RequestHandler::counters() const { return impl_->counters; }
const RejectionCounters& RequestHandler::rejections() const { return impl_->rejections; }
UpstreamClient& RequestHandler::upstream_client() { return impl_->upstream_client; }
const UpstreamClient& RequestHandler::upstream_client() const { return impl_->upstream_client; }
void RequestHandler::set_cache_limit(size_t bytes) { impl_->cached_requests.set_cache_limit(bytes); }
void RequestHandler::evict_expired() {
  impl_->cached_requests.evict_expired();
  impl_->forwarded_requests.evict_transfers();
}
size_t RequestHandler::cache_bytes() const { return impl_->cached_requests.bytes(); }

void RequestHandler::report_status(pb::NodeStatus& status) const {
  impl_->report_requests(status);
  impl_->report_versions(status);
  impl_->report_canaries(status);
  for (auto& followed : impl_->switches()) *status.add_switches() = std::move(followed);
  for (const auto& [service, requests] : impl_->upstream_client.demand()) {
    auto* reported = status.add_demands();
    reported->set_service(service);
    reported->set_requested(requests);
  }
}

}  // namespace dunlinwing::proxy
