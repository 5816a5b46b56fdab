/// @file
/// Handles cacheable requests: from a cached response, from the fetch of another request for the same object
/// (request collapsing), or by a new fetch through a shield or from a backend instance.
///
/// A fetch that fails at one shield is retried at the next one and then at an instance. When a fetch is
/// rejected, all requests that wait for it are rejected.
///
/// Invariants: a cached response is used only within its lifetime, while no later purge matches it and its
/// version is not quarantined, under a configuration in force and with a read lease; also when it came from a
/// shield or from another request's fetch.
/// Threads: every function but set_cache_limit() may be called from any fiber; handle() may suspend it. The
/// locks (the selector's, the cache's, a fetch's) are leaves: none is held while another is taken or a fiber
/// is suspended.
#pragma once
#include "proxy/shield_client.hpp"

namespace dunlinwing::proxy {

/// Cached responses give way when the node's memory account needs their memory.
class CachedRequestHandler {
 public:
  /// @param upstream_client  must outlive the handler, as must the counters
  CachedRequestHandler(NodeContext node, UpstreamClient& upstream_client, RequestCounters& counters);
  CachedRequestHandler(const CachedRequestHandler&) = delete;
  CachedRequestHandler& operator=(const CachedRequestHandler&) = delete;
  ~CachedRequestHandler();

  /// Handles a request that is cacheable by its method and headers.
  RequestOutcome handle(const RequestContext& context);

  /// Sets a size limit in addition to the configured one. To be called before the first request.
  void set_cache_limit(size_t bytes) { max_bytes_ = bytes; }
  void evict_expired() { cache_.evict_expired(node_.ports.clock.now()); }
  size_t bytes() const { return cache_.bytes(); }

 private:
  FetchResult fetch(const RequestContext& context, const std::string& key,
                    const cache::CachedResponsePtr& stored, const base::CancellationPtr& cancellation);
  FetchResult fetch_from_backend(const RequestContext& context, const cache::CachedResponsePtr& stored);
  std::optional<Duration> link_retry_after(const RequestContext& context, size_t bytes,
                                           bool is_fetched) const;
  RequestOutcome await_other_fetch(const RequestContext& context, const std::string& key,
                                   const cache::CachedResponsePtr& stored,
                                   const std::shared_ptr<cache::Cache::Fetch>& fetch);
  RequestOutcome respond(const RequestContext& context, const std::string& key, FetchResult fetched);
  RequestOutcome respond_from_cache(const cache::CachedResponsePtr& cached, const RequestContext& context);

  NodeContext node_;
  OutcomeBuilder outcomes_;
  UpstreamClient& upstream_client_;
  RequestCounters& counters_;
  CachedResponseRules rules_;
  ShieldClient shield_client_;
  cache::Cache cache_;
  size_t max_bytes_ = SIZE_MAX;
};

}  // namespace dunlinwing::proxy
