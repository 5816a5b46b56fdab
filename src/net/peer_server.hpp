/// @file
/// Serves calls from other nodes.
///
/// Threads: connections are accepted and served on thread 0.
#pragma once
#include "link/link.hpp"
#include "net/event_loop.hpp"

namespace dunlinwing::net {

/// Answers a call; may suspend the calling fiber. The cancellation is triggered when the caller
/// disconnects; null: this call is not cancelled.
using PeerHandler =
    std::function<pb::PeerResponse(const pb::PeerRequest&, const base::CancellationPtr& cancellation)>;

inline constexpr size_t kDefaultMaxPeerConnections = 4096;

/// Listens for other nodes until the process ends.
/// @param address          IP:port
/// @param max_connections  at this limit the longest idle connections are evicted
/// @param link             that carries the calls and paces response bodies; null: not paced
/// @return an error text when the address cannot be listened on
[[nodiscard]] std::optional<std::string> serve_peers(EventLoopPool& pool, const std::string& address,
                                                     PeerHandler handler,
                                                     size_t max_connections = kDefaultMaxPeerConnections,
                                                     link::Link* link = nullptr);

}  // namespace dunlinwing::net
