// The way of a request that may be answered from the cache: a kept receipt, another's
// fetch, or a fetch of its own, through the shield or from a worker; and what a caller
// is told of any way.
#pragma once
#include <atomic>
#include <mutex>

#include "cache/cache.hpp"
#include "proxy/upstream_client.hpp"

namespace dunlinwing::proxy {

struct RequestCounters {
  std::atomic<uint64_t> requests{0}, failures{0}, rejected{0}, unknown{0}, cache_hits{0}, cache_fetches{0},
      forwarded{0};
};

// What is to be said to a caller, or that the request is to be matched anew.
struct RequestOutcome {
  base::Response response;
  ExecutionStatus execution = ExecutionStatus::none;
  bool superseded = false, possibly_sent = false, possibly_executed = false;
  Duration retry_after{0};  // when turned away
};

struct OutcomeBuilder {
  base::Ports& ports;
  const ProtocolAdapter& adapter;
  // Turned away, with when to come back, spread so that a crowd does not return at once.
  RequestOutcome rejected(int status, const std::string& why, Duration back = Duration(0)) const;
  RequestOutcome unknown(const std::string& why) const;
  RequestOutcome from(UpstreamResult&& result) const;
};

class CachedRequestHandler {
 public:
  CachedRequestHandler(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name,
                       std::function<bool()> fresh, std::function<RoutingSnapshotPtr()> table,
                       UpstreamClient& shots, RequestCounters& counts);
  RequestOutcome handle(const RequestContext& context);
  // What is kept for this request, usable or not.
  cache::CachedResponsePtr lookup(const RequestContext& context);
  bool is_usable(const cache::CachedResponsePtr& cached, const RequestContext& context, TimePoint now) const;
  static Duration configured_lifetime(const RequestContext& context);
  void set_cache_limit(size_t bytes) { max_bytes_ = bytes; }
  void evict_expired() { cache_.evict_expired(ports_.clock.now()); }
  size_t bytes() const { return cache_.bytes(); }

 private:
  void shield_failed(const std::string& address);
  std::string shield_for(const RoutingSnapshot& snapshot, const std::string& key);
  std::pair<RequestOutcome, cache::CachedResponsePtr> fetch(const RequestContext& context,
                                                            const std::string& key);

  base::Ports& ports_;
  const ProtocolAdapter& adapter_;
  OutcomeBuilder outcomes_;
  std::string node_name_;
  std::function<bool()> has_read_lease_;
  std::function<RoutingSnapshotPtr()> snapshot_;
  UpstreamClient& upstream_client_;
  RequestCounters& counters_;
  cache::Cache cache_;
  size_t max_bytes_ = SIZE_MAX;
  std::mutex mutex_;
  std::map<std::string, TimePoint> shield_backoff_;  // shields, until when
};

}  // namespace dunlinwing::proxy
