// The way of a request through a relay, as one function read from top to
// bottom; and the shield's side of a carried one.
#pragma once
#include "proxy/cached_request_handler.hpp"

namespace dunlinwing::proxy {

class RequestHandler {
 public:
  RequestHandler(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name, std::string zone,
                 std::function<bool()> fresh);
  ~RequestHandler();
  base::Response handle(base::Request& request);
  pb::ForwardResponse handle_forwarded(const pb::ForwardRequest& forward);
  // The services that have workers and none that a request from here could reach:
  // route, version, place and connection are tried, and no byte is sent.
  std::vector<std::string> unreachable_services(Duration limit);
  void set_snapshot(RoutingSnapshotPtr snapshot);
  RoutingSnapshotPtr snapshot() const;
  void start_draining();  // from now on every new request is turned away
  int running_requests();
  void report_status(pb::NodeStatus& status) const;  // what this node tells of its traffic
  const RequestCounters& counters() const;
  UpstreamClient& upstream_client();
  size_t cache_bytes() const;
  void set_cache_limit(size_t bytes);  // the machine's own bound, beside the layout's
  void evict_expired();                // drops kept receipts that are past their life

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
