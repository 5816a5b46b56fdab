/// @file
/// Calls to other nodes over TCP. A call and its response use one connection at a time; idle connections are
/// pooled per thread (net/peer_connections.hpp).
///
/// Invariants: each call has a request id, which its response repeats. A connection whose call failed is
/// reset, so no response is matched to another call, and no call is delivered after it was abandoned.
/// Threads: call() from any fiber of an event loop.
#pragma once
#include "link/link.hpp"
#include "net/event_loop.hpp"

namespace dunlinwing::net {

class PeerClient final : public base::PeerTransport {
 public:
  static constexpr size_t kDefaultMaxConnections = 4096;

  /// @param max_connections  limit on connections to other nodes, for each calling thread
  /// @param link             that carries the calls; null: traffic is not counted
  explicit PeerClient(size_t max_connections = kDefaultMaxConnections, link::Link* link = nullptr)
      : max_connections_(max_connections), link_(link) {}

  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       const base::CallRules& rules) override;

 private:
  void count(const pb::PeerRequest& request, const pb::PeerResponse& response) const;

  size_t max_connections_;
  link::Link* link_;
};

}  // namespace dunlinwing::net
