// What dunlinwing's processes say to each other: one protobuf message a frame,
// four bytes of length before it, over TCP. An ask and its reply use one
// connection at a time; idle connections are kept per thread.
#pragma once
#include "wire/loop.hpp"

namespace dunlinwing::wire {

class PeerNet final : public base::Net {
 public:
  // At most `most` connections to other relays are open at once, for each thread that asks.
  explicit PeerNet(size_t most = 4096) : most_(most) {}
  std::variant<pb::Reply, base::NetError> ask(const std::string& addr, const pb::Ask& a,
                                              Duration limit) override;

 private:
  size_t most_;
};

using PeerHandler = std::function<pb::Reply(const pb::Ask&)>;

// Takes peers' connections on thread 0. Returns a line of text when the
// address cannot be had. Beyond `most` connections those that are idle longest end.
std::optional<std::string> serve_peers(Pool& pool, const std::string& addr, PeerHandler h,
                                       size_t most = 4096);

struct Address {
  std::string ip;
  uint16_t port = 0;
};
std::optional<Address> split_address(const std::string& s);

}  // namespace dunlinwing::wire
