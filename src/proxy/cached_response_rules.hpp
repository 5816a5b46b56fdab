/// @file
/// When a cached response may answer a request, and when one that may no longer is still worth a conditional
/// request (RFC 9110, section 13).
///
/// Invariant: whatever is used is within its lifetime, not named by a later purge, of a version that is not
/// quarantined, under a configuration in force, and under a read lease.
/// Threads: every function may be called from any fiber.
#pragma once
#include "cache/cache.hpp"
#include "proxy/upstream_client.hpp"

namespace dunlinwing::proxy {

class CachedResponseRules {
 public:
  explicit CachedResponseRules(NodeContext node) : node_(std::move(node)) {}

  /// Whether a response, which may be null, may answer the request.
  bool is_usable(const cache::CachedResponsePtr& cached, const RequestContext& context, TimePoint now) const;

  /// Whether a purge that is newer than the response names it.
  bool is_purged(const cache::CachedResponse& cached, const RequestContext& context) const;

  /// Whether a held response, which may be null, may be asked about: one of the same entity tag is the same
  /// body to the byte. Whoever confirms it says that it is current.
  bool may_be_confirmed(const cache::CachedResponsePtr& held, const RequestContext& context) const;

  /// The entry for a fetch that begins now, without its response.
  std::shared_ptr<cache::CachedResponse> begin_entry(const RequestContext& context) const;

  /// How long responses may be cached by the configuration at most; 0: not at all.
  static Duration configured_lifetime(const RequestContext& context);

 private:
  bool is_quarantined(const cache::CachedResponse& cached, const RequestContext& context) const;

  NodeContext node_;
};

/// Whether the response is the word that the body of the entity tag `held` is the current one.
bool confirms(const base::Response& response, const base::Response& held);

/// The held response with what its confirmation says of freshness (RFC 9111, section 4.3.4).
base::Response refreshed(const base::Response& held, const base::Response& confirmation);

}  // namespace dunlinwing::proxy
