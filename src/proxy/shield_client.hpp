/// @file
/// Fetches an object through its shield, or through the next one if that shield fails.
///
/// A body is read part by part, each when the inbound link has capacity, so that many concurrent bodies do
/// not delay control traffic and small responses. A body that is cached here is only revalidated.
///
/// Invariants: all parts of a body belong to one response and are read by the transfer number in that
/// response; an incomplete fetch is discarded. Whether a response that another node had cached may be used is
/// checked again on this node at the end of the transfer.
/// Threads: fetch() may be called from any fiber and suspends it.
#pragma once
#include "link/link.hpp"
#include "proxy/cached_response_rules.hpp"
#include "proxy/request_outcome.hpp"
#include "proxy/shield_selector.hpp"

namespace dunlinwing::proxy {

/// The result of a fetch.
struct FetchResult {
  RequestOutcome outcome;           ///< used when `cached` is null
  cache::CachedResponsePtr cached;  ///< null when there is no response that may be cached
};

class ShieldClient {
 public:
  /// @param counters  must outlive the client, as must all other referenced objects
  ShieldClient(NodeContext node, UpstreamClient& upstream_client, RequestCounters& counters);

  /// @param context  of the complete object; marked as a retry when a shield may have had it executed
  /// @param key      of the object
  /// @param stored   a cached response to revalidate; may be null
  /// @return nothing when this node must fetch from a backend instance
  std::optional<FetchResult> fetch(RequestContext& context, const std::string& key,
                                   const cache::CachedResponsePtr& stored);

 private:
  class Fetch;

  NodeContext node_;
  CachedResponseRules rules_;
  OutcomeBuilder outcomes_;
  UpstreamClient& upstream_client_;
  RequestCounters& counters_;
  ShieldSelector shields_;
};

}  // namespace dunlinwing::proxy
