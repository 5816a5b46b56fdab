/// @file
/// The shield's side of a request that another node forwards: routes it under this node's configuration,
/// serves it from the cache or by a fetch, and reports how long and under which conditions the other node may
/// cache the response.
///
/// Invariants: a response reported as cacheable is usable here at that moment. A 304 is sent only to a node
/// that has the body cached.
/// Threads: every function may be called from any fiber; handle() suspends it.
#pragma once
#include "proxy/cached_request_handler.hpp"
#include "proxy/outgoing_transfers.hpp"

namespace dunlinwing::proxy {

class ForwardedRequestHandler {
 public:
  /// @param draining  whether new requests are rejected. All arguments must outlive the handler.
  ForwardedRequestHandler(NodeContext node, UpstreamClient& upstream_client,
                          CachedRequestHandler& cached_requests, RejectionCounters& rejections,
                          const std::atomic<bool>& draining);

  pb::ForwardResponse handle(const pb::ForwardRequest& forward, const base::CancellationPtr& cancellation);

  /// A further part of a body whose first part was in the response of handle().
  pb::BodyPart read_body(const pb::ReadBody& request);

  /// Whether the forwarding node knows a configuration or a purge that this node does not.
  bool is_behind(const pb::ForwardRequest& forward) const;

  /// Ends idle transfers of bodies.
  void evict_transfers() { transfers_.evict_idle(now()); }

 private:
  using Routed = std::variant<RequestContext, const char*>;  ///< or the reason of a rejection

  TimePoint now() const { return node_.ports.clock.now(); }
  Routed route(const pb::ForwardRequest& forward, const RoutingSnapshotPtr& current,
               const base::CancellationPtr& cancellation) const;
  void set_cached(pb::ForwardResponse& response, const cache::CachedResponse& cached) const;
  void set_body(pb::ForwardResponse& response, const base::Body& body, uint64_t max_bytes);
  void count_rejection(const RequestOutcome& outcome, const RequestContext& context);

  NodeContext node_;
  CachedResponseRules rules_;
  UpstreamClient& upstream_client_;
  CachedRequestHandler& cached_requests_;
  RejectionCounters& rejections_;
  const std::atomic<bool>& draining_;
  OutgoingTransfers transfers_;
};

}  // namespace dunlinwing::proxy
