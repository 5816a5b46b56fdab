// Lock order: the tally's lock, the shields', the cache's, a fill's, the waitlists',
// the places', the budgets'. In fact none is held while another is taken, nor
// while a fiber parks.
#include "proxy/request_handler.hpp"

#include <mutex>

#include "cache/cacheability.hpp"

namespace dunlinwing::proxy {

struct RequestHandler::Impl {
  base::Ports& ports;
  const ProtocolAdapter& adapter;
  std::string node_name, zone;
  std::function<bool()> has_read_lease;
  std::shared_ptr<const RoutingSnapshot> snapshot = std::make_shared<RoutingSnapshot>();
  UpstreamClient upstream_client;
  RequestCounters counters;
  OutcomeBuilder outcomes;
  CachedRequestHandler cached_requests;
  std::atomic<bool> draining{false};
  mutable std::mutex mutex;
  std::map<std::string, std::pair<uint64_t, uint64_t>> release_counts;

  Impl(base::Ports& p, const ProtocolAdapter& fa, std::string a, std::string z, std::function<bool()> f)
      : ports(p),
        adapter(fa),
        node_name(std::move(a)),
        zone(z),
        has_read_lease(f),
        upstream_client(p, fa, node_name, z, f, [this] { return current_snapshot(); }),
        outcomes{p, fa},
        cached_requests(
            p, fa, node_name, f, [this] { return current_snapshot(); }, upstream_client, counters) {}

  RoutingSnapshotPtr current_snapshot() const { return std::atomic_load(&snapshot); }

  void count_response(const std::string& release, bool defect) {
    ++counters.requests;
    if (defect) ++counters.failures;
    std::lock_guard lock(mutex);
    auto& t = release_counts[release];
    ++t.first;
    t.second += defect;
  }

  // One of the route's services, by weight.
  const config::ServiceConfiguration* select_service(const config::RoutingConfiguration& configuration,
                                                     const config::RouteConfiguration& route) const {
    double all = 0;
    for (auto& [k, w] : route.weighted_services) all += w;
    if (all <= 0) return nullptr;
    double at = route.weighted_services.size() > 1
                    ? all * static_cast<double>(ports.random.below(1 << 20)) / (1 << 20)
                    : 0;
    for (auto& [k, w] : route.weighted_services) {
      if (w > 0 && at < w) return &configuration.services.at(k);
      at -= w;
    }
    for (auto& [k, w] : route.weighted_services)
      if (w > 0) return &configuration.services.at(k);
    return nullptr;
  }
};

RequestHandler::RequestHandler(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name,
                               std::string zone, std::function<bool()> fresh)
    : impl_(new Impl(ports, adapter, std::move(node_name), std::move(zone), std::move(fresh))) {}
RequestHandler::~RequestHandler() = default;

base::Response RequestHandler::handle(base::Request& request) {
  auto& impl = *impl_;
  auto arrived = impl.ports.clock.now();
  auto asked = impl.adapter.read_identity(request, impl.ports.random);
  request.id = asked.id;
  auto host = base::header(request.headers, "Host");
  RoutingSnapshotPtr snapshot;
  RequestOutcome outcome;
  uint64_t under = 0;  // the generation that decided the answer
  for (bool again = false, doubt = false;;) {
    snapshot = impl.current_snapshot();
    if (impl.draining || !impl.has_read_lease() || !snapshot->configuration ||
        is_superseded(*snapshot, impl.node_name, snapshot->generation)) {
      const char* why = impl.draining ? "this node is draining" : "this node is not ready";
      outcome = doubt ? impl.outcomes.unknown(why) : impl.outcomes.rejected(503, why);
      under = 0;
    } else {
      under = snapshot->generation;
      outcome = [&]() -> RequestOutcome {
        auto& configuration = *snapshot->configuration;
        if (static_cast<int64_t>(request.body.size()) > configuration.body_bytes)
          return impl.outcomes.rejected(413, "the body is longer than the layout allows");
        bool other = false;
        auto* route = configuration.match(request.method, host, request.target, other);
        if (!route)
          return other ? impl.outcomes.rejected(405, "no route takes this method")
                       : impl.outcomes.rejected(404, "no route leads there");
        auto* service = impl.select_service(configuration, *route);
        if (!service) return impl.outcomes.rejected(503, "no service of this route has any weight");
        Duration most = route->timeout > Duration(0) ? route->timeout : service->deadline;
        if (asked.remaining) most = std::min(most, *asked.remaining);
        RequestContext x{snapshot,       snapshot->configuration,
                         service,        route,
                         request,        route->host.empty() ? "" : route->host,
                         arrived,        arrived + most,
                         impl.node_name, snapshot->generation,
                         again};
        bool keep =
            CachedRequestHandler::configured_lifetime(x) > Duration(0) &&
            (route->kind == config::RequestKind::by_method || route->kind == config::RequestKind::cacheable);
        if (keep && cache::is_cacheable_request(request, route->cache_lifetime > Duration(0)))
          return impl.cached_requests.handle(x);
        return impl.outcomes.from(impl.upstream_client.execute(x));
      }();
      again |= outcome.possibly_sent;
      doubt |= outcome.possibly_executed;
      if (outcome.superseded) continue;  // a newer layout came in force while it waited
      // What was turned away after an earlier way may have had it run is not promised.
      if (doubt && outcome.execution == ExecutionStatus::not_executed)
        outcome = impl.outcomes.unknown("an earlier way may have had it run");
    }
    break;
  }
  if (outcome.execution == ExecutionStatus::not_executed) ++impl.counters.rejected;
  if (outcome.execution == ExecutionStatus::unknown) ++impl.counters.unknown;
  int st = outcome.response.status;
  if (under)
    impl.count_response(snapshot->configuration->name, st >= 500 || st == 404 || st == 405 || st == 413);
  impl.adapter.finish_response(outcome.response, request.id, under);
  return std::move(outcome.response);
}

pb::ForwardResponse RequestHandler::handle_forwarded(const pb::ForwardRequest& forward) {
  auto& impl = *impl_;
  pb::ForwardResponse out;
  auto snapshot = impl.current_snapshot();
  auto no = [&](const char* why) {
    out.set_not_executed(true);
    out.set_reason(why);
    return out;
  };
  if (impl.draining || !impl.has_read_lease()) return no("this node is not ready");
  auto l = snapshot->configurations.find(forward.configuration());
  if (l == snapshot->configurations.end()) return no("this node lacks the layout");
  auto s = l->second->services.find(forward.service());
  if (s == l->second->services.end()) return no("the layout has no such service");
  if (min_purge_number(purge_number(*snapshot, forward.service()), forward.known_purge_number()) !=
      forward.known_purge_number())
    return no("this node lacks a purge");
  RequestContext context{snapshot,
                         l->second,
                         &s->second,
                         nullptr,
                         {},
                         {},
                         impl.ports.clock.now(),
                         {},
                         forward.entry_node(),
                         forward.generation()};
  context.deadline = context.arrived + Duration(forward.remaining_ms());
  context.request.method = "GET";
  context.request.target = forward.target();
  for (auto& h : forward.headers()) context.request.headers.emplace_back(h.name(), h.value());
  context.request.id = impl.adapter.read_identity(context.request, impl.ports.random).id;
  bool other = false;
  context.route =
      l->second->match("GET", base::header(context.request.headers, "Host"), forward.target(), other);
  if (!context.route) return no("the layout has no such route");
  context.host = context.route->host;
  auto way = impl.cached_requests.handle(context);
  auto& response = way.response;
  auto cached = impl.cached_requests.lookup(context);
  out.set_status(static_cast<uint32_t>(response.status));
  out.set_not_executed(way.execution == ExecutionStatus::not_executed && !way.possibly_sent);
  out.set_rejected(out.not_executed() && !way.superseded);
  out.set_retry_after_ms(static_cast<uint64_t>(way.retry_after.count()));
  out.set_outcome_unknown(way.execution == ExecutionStatus::unknown || way.possibly_sent);
  for (auto& [k, v] : response.headers) {
    auto* h = out.add_headers();
    h->set_name(k);
    h->set_value(v);
  }
  out.set_body(response.body);
  if (impl.cached_requests.is_usable(cached, context, impl.ports.clock.now()) &&
      cached->response.body == response.body) {
    out.set_cacheable(true);
    out.set_age_ms(
        static_cast<uint64_t>(std::max<int64_t>(0, (impl.ports.clock.now() - cached->generated_at).count())));
    out.set_lifetime_ms(static_cast<uint64_t>(cached->lifetime.count()));
    out.set_purge_number(cached->purge_number);
    out.set_version(cached->version);
  } else {
    out.set_purge_number(purge_number(*snapshot, forward.service()));
  }
  return out;
}

std::vector<std::string> RequestHandler::unreachable_services(Duration limit) {
  std::vector<std::string> out;
  auto snapshot = impl_->current_snapshot();
  if (!snapshot->configuration) return out;
  for (auto& [name, s] : snapshot->configuration->services) {
    auto f = snapshot->backend_instances.find(name);
    if (f == snapshot->backend_instances.end() || f->second.empty()) continue;
    config::RouteConfiguration any;
    RequestContext context{snapshot,
                           snapshot->configuration,
                           &s,
                           &any,
                           {},
                           {},
                           impl_->ports.clock.now(),
                           impl_->ports.clock.now() + limit,
                           impl_->node_name,
                           snapshot->generation};
    if (!impl_->upstream_client.can_reach(context, limit)) out.push_back(name);
  }
  return out;
}

void RequestHandler::set_snapshot(RoutingSnapshotPtr snapshot) {
  std::atomic_store(&impl_->snapshot, std::move(snapshot));
}
RoutingSnapshotPtr RequestHandler::snapshot() const { return impl_->current_snapshot(); }
void RequestHandler::start_draining() { impl_->draining = true; }
int RequestHandler::running_requests() { return impl_->upstream_client.running_requests(); }
const RequestCounters& RequestHandler::counters() const { return impl_->counters; }
UpstreamClient& RequestHandler::upstream_client() { return impl_->upstream_client; }
void RequestHandler::set_cache_limit(size_t bytes) { impl_->cached_requests.set_cache_limit(bytes); }
void RequestHandler::evict_expired() { impl_->cached_requests.evict_expired(); }
size_t RequestHandler::cache_bytes() const { return impl_->cached_requests.bytes(); }

void RequestHandler::report_status(pb::NodeStatus& status) const {
  std::lock_guard lock(impl_->mutex);
  for (auto& [k, t] : impl_->release_counts) {
    auto* x = status.add_release_counts();
    x->set_release(k);
    x->set_requests(t.first);
    x->set_failures(t.second);
  }
  for (auto& [k, c] : impl_->upstream_client.counts()) {
    auto* x = status.add_version_counts();
    x->set_service(k.service);
    x->set_version(k.version);
    x->set_route(k.route);
    x->set_good(c.good);
    x->set_bad(c.bad);
    x->set_slow(c.slow);
    x->set_total_ms(c.total_ms);
  }
  auto snapshot = impl_->current_snapshot();
  for (auto& [k, c] : impl_->upstream_client.canary_failures()) {
    auto* x = status.add_canary_counts();
    x->set_service(k);
    x->set_number(c.first);
    x->set_bad(c.second);
  }
  for (auto& s : snapshot->aborted_canaries) {
    auto f = snapshot->service_states.find(s);
    if (f == snapshot->service_states.end()) continue;
    auto* x = status.add_canary_counts();
    x->set_service(s);
    x->set_number(f->second.canary_number());
    x->set_aborted(true);
  }
  for (auto& [k, a] : impl_->upstream_client.rate_demand()) {
    auto* x = status.add_demands();
    x->set_service(k);
    x->set_requested(a);
  }
}

}  // namespace dunlinwing::proxy
