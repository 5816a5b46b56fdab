/// @file
/// Whether a cached response may be used for a request, and whether one that may not can be revalidated by a
/// conditional request (RFC 9110, section 13).
///
/// Invariant: a response that is used is within its lifetime, not matched by a later purge, of a version that
/// is not quarantined, under a configuration in force, and under a read lease.
/// Threads: every function may be called from any fiber.
#pragma once
#include "cache/cache.hpp"
#include "proxy/upstream_client.hpp"

namespace dunlinwing::proxy {

class CachedResponseRules {
 public:
  explicit CachedResponseRules(NodeContext node) : node_(std::move(node)) {}

  /// Whether a cached response, which may be null, may be used for the request.
  bool is_usable(const cache::CachedResponsePtr& cached, const RequestContext& context, TimePoint now) const;

  /// Whether a purge newer than the response matches it.
  bool is_purged(const cache::CachedResponse& cached, const RequestContext& context) const;

  /// Whether a cached response, which may be null, can be revalidated. That takes a strong entity tag: equal
  /// tags mean byte-identical bodies.
  bool can_be_revalidated(const cache::CachedResponsePtr& stored, const RequestContext& context) const;

  /// Creates the cache entry for a fetch that begins now, without the response.
  std::shared_ptr<cache::CachedResponse> begin_entry(const RequestContext& context) const;

  /// The maximum cache lifetime in the configuration; 0: responses are not cached.
  static Duration configured_lifetime(const RequestContext& context);

 private:
  bool is_quarantined(const cache::CachedResponse& cached, const RequestContext& context) const;

  NodeContext node_;
};

/// The tags by which the response may be purged, in ascending order. A backend instance may send thousands.
std::vector<std::string> sorted_tags(const ProtocolAdapter& adapter, const base::Response& response);

/// Whether the response confirms that `stored` is current: a 304 with the same strong entity tag.
bool revalidates(const base::Response& response, const base::Response& stored);

/// The cached response with the freshness headers of its 304 response (RFC 9111, section 4.3.4).
base::Response refreshed(const base::Response& stored, const base::Response& confirmation);

}  // namespace dunlinwing::proxy
