// What dunlinwing's processes say to each other: one protobuf message a frame,
// four bytes of length before it, over TCP. An ask and its reply use one
// connection at a time; idle connections are kept per thread.
#pragma once
#include "net/address.hpp"
#include "net/event_loop.hpp"

namespace dunlinwing::net {

class PeerClient final : public base::PeerTransport {
 public:
  // At most `most` connections to other relays are open at once, for each thread that asks.
  explicit PeerClient(size_t most = 4096) : max_connections_(most) {}
  std::variant<pb::PeerResponse, base::PeerError> call(const std::string& address,
                                                       const pb::PeerRequest& request,
                                                       Duration limit) override;

 private:
  size_t max_connections_;
};

using PeerHandler = std::function<pb::PeerResponse(const pb::PeerRequest&)>;

// Takes peers' connections on thread 0. Returns a line of text when the
// address cannot be had. Beyond `most` connections those that are idle longest end.
std::optional<std::string> serve_peers(EventLoopPool& pool, const std::string& address, PeerHandler h,
                                       size_t most = 4096);

}  // namespace dunlinwing::net
