// The locks (shields', cache's, a fill's) are leaves: none is held while another is
// taken, nor while a fiber parks.
#include "proxy/cached_request_handler.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "cache/cacheability.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr Duration kShieldRest{2000};
constexpr int kFewNodes = 24;  // fewer fetch for themselves: a hop costs more than the origin is spared

// What was fetched by GET, as the answer to HEAD.
void shape_head(base::Response& response, const base::Request& request) {
  if (request.method != "HEAD") return;
  response.headers.emplace_back("Content-Length", std::to_string(response.body.size()));
  response.body.clear();
}

// A kept receipt as the answer to this request: its age told, cut to the one range
// that was asked for, or only confirmed when the caller has the same already.
base::Response answer(const cache::CachedResponse& cached, const base::Request& request, TimePoint now,
                      bool kept) {
  auto have = base::header(cached.response.headers, "ETag");
  auto known = base::header(request.headers, "If-None-Match");
  auto range = base::header(request.headers, "Range");
  base::Response response{cached.response.status, cached.response.headers, {}};
  std::erase_if(response.headers, [](auto& h) { return base::equals_ignore_case(h.name, "Age"); });
  if (!kept)
    response.headers.emplace_back(
        "Age", std::to_string(std::max<int64_t>(0, (now - cached.generated_at).count()) / 1000));
  if (!known.empty() && known == have) {
    response.status = 304;
    return response;
  }
  size_t from = 0, size = cached.response.body.size();
  if (auto c = range.empty() ? std::nullopt : cache::parse_byte_range(range, size)) {
    if (!c->size) return {416, {{"Content-Range", fmt::format("bytes */{}", size)}}, {}};
    response.status = 206;
    response.headers.emplace_back("Content-Range",
                                  fmt::format("bytes {}-{}/{}", c->first, c->first + c->size - 1, size));
    from = c->first;
    size = c->size;
  }
  response.body = cached.response.body.substr(from, size);
  shape_head(response, request);
  return response;
}

// No part of a key can hold the line break that parts them. The host counts also where the
// route takes any: an object of one host is not another's.
std::string key_of(const RequestContext& context) {
  auto host = base::header(context.request.headers, "Host");
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
  return context.service->name + "\n" + host + "\n" + context.request.target;
}

PurgeTarget named(const RequestContext& context, const cache::CachedResponse& cached) {
  return {context.service->name, context.host, context.request.target, &cached.tags};
}
}  // namespace

// Turned away, with when to come back, spread so that a crowd does not return at once.
RequestOutcome OutcomeBuilder::rejected(int status, const std::string& why, Duration back) const {
  std::optional<Duration> b;
  if (status == 503 || status == 429)
    b = back + Duration(ports.random.below(static_cast<uint64_t>(back.count()) + 100));
  return {adapter.local_response(status, why, ExecutionStatus::not_executed, b),
          ExecutionStatus::not_executed};
}

RequestOutcome OutcomeBuilder::unknown(const std::string& why) const {
  return {adapter.local_response(502, why, ExecutionStatus::unknown, {}), ExecutionStatus::unknown};
}

RequestOutcome OutcomeBuilder::from(UpstreamResult&& result) const {
  RequestOutcome outcome;
  if (result.outcome == AttemptOutcome::answered) {
    adapter.strip_internal_headers(result.response);
    outcome = {std::move(result.response)};
  } else {
    outcome = result.outcome == AttemptOutcome::unknown ? unknown(result.reason)
                                                        : rejected(503, result.reason, result.retry_after);
  }
  outcome.retry_after = result.retry_after;
  outcome.superseded = result.outcome == AttemptOutcome::superseded;
  outcome.possibly_sent = result.possibly_sent;
  outcome.possibly_executed = result.possibly_executed;
  return outcome;
}

CachedRequestHandler::CachedRequestHandler(base::Ports& ports, const ProtocolAdapter& adapter,
                                           std::string node_name, std::function<bool()> fresh,
                                           std::function<RoutingSnapshotPtr()> table, UpstreamClient& shots,
                                           RequestCounters& counts)
    : ports_(ports),
      adapter_(adapter),
      outcomes_{ports, adapter},
      node_name_(std::move(node_name)),
      has_read_lease_(std::move(fresh)),
      snapshot_(std::move(table)),
      upstream_client_(shots),
      counters_(counts) {}

cache::CachedResponsePtr CachedRequestHandler::lookup(const RequestContext& context) {
  return cache_.find(key_of(context));
}

bool CachedRequestHandler::is_usable(const cache::CachedResponsePtr& cached, const RequestContext& context,
                                     TimePoint now) const {
  if (!cached) return false;
  auto snapshot = snapshot_();
  Duration most = std::min(cached->lifetime, configured_lifetime(context));
  auto st = snapshot->service_states.find(context.service->name);
  bool banned = st != snapshot->service_states.end() && st->second.quarantined().count(cached->version);
  if (proxy::is_superseded(*snapshot, context.entry_node, context.generation)) return false;
  return now - cached->generated_at < most && !banned &&
         !purged(*snapshot, named(context, *cached), cached->purge_number) && has_read_lease_();
}

Duration CachedRequestHandler::configured_lifetime(const RequestContext& context) {
  return context.route->cache_lifetime > Duration(0) ? context.route->cache_lifetime
                                                     : Duration(context.service->cache_lifetime_s * 1000);
}

// A shield that just failed is left alone for about as long as the fleet takes to notice.
void CachedRequestHandler::shield_failed(const std::string& address) {
  std::lock_guard lock(mutex_);
  shield_backoff_[address] = ports_.clock.now() + kShieldRest;
}

std::string CachedRequestHandler::shield_for(const RoutingSnapshot& snapshot, const std::string& key) {
  const Shield* best = nullptr;
  size_t top = 0;
  if (snapshot.nodes < kFewNodes) return {};
  std::lock_guard lock(mutex_);
  for (auto& s : snapshot.shields) {
    if (s.name == node_name_) return {};  // a shield fetches for itself
    if (auto f = shield_backoff_.find(s.address);
        f != shield_backoff_.end() && f->second > ports_.clock.now())
      continue;
    auto h = std::hash<std::string>()(s.name + "\n" + key);
    if (!best || h > top) {
      best = &s;
      top = h;
    }
  }
  return best ? best->address : std::string();
}

// From the shield when there is one that can, else from a worker. The item is
// null when the receipt may not be kept.
std::pair<RequestOutcome, cache::CachedResponsePtr> CachedRequestHandler::fetch(const RequestContext& context,
                                                                                const std::string& key) {
  ++counters_.cache_fetches;
  auto cached = std::make_shared<cache::CachedResponse>();
  cached->service = context.service->name;
  cached->generated_at = ports_.clock.now();
  cached->purge_number = purge_number(*snapshot_(), context.service->name);
  RequestContext direct = context;
  direct.request.method = "GET";
  std::erase_if(direct.request.headers, [](auto& h) {
    return base::equals_ignore_case(h.name, "Range") || base::equals_ignore_case(h.name, "If-None-Match") ||
           base::equals_ignore_case(h.name, "If-Range");
  });
  auto& get = direct.request;
  if (auto to = shield_for(*context.snapshot, key); !to.empty()) {
    pb::PeerRequest request;
    auto* forward = request.mutable_forward();
    forward->set_id(get.id);
    forward->set_configuration(context.configuration->name);
    forward->set_service(context.service->name);
    forward->set_target(get.target);
    forward->set_remaining_ms(
        static_cast<uint32_t>(std::max<int64_t>(0, (context.deadline - ports_.clock.now()).count())));
    forward->set_known_purge_number(cached->purge_number);
    forward->set_entry_node(context.entry_node);
    forward->set_generation(context.generation);
    for (auto& [k, v] : get.headers) {
      auto* h = forward->add_headers();
      h->set_name(k);
      h->set_value(v);
    }
    ++counters_.forwarded;
    auto r = ports_.peers.call(to, request, (context.deadline - ports_.clock.now()) / 2);
    auto* response = std::get_if<pb::PeerResponse>(&r);
    auto* nd = std::get_if<base::PeerError>(&r);
    bool reached = !nd || *nd != base::PeerError::unreachable;
    if (reached) upstream_client_.record_request(context.service->name);
    if (nd) shield_failed(to);
    if (response && response->has_forward() && !response->forward().not_executed() &&
        !response->forward().outcome_unknown()) {
      auto& forwarded = response->forward();
      cached->response.status = static_cast<int>(forwarded.status());
      for (auto& h : forwarded.headers()) cached->response.headers.emplace_back(h.name(), h.value());
      cached->response.body = forwarded.body();
      cached->generated_at -= Duration(static_cast<int64_t>(forwarded.age_ms()));
      cached->lifetime = Duration(static_cast<int64_t>(forwarded.lifetime_ms()));
      cached->purge_number = min_purge_number(cached->purge_number, forwarded.purge_number());
      cached->version = forwarded.version();
      cached->tags = adapter_.cache_tags(cached->response);
      // It may have been kept there, and this node may have slept since it asked.
      if (forwarded.cacheable()
              ? is_usable(cached, context, ports_.clock.now())
              : has_read_lease_() && !purged(*snapshot_(), named(context, *cached), cached->purge_number))
        return {RequestOutcome{cached->response},
                forwarded.cacheable() ? cache::CachedResponsePtr(cached) : nullptr};
    }
    // The shield speaks for the origin: what it turns away is not tried around it.
    if (response && response->has_forward() && response->forward().rejected())
      return {outcomes_.rejected(503, response->forward().reason(),
                                 Duration(static_cast<int64_t>(response->forward().retry_after_ms()))),
              nullptr};
    // What the shield did with it is not known, so a direct shot may be a repeat.
    direct.is_retry = reached && !(response && response->has_forward() && response->forward().not_executed());
  }
  auto result = upstream_client_.execute(direct);
  result.possibly_sent |= direct.is_retry;  // the shield may have had it run
  result.possibly_executed |= direct.is_retry;
  if (result.outcome != AttemptOutcome::answered) return {outcomes_.from(std::move(result)), nullptr};
  auto life = context.route->cache_lifetime > Duration(0)
                  ? cache::configured_lifetime(result.response, context.route->cache_lifetime)
                  : cache::response_lifetime(get, result.response);
  cached->generated_at -= cache::age_header(result.response);
  cached->version = result.version;
  cached->tags = adapter_.cache_tags(result.response);
  cached->response = outcomes_.from(std::move(result)).response;
  if (!life) return {RequestOutcome{cached->response}, nullptr};
  cached->lifetime = *life;
  return {RequestOutcome{cached->response}, cached};
}

RequestOutcome CachedRequestHandler::handle(const RequestContext& context) {
  bool kept = context.route->cache_lifetime > Duration(0);
  auto key = key_of(context);
  if (auto cached = cache_.find(key); is_usable(cached, context, ports_.clock.now())) {
    ++counters_.cache_hits;
    return {answer(*cached, context.request, ports_.clock.now(), kept)};
  }
  auto flight = fmt::format("{}|{}|{}", key, context.configuration->name,
                            purge_number(*snapshot_(), context.service->name));
  auto [f, leads] = cache_.join_fetch(flight);
  if (!leads) {
    // Half of its time is for the other's fetch, half for one of its own.
    auto i =
        cache_.await_fetch(f, ports_.tasks.condition(),
                           std::max<Duration>(context.start_deadline() - ports_.clock.now(), Duration(0)));
    if (i && is_usable(*i, context, ports_.clock.now())) {
      ++counters_.cache_hits;
      return {answer(**i, context.request, ports_.clock.now(), kept)};
    }
    return outcomes_.from(upstream_client_.execute(context));  // what the other got was for it alone
  }
  std::pair<RequestOutcome, cache::CachedResponsePtr> got;
  struct Close {
    cache::Cache& c;
    std::string k;
    std::shared_ptr<cache::Cache::Fetch> f;
    cache::CachedResponsePtr cached;
    ~Close() { c.finish_fetch(k, f, cached); }
  } close{cache_, flight, f, nullptr};
  got = fetch(context, key);
  close.cached = got.second;
  if (got.second)
    cache_.put(key, got.second,
               std::min<size_t>(static_cast<size_t>(context.configuration->cache_bytes), max_bytes_));
  if (got.second) return {answer(*got.second, context.request, ports_.clock.now(), kept)};
  shape_head(got.first.response, context.request);
  return got.first;
}

}  // namespace dunlinwing::proxy
