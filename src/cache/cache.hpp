/// @file
/// The cache of responses, and the running fetches, so that concurrent requests for one object wait for one
/// fetch (request collapsing).
///
/// The cache is bounded by bytes; the least recently used response is evicted first.
/// Threads: every function may be called from any thread. No lock is held while waiting.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::cache {

/// A cached response, with the data that determines whether it may still be used.
struct CachedResponse {
  base::Response response;
  std::string service;            ///< the service that sent it
  std::string version;            ///< the version of the backend instance that sent it
  std::vector<std::string> tags;  ///< by which it can be purged, in ascending order
  TimePoint generated_at{0};      ///< the time just before the fetch, minus the response's Age
  Duration lifetime{0};
  uint64_t purge_number = 0;  ///< the purge number known when the fetch began
};
using CachedResponsePtr = std::shared_ptr<const CachedResponse>;

/// The result of a fetch for the requests that wait for it.
struct SharedFetchResult {
  CachedResponsePtr cached;  ///< null when there is no response that may be shared
  bool rejected = false;     ///< not executed, and the rejection applies to the waiting requests too
  Duration retry_after{0};   ///< minimum delay before a rejected request should be retried
};

class Cache {
 public:
  Cache();
  ~Cache();

  /// The response under the key, or null. Marks it as most recently used.
  CachedResponsePtr find(const std::string& key);

  /// Caches a response under the key, replacing the previous one.
  /// @param cached     not null
  /// @param max_bytes  size limit of the cache: least recently used responses are evicted to meet it; a
  ///                   response that exceeds it alone is not cached
  void put(const std::string& key, CachedResponsePtr cached, size_t max_bytes);

  /// Evicts least recently used responses, of so many bytes in total or all there are.
  void evict(size_t bytes);

  /// The estimated size of all entries, keys and bookkeeping included.
  size_t bytes() const;

  /// Evicts responses that expired so long ago that revalidation is hardly worthwhile.
  void evict_expired(TimePoint now);

  /// A running fetch, from join_fetch() to finish_fetch().
  struct Fetch;

  struct JoinedFetch {
    std::shared_ptr<Fetch> fetch;
    bool must_fetch = false;  ///< this caller must fetch and finish_fetch(); others await_fetch()
  };

  /// Joins the running fetch of the key, or begins one. A cancelled fetch is not joined.
  JoinedFetch join_fetch(const std::string& key);

  /// Removes a request that joined a fetch and no longer waits for it. When no request is left, the fetch is
  /// cancelled.
  void leave_fetch(const std::shared_ptr<Fetch>& fetch);

  /// The cancellation of a fetch, triggered when no request waits for it any more.
  static base::CancellationPtr cancellation(const std::shared_ptr<Fetch>& fetch);

  /// Ends a fetch and wakes all waiting requests.
  void finish_fetch(const std::string& key, const std::shared_ptr<Fetch>& fetch, SharedFetchResult end);

  /// Waits until a fetch has ended. The caller has then left the fetch.
  /// @param condition     owned by the caller; must not be reused
  /// @param cancellation  ends the wait
  /// @return the argument of finish_fetch(); nothing on timeout or when the wait was cancelled
  std::optional<SharedFetchResult> await_fetch(const std::shared_ptr<Fetch>& fetch,
                                               const std::shared_ptr<base::Condition>& condition,
                                               Duration limit,
                                               const base::CancellationPtr& cancellation = {});

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::cache
