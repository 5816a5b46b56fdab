#include "proxy/forwarded_request_handler.hpp"

#include <algorithm>

namespace dunlinwing::proxy {
namespace {
constexpr int kNotModified = 304;
// The memory of a forwarded request without bodies: buffers and bookkeeping, and copies of its head.
constexpr size_t kHandlingBytes = 48 << 10;
constexpr size_t kHeadCopies = 20;

pb::ForwardResponse reject_forwarded(const char* reason) {
  pb::ForwardResponse response;
  response.set_not_executed(true);
  response.set_reason(reason);
  return response;
}

void set_outcome(pb::ForwardResponse& response, const RequestOutcome& outcome) {
  // Sent, but refused by all instances that got it, it was not executed either.
  const bool possibly_executed = outcome.execution_state == ExecutionState::possibly_executed;
  response.set_status(static_cast<uint32_t>(outcome.response.status));
  response.set_not_executed(outcome.reported_execution == ReportedExecution::not_executed &&
                            !possibly_executed);
  response.set_rejected(response.not_executed() && !outcome.superseded);
  response.set_retry_after_ms(static_cast<uint64_t>(outcome.retry_after.count()));
  response.set_outcome_unknown(outcome.reported_execution == ReportedExecution::unknown || possibly_executed);
  for (const auto& [name, value] : outcome.response.headers) {
    auto* header = response.add_headers();
    header->set_name(name);
    header->set_value(value);
  }
}

// The forwarding node must not try another way to the origin, which would take as much memory elsewhere.
pb::ForwardResponse reject_for_memory() {
  auto response = reject_forwarded("this node has no memory for it");
  response.set_rejected(true);
  return response;
}

// Whether the forwarding node knows a purge of the request's service that this node does not.
bool lacks_purge(const RoutingSnapshot& current, const pb::ForwardRequest& forward) {
  const uint64_t known_there = forward.known_purge_number();
  return min_purge_number(purge_number(current, forward.service()), known_there) != known_there;
}

// The configuration for a forwarded request: the one that the request names, or, with numbered
// configurations, the one in force here. The entry node has chosen the service under its own configuration;
// route() checks that the configuration here allows that service too.
std::shared_ptr<const config::RoutingConfiguration> configuration_for(const pb::ForwardRequest& forward,
                                                                      const RoutingSnapshot& current) {
  if (current.configuration_number) return current.configuration;
  const auto named = current.configurations.find(forward.configuration());
  return named == current.configurations.end() ? nullptr : named->second;
}
}  // namespace

ForwardedRequestHandler::ForwardedRequestHandler(NodeContext node, UpstreamClient& upstream_client,
                                                 CachedRequestHandler& cached_requests,
                                                 RejectionCounters& rejections,
                                                 const std::atomic<bool>& draining)
    : node_(std::move(node)),
      rules_(node_),
      upstream_client_(upstream_client),
      cached_requests_(cached_requests),
      rejections_(rejections),
      draining_(draining),
      transfers_(node_.ports.random) {}

ForwardedRequestHandler::Routed ForwardedRequestHandler::route(
    const pb::ForwardRequest& forward, const RoutingSnapshotPtr& current,
    const base::CancellationPtr& cancellation) const {
  if (draining_ || !node_.has_read_lease()) return "this node is not ready";
  const auto configuration = configuration_for(forward, *current);
  if (!configuration) return "this node lacks the configuration";
  const auto service = configuration->services.find(forward.service());
  if (service == configuration->services.end()) return "the configuration has no such service";
  if (lacks_purge(*current, forward)) return "this node lacks a purge";
  RequestContext context{.snapshot = current,
                         .configuration = configuration,
                         .service = &service->second,
                         .arrived = now(),
                         .entry_node = forward.entry_node(),
                         .generation = std::max(forward.generation(), current->configuration_number),
                         .is_retry = forward.is_retry(),
                         .is_forwarded = true};
  context.deadline = context.arrived + Duration(forward.remaining_ms());
  auto request = std::make_shared<base::Request>();
  request->method = "GET";
  request->target = forward.target();
  for (const auto& header : forward.headers()) request->headers.emplace_back(header.name(), header.value());
  request->id = node_.adapter.read_identity(*request, node_.ports.random).id;
  request->cancellation = cancellation;
  const auto host = base::header(request->headers, "Host");
  context.request = std::move(request);
  context.route = configuration->match("GET", host, forward.target()).route;
  if (!context.route || !context.route->sends_to(forward.service()))
    return "the configuration has no such route";
  context.host = context.route->host;
  const int granted = std::max(1, static_cast<int>(std::min<uint32_t>(forward.attempts_left(), INT32_MAX)));
  context.attempts->sent = std::max(0, context.route->max_attempts - granted);
  return context;
}

void ForwardedRequestHandler::count_rejection(const RequestOutcome& outcome, const RequestContext& context) {
  if (outcome.abandoned || outcome.reason == RejectionReason::none) return;
  rejections_.record({outcome.reason, context.service->name, context.route->label()});
}

pb::ForwardResponse ForwardedRequestHandler::handle(const pb::ForwardRequest& forward,
                                                    const base::CancellationPtr& cancellation) {
  const auto current = node_.snapshot();
  base::MemoryReservation memory(node_.ports.memory, base::MemoryUse::ordinary);
  if (!memory.grow_to(kHandlingBytes + forward.ByteSizeLong() * kHeadCopies)) return reject_for_memory();
  auto routed = route(forward, current, cancellation);
  if (const auto* reason = std::get_if<const char*>(&routed)) return reject_forwarded(*reason);
  auto& context = std::get<RequestContext>(routed);
  if (!context.is_retry) upstream_client_.record_forwarded(context.service->name);
  const int sent_before = context.attempts->sent;
  const auto outcome = cached_requests_.handle(context);
  count_rejection(outcome, context);
  pb::ForwardResponse response;
  response.set_attempts(static_cast<uint32_t>(context.attempts->sent - sent_before));
  set_outcome(response, outcome);
  base::Body body = outcome.response.body;
  if (rules_.is_usable(outcome.cached, context, now())) {
    set_cached(response, *outcome.cached);
  } else {
    response.set_purge_number(purge_number(*current, forward.service()));
    // The forwarding node accepts a 304 only if it is cacheable, so it gets the complete response instead.
    if (response.status() == kNotModified && outcome.cached) {
      response.set_status(static_cast<uint32_t>(outcome.cached->response.status));
      body = outcome.cached->response.body;
    }
  }
  set_body(response, body, forward.max_body_bytes());
  return response;
}

void ForwardedRequestHandler::set_cached(pb::ForwardResponse& response,
                                         const cache::CachedResponse& cached) const {
  response.set_cacheable(true);
  response.set_age_ms(static_cast<uint64_t>(std::max<int64_t>(0, (now() - cached.generated_at).count())));
  response.set_lifetime_ms(static_cast<uint64_t>(cached.lifetime.count()));
  response.set_purge_number(cached.purge_number);
  response.set_version(cached.version);
  response.set_body_bytes(cached.response.body.size());
}

// Puts only the first part of a long body into the response and begins a transfer for the rest.
void ForwardedRequestHandler::set_body(pb::ForwardResponse& response, const base::Body& body,
                                       uint64_t max_bytes) {
  if (!max_bytes || body.size() <= max_bytes) return response.set_body(body.text());
  response.set_body(body.substr(0, max_bytes));
  response.set_body_bytes(body.size());
  response.set_transfer(transfers_.begin(body, now()));
}

pb::BodyPart ForwardedRequestHandler::read_body(const pb::ReadBody& request) {
  return transfers_.read(request, now());
}

bool ForwardedRequestHandler::is_behind(const pb::ForwardRequest& forward) const {
  const auto current = node_.snapshot();
  if (lacks_purge(*current, forward)) return true;
  if (current->configuration_number) return current->configuration_number < forward.generation();
  return !current->configurations.count(forward.configuration());
}

}  // namespace dunlinwing::proxy
