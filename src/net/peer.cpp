// Frames, asks, and the server's loop. Each ask has a number,
// which its reply repeats; a connection whose ask did not end well is reset, so no reply
// can meet another's ask and no ask is delivered after it was given up. A silent one is dropped: by the
// server after a while, by us well before.
#include "net/peer.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <list>

#include "base/log.hpp"
#include "net/connection.hpp"
#include "net/peer_connections.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr base::Log logger("peer");
constexpr uint32_t kMostFrame = 32u << 20;
constexpr std::chrono::seconds kServerIdle(30);  // without a byte from the peer
constexpr std::chrono::seconds kReplyMoves(5);
constexpr Duration kDoor(50);  // how soon it is looked again whether there is room
constexpr size_t kFrameRoom = 64 << 10;

using At = std::chrono::steady_clock::time_point;
At now() { return std::chrono::steady_clock::now(); }

// Of the asks of this process: no number is used twice, on whichever connection.
uint64_t next_number() {
  static std::atomic<uint64_t> last{0};
  return ++last;
}

// Writes `m`, and behind it the fields of `more`: read as one message they are merged.
ErrorCode write_frame(Connection& connection, const google::protobuf::MessageLite& m,
                      const google::protobuf::MessageLite* more = nullptr) {
  std::string b(4, '\0');
  m.AppendToString(&b);
  if (more) more->AppendToString(&b);
  auto n = static_cast<uint32_t>(b.size() - 4);
  for (int i = 0; i < 4; ++i) b[i] = static_cast<char>(n >> (24 - 8 * i));
  return connection.write(b);
}

template <class M>
ErrorCode read_frame(Connection& connection, M& m, const std::function<void()>& moved = {}) {
  for (size_t need = 4;;) {
    auto g = connection.buffered();
    if (g.size() >= 4) {
      auto b = reinterpret_cast<const unsigned char*>(g.data());
      uint32_t n = uint32_t(b[0]) << 24 | uint32_t(b[1]) << 16 | uint32_t(b[2]) << 8 | b[3];
      if (n > kMostFrame) return make_error_code(boost::system::errc::message_size);
      need = 4 + size_t(n);
    }
    if (g.size() >= need) {
      bool ok = m.ParseFromArray(g.data() + 4, static_cast<int>(need - 4));
      connection.consume(need);
      return ok ? ErrorCode() : make_error_code(boost::system::errc::bad_message);
    }
    if (auto ec = connection.read_more(std::clamp(need - g.size(), Connection::kReadSize, kFrameRoom)))
      return ec;
    if (moved) moved();
  }
}

// Peers' connections that wait for a further ask, the one that waits longest first.
// When they are many none is kept after its reply, and when they are too many no
// more are taken until one has ended: who waits outside is not turned away.
struct Server {
  PeerHandler h;
  size_t most, open = 0;
  std::list<std::shared_ptr<Connection>> waiting;
  std::shared_ptr<base::Condition> door;

  bool crowded() const { return open * 2 > most; }
  void make_room() {
    if (open < most || waiting.empty()) return;
    waiting.front()->interrupt();
    waiting.pop_front();
  }
  void left() {
    --open;
    if (door) door->notify();
  }
};

void talk(const std::shared_ptr<Connection>& connection, Server& s) {
  auto& h = s.h;
  Timer silent;
  auto in = [&](std::chrono::seconds s) { silent.set(now() + s, [&] { connection->interrupt(); }); };
  for (bool again = false;; again = true) {
    pb::PeerRequest request;
    in(kServerIdle);
    auto here = again ? s.waiting.insert(s.waiting.end(), connection) : s.waiting.end();
    bool waits = again;
    auto began = [&] {
      if (std::exchange(waits, false) && !connection->is_interrupted()) s.waiting.erase(here);
    };
    if (!connection->buffered().empty()) began();
    auto ec = read_frame(*connection, request, [&] {
      began();
      in(kServerIdle);
    });
    began();
    if (ec) return;
    silent.clear();
    auto response = h(request);
    response.set_request_id(request.request_id());
    in(kReplyMoves);
    if (write_frame(*connection, response) || s.crowded()) return;
  }
}
}  // namespace

std::variant<pb::PeerResponse, base::PeerError> PeerClient::call(const std::string& address,
                                                                 const pb::PeerRequest& request,
                                                                 Duration limit) {
  auto end = now() + limit;
  auto& connections = peer_connections();
  auto [l, reused] = connections.borrow(address, end, max_connections_);
  if (!l) return base::PeerError::unreachable;
  Timer late;
  late.set(end, [line = l] { line->interrupt(); });
  pb::PeerRequest name;
  name.set_request_id(next_number());
  pb::PeerResponse response;
  auto ec = write_frame(*l, request, &name);
  bool sent = !ec;
  if (sent) ec = read_frame(*l, response);
  late.clear();
  bool others = response.request_id() &&
                response.request_id() != name.request_id();  // 0: an older process, which repeats none
  if (ec || others || !l->buffered().empty()) {
    bool timed = l->is_interrupted();
    connections.discard(address, l, max_connections_);
    // A kept connection may have been ended for room just now. Asks may come twice, but for requests carried.
    if (ec && reused && !timed && l->buffered().empty() && !request.has_forward())
      return call(address, request, std::chrono::duration_cast<Duration>(end - now()));
    if (!ec) return base::PeerError::malformed;
    return sent && timed                            ? base::PeerError::timed_out
           : ec == boost::system::errc::bad_message ? base::PeerError::malformed
                                                    : base::PeerError::broken;
  }
  connections.give_back(address, std::move(l), max_connections_);
  return response;
}

std::optional<std::string> serve_peers(EventLoopPool& pool, const std::string& address, PeerHandler h,
                                       size_t most) {
  auto at = split_address(address);
  if (!at) return "the peer address is not IP:port";
  ErrorCode ec;
  auto acc = std::make_shared<tcp::acceptor>(pool.io(0));
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  acc->open(ep.protocol(), ec);
  if (!ec) acc->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acc->bind(ep, ec);
  if (!ec) acc->listen(1024, ec);
  if (ec) return fmt::format("cannot listen on {}: {}", address, ec.message());
  pool.spawn_on(0, [&pool, acc, s0 = std::make_shared<Server>(Server{std::move(h), most})] {
    s0->door = pool.condition();
    for (;;) {
      s0->make_room();
      while (s0->open >= s0->most) s0->door->wait(kDoor);
      tcp::socket s(pool.io(0));
      auto [ec] = await<>([&](auto k) { acc->async_accept(s, std::move(k)); });
      if (ec) {
        logger.warn("A peer's connection was lost while being taken: {}.", ec.message());
        SystemClock().sleep(Duration(50));
        continue;
      }
      configure_socket(s);
      ++s0->open;
      pool.spawn([l = std::make_shared<Connection>(std::move(s)), s0] {
        talk(l, *s0);
        l->close();
        s0->left();
      });
    }
  });
  return {};
}

}  // namespace dunlinwing::net
