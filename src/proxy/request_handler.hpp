/// @file
/// Processes a client's request: checks readiness, selects route and service, then uses the cache or a
/// backend instance, and starts over when a newer configuration supersedes the one used. Also handles the
/// requests that other nodes forward to this one as a shield.
///
/// Invariants: each response is decided under one snapshot. "Not executed" is reported to a client only when
/// no attempt, direct or through a shield, can have executed the request.
/// Threads: handle(), handle_forwarded() and unreachable_services() run in fibers, any number at once; the
/// snapshot is replaced atomically. No lock is held while another is taken or a fiber is suspended.
#pragma once
#include "proxy/cached_request_handler.hpp"

namespace dunlinwing::proxy {

class RequestHandler {
 public:
  /// @param ports           must outlive the handler, as must the adapter
  /// @param has_read_lease  whether this node's state is recent enough to act on
  RequestHandler(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name, std::string zone,
                 std::function<bool()> has_read_lease);
  ~RequestHandler();

  /// Handles a client's request by its deadline. Sets the request's id.
  base::Response handle(base::Request& request);

  /// Handles a request that another node forwards to this one as the object's shield.
  pb::ForwardResponse handle_forwarded(const pb::ForwardRequest& forward,
                                       const base::CancellationPtr& cancellation = {});

  /// A further part of a body whose first part was in the response of handle_forwarded().
  pb::BodyPart read_body(const pb::ReadBody& request);

  /// Whether the forwarding node knows a configuration or a purge that this node does not.
  bool is_behind(const pb::ForwardRequest& forward) const;

  /// The services that have backend instances but none that accepts a connection. No byte is sent.
  /// @param limit  for each connection
  std::vector<std::string> unreachable_services(Duration limit);

  /// @param snapshot  not null
  void set_snapshot(RoutingSnapshotPtr snapshot);
  /// The switches to another version that this node follows.
  std::vector<pb::FollowedSwitch> switches() const;
  RoutingSnapshotPtr snapshot() const;

  /// Makes the node reject all new requests.
  void start_draining();

  /// The number of requests that run at backend instances or wait for one.
  int running_requests();

  /// Adds the counts of this node's requests to its heartbeat.
  void report_status(pb::NodeStatus& status) const;

  const RequestCounters& counters() const;
  const RejectionCounters& rejections() const;
  UpstreamClient& upstream_client();
  const UpstreamClient& upstream_client() const;
  size_t cache_bytes() const;
  /// Sets a cache size limit in addition to the configured one. To be called before the first request.
  void set_cache_limit(size_t bytes);
  /// Removes cached responses that expired long ago, and ends idle transfers.
  void evict_expired();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
