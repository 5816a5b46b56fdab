#include "proxy/cached_request_handler.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "cache/cacheability.hpp"

namespace dunlinwing::proxy {
namespace {
void erase_headers(base::Headers& headers, std::initializer_list<std::string_view> names) {
  std::erase_if(headers, [&](const auto& header) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view name) { return base::equals_ignore_case(header.name, name); });
  });
}

// Turns a response to GET into one to HEAD if the request's method is HEAD.
void apply_head_method(base::Response& response, const base::Request& request) {
  if (request.method != "HEAD") return;
  response.headers.emplace_back("Content-Length", std::to_string(response.body.size()));
  response.body = {};
}

// A part of a body, which is a copy; nothing when there is no memory for it.
std::optional<base::Body> copy_part(const base::Body& whole, const cache::ByteRange& part,
                                    base::MemoryAccount& memory) {
  base::MemoryReservation reservation(memory, base::MemoryUse::bulk);
  if (!reservation.grow_to(part.size)) return {};
  return base::Body(whole.substr(part.first, part.size), std::move(reservation));
}

// Builds the response to a request from a cached response: with its age, reduced to the requested range, or
// as 304 if the request's If-None-Match names the cached entity tag. The range is ignored, as RFC 9110
// allows, when there is no memory for a copy of that part.
base::Response make_cached_response(const cache::CachedResponse& cached, const base::Request& request,
                                    base::Ports& ports, bool with_age) {
  const auto known_tag = base::header(request.headers, "If-None-Match");
  const auto range = base::header(request.headers, "Range");
  base::Response response{cached.response.status, cached.response.headers, {}};
  erase_headers(response.headers, {"Age"});
  if (with_age)
    response.headers.emplace_back(
        "Age",
        std::to_string(std::max<int64_t>(0, (ports.clock.now() - cached.generated_at).count()) / 1000));
  if (!known_tag.empty() && known_tag == base::header(cached.response.headers, "ETag")) {
    response.status = 304;
    return response;
  }
  const size_t whole_size = cached.response.body.size();
  response.body = cached.response.body;
  if (auto requested = range.empty() ? std::nullopt : cache::parse_byte_range(range, whole_size)) {
    if (!requested->size) return {416, {{"Content-Range", fmt::format("bytes */{}", whole_size)}}, {}};
    if (auto part = copy_part(cached.response.body, *requested, ports.memory)) {
      response.status = 206;
      response.headers.emplace_back("Content-Range",
                                    fmt::format("bytes {}-{}/{}", requested->first,
                                                requested->first + requested->size - 1, whole_size));
      response.body = std::move(*part);
    }
  }
  apply_head_method(response, request);
  return response;
}

// The parts cannot contain the line break that separates them. The host is part of the key even if the route
// accepts any host: objects of different hosts are distinct.
std::string cache_key(const RequestContext& context) {
  const auto host = base::lower_case(base::header(context.request->headers, "Host"));
  return context.service->name + "\n" + host + "\n" + context.request->target;
}

// The request for the complete object, with the cancellation of its fetch.
RequestContext whole_object_request(const RequestContext& context,
                                    const base::CancellationPtr& cancellation) {
  auto request = std::make_shared<base::Request>(*context.request);
  request->method = "GET";
  request->body = {};
  request->cancellation = cancellation;
  erase_headers(request->headers, {"Range", "If-None-Match", "If-Range"});
  RequestContext whole = context;
  whole.request = std::move(request);
  return whole;
}

// Whether a fetch's rejection applies to all requests that wait for it. A rejection because of a deadline or
// latency target applies only to the request that was rejected.
bool is_shared_rejection(const RequestOutcome& outcome) {
  return outcome.reported_execution == ReportedExecution::not_executed &&
         outcome.execution_state == ExecutionState::not_sent && !outcome.superseded &&
         (outcome.reason == RejectionReason::rate_limited ||
          outcome.reason == RejectionReason::shield_rejected ||
          outcome.reason == RejectionReason::link_saturated);
}

// Finishes a fetch at the end of the scope and passes its result to the waiting requests.
class FetchGuard {
 public:
  FetchGuard(cache::Cache& cache, std::string key, std::shared_ptr<cache::Cache::Fetch> fetch)
      : cache_(cache), key_(std::move(key)), fetch_(std::move(fetch)) {}
  ~FetchGuard() { cache_.finish_fetch(key_, fetch_, std::move(end_)); }
  FetchGuard(const FetchGuard&) = delete;
  FetchGuard& operator=(const FetchGuard&) = delete;

  void share(cache::SharedFetchResult end) { end_ = std::move(end); }

 private:
  cache::Cache& cache_;
  std::string key_;
  std::shared_ptr<cache::Cache::Fetch> fetch_;
  cache::SharedFetchResult end_;
};
}  // namespace

CachedRequestHandler::CachedRequestHandler(NodeContext node, UpstreamClient& upstream_client,
                                           RequestCounters& counters)
    : node_(std::move(node)),
      outcomes_{node_.ports, node_.adapter},
      upstream_client_(upstream_client),
      counters_(counters),
      rules_(node_),
      shield_client_(node_, upstream_client, counters) {
  node_.ports.memory.set_reclaimer([this](size_t bytes) { cache_.evict(bytes); });
}

CachedRequestHandler::~CachedRequestHandler() { node_.ports.memory.set_reclaimer(nullptr); }

// @param stored        a cached response to revalidate; may be null
// @param cancellation  of the fetch, for which other requests may wait too
FetchResult CachedRequestHandler::fetch(const RequestContext& context, const std::string& key,
                                        const cache::CachedResponsePtr& stored,
                                        const base::CancellationPtr& cancellation) {
  ++counters_.cache_fetches;
  RequestContext whole = whole_object_request(context, cancellation);
  if (!context.is_forwarded)
    if (auto result = shield_client_.fetch(whole, key, stored)) return std::move(*result);
  return fetch_from_backend(whole, rules_.can_be_revalidated(stored, whole) ? stored : nullptr);
}

FetchResult CachedRequestHandler::fetch_from_backend(const RequestContext& context,
                                                     const cache::CachedResponsePtr& stored) {
  const auto entry = rules_.begin_entry(context);
  RequestContext conditional = context;
  if (stored) {
    auto request = std::make_shared<base::Request>(*context.request);
    request->headers.emplace_back("If-None-Match", base::header(stored->response.headers, "ETag"));
    conditional.request = std::move(request);
  }
  auto result = upstream_client_.execute(conditional);
  if (context.is_retry) result.execution_state = ExecutionState::possibly_executed;  // on an earlier path
  if (result.outcome != UpstreamOutcome::responded)
    return {outcomes_.from_upstream(std::move(result)), nullptr};
  const bool confirmed = stored && revalidates(result.response, stored->response);
  counters_.confirmed += confirmed;
  if (confirmed) result.response = refreshed(stored->response, result.response);
  auto lifetime = context.route->cache_lifetime > Duration(0)
                      ? cache::configured_lifetime(result.response, context.route->cache_lifetime)
                      : cache::response_lifetime(*context.request, result.response);
  entry->generated_at -= cache::age_header(result.response);
  entry->version = result.version;
  entry->tags = sorted_tags(node_.adapter, result.response);
  auto response =
      confirmed ? std::move(result.response) : outcomes_.from_upstream(std::move(result)).response;
  if (!lifetime) return {{std::move(response)}, nullptr};
  entry->response = std::move(response);
  entry->lifetime = *lifetime;
  return {{}, entry};
}

RequestOutcome CachedRequestHandler::respond_from_cache(const cache::CachedResponsePtr& cached,
                                                        const RequestContext& context) {
  // A lifetime configured for the route is not the origin's, so an Age header would mislead the client.
  const bool with_age = context.route->cache_lifetime <= Duration(0);
  RequestOutcome outcome{make_cached_response(*cached, *context.request, node_.ports, with_age)};
  outcome.cached = cached;
  return outcome;
}

// The Retry-After delay if the link cannot carry a body of this size in time for the client.
std::optional<Duration> CachedRequestHandler::link_retry_after(const RequestContext& context, size_t bytes,
                                                               bool is_fetched) const {
  const auto* link = node_.ports.link;
  if (!link || context.is_forwarded) return {};
  Duration total = link->outbound.expected_time(bytes);
  if (is_fetched) total += link->inbound.expected_time(bytes);
  if (total <= Duration(0)) return {};
  const TimePoint now = node_.ports.clock.now();
  if (context.route->latency_target <= Duration(0))
    return now + total > context.start_deadline() ? std::optional(total) : std::nullopt;
  const Duration alone = link->outbound.uncontended_time(bytes);
  return overload_retry_after(*context.route, {total, std::max(total - alone, Duration(0))},
                              context.deadline - now);
}

// Half of the request's time budget is for the other request's fetch, half for a fetch by this one: the
// other's response may not be shareable.
RequestOutcome CachedRequestHandler::await_other_fetch(const RequestContext& context, const std::string& key,
                                                       const cache::CachedResponsePtr& stored,
                                                       const std::shared_ptr<cache::Cache::Fetch>& fetch) {
  const auto end =
      cache_.await_fetch(fetch, node_.ports.tasks.condition(),
                         std::max<Duration>(context.start_deadline() - node_.ports.clock.now(), Duration(0)),
                         context.request->cancellation);
  if (context.client_has_disconnected()) return outcomes_.abandoned();
  if (end && end->rejected) return outcomes_.rejected(503, RejectionReason::fetch_rejected, end->retry_after);
  if (!end || !rules_.is_usable(end->cached, context, node_.ports.clock.now()))
    return respond(context, key, this->fetch(context, key, stored, context.request->cancellation));
  ++counters_.cache_hits;
  return respond_from_cache(end->cached, context);
}

// Builds the response from a fetch's result, and caches the result if that is allowed.
RequestOutcome CachedRequestHandler::respond(const RequestContext& context, const std::string& key,
                                             FetchResult fetched) {
  if (!fetched.cached) {
    apply_head_method(fetched.outcome.response, *context.request);
    return std::move(fetched.outcome);
  }
  cache_.put(key, fetched.cached,
             std::min<size_t>(static_cast<size_t>(context.configuration->cache_bytes), max_bytes_));
  return respond_from_cache(fetched.cached, context);
}

RequestOutcome CachedRequestHandler::handle(const RequestContext& context) {
  const auto key = cache_key(context);
  const auto stored = cache_.find(key);
  const bool usable = rules_.is_usable(stored, context, node_.ports.clock.now());
  if (auto retry_after = link_retry_after(context, stored ? stored->response.body.size() : 0, !stored))
    return outcomes_.rejected(503, RejectionReason::link_saturated, *retry_after);
  if (usable) {
    ++counters_.cache_hits;
    return respond_from_cache(stored, context);
  }
  auto fetch_key = fmt::format("{}|{}|{}", key, context.configuration->name,
                               purge_number(*node_.snapshot(), context.service->name));
  const auto joined = cache_.join_fetch(fetch_key);
  const auto& fetch_under_way = joined.fetch;
  if (!joined.must_fetch) return await_other_fetch(context, key, stored, fetch_under_way);
  FetchGuard guard(cache_, std::move(fetch_key), fetch_under_way);
  const base::CancellationSubscription leaving(context.request->cancellation,
                                               [&] { cache_.leave_fetch(fetch_under_way); });
  auto fetched = fetch(context, key, stored, cache::Cache::cancellation(fetch_under_way));
  guard.share(
      {fetched.cached, !fetched.cached && is_shared_rejection(fetched.outcome), fetched.outcome.retry_after});
  return respond(context, key, std::move(fetched));
}

}  // namespace dunlinwing::proxy
