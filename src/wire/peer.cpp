// Frames, asks, and the server's loop. Each ask has a number,
// which its reply repeats; a connection whose ask did not end well is reset, so no reply
// can meet another's ask and no ask is delivered after it was given up. A silent one is dropped: by the
// server after a while, by us well before.
#include "wire/peer.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <list>

#include "base/log.hpp"
#include "wire/line.hpp"
#include "wire/peer_connections.hpp"

namespace dunlinwing::wire {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr base::Log lg("peer");
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
Ec write_frame(Line& l, const google::protobuf::MessageLite& m,
               const google::protobuf::MessageLite* more = nullptr) {
  std::string b(4, '\0');
  m.AppendToString(&b);
  if (more) more->AppendToString(&b);
  auto n = static_cast<uint32_t>(b.size() - 4);
  for (int i = 0; i < 4; ++i) b[i] = static_cast<char>(n >> (24 - 8 * i));
  return l.send(b);
}

template <class M>
Ec read_frame(Line& l, M& m, const std::function<void()>& moved = {}) {
  for (size_t need = 4;;) {
    auto g = l.got();
    if (g.size() >= 4) {
      auto b = reinterpret_cast<const unsigned char*>(g.data());
      uint32_t n = uint32_t(b[0]) << 24 | uint32_t(b[1]) << 16 | uint32_t(b[2]) << 8 | b[3];
      if (n > kMostFrame) return make_error_code(boost::system::errc::message_size);
      need = 4 + size_t(n);
    }
    if (g.size() >= need) {
      bool ok = m.ParseFromArray(g.data() + 4, static_cast<int>(need - 4));
      l.use(need);
      return ok ? Ec() : make_error_code(boost::system::errc::bad_message);
    }
    if (auto ec = l.fill(std::clamp(need - g.size(), Line::kRoom, kFrameRoom))) return ec;
    if (moved) moved();
  }
}

// Peers' connections that wait for a further ask, the one that waits longest first.
// When they are many none is kept after its reply, and when they are too many no
// more are taken until one has ended: who waits outside is not turned away.
struct Server {
  PeerHandler h;
  size_t most, open = 0;
  std::list<std::shared_ptr<Line>> waiting;
  std::shared_ptr<base::Condition> door;

  bool crowded() const { return open * 2 > most; }
  void make_room() {
    if (open < most || waiting.empty()) return;
    waiting.front()->stop();
    waiting.pop_front();
  }
  void left() {
    --open;
    if (door) door->notify();
  }
};

void talk(const std::shared_ptr<Line>& l, Server& s) {
  auto& h = s.h;
  Alarm silent;
  auto in = [&](std::chrono::seconds s) { silent.set(now() + s, [&] { l->stop(); }); };
  for (bool again = false;; again = true) {
    pb::Ask a;
    in(kServerIdle);
    auto here = again ? s.waiting.insert(s.waiting.end(), l) : s.waiting.end();
    bool waits = again;
    auto began = [&] {
      if (std::exchange(waits, false) && !l->stopped()) s.waiting.erase(here);
    };
    if (!l->got().empty()) began();
    auto ec = read_frame(*l, a, [&] {
      began();
      in(kServerIdle);
    });
    began();
    if (ec) return;
    silent.clear();
    auto r = h(a);
    r.set_number(a.number());
    in(kReplyMoves);
    if (write_frame(*l, r) || s.crowded()) return;
  }
}
}  // namespace

std::optional<Address> split_address(const std::string& s) {
  auto c = s.rfind(':');
  if (c == std::string::npos) return {};
  Address a{s.substr(0, c), 0};
  auto [e, ec] = std::from_chars(s.data() + c + 1, s.data() + s.size(), a.port);
  boost::system::error_code bad;
  asio::ip::make_address(a.ip, bad);
  if (bad || ec != std::errc() || e != s.data() + s.size()) return {};
  return a;
}

std::variant<pb::Reply, base::NetError> PeerNet::ask(const std::string& addr, const pb::Ask& a,
                                                     Duration limit) {
  auto end = now() + limit;
  auto& connections = peer_connections();
  auto [l, reused] = connections.borrow(addr, end, most_);
  if (!l) return base::NetError::unreachable;
  Alarm late;
  late.set(end, [line = l] { line->stop(); });
  pb::Ask name;
  name.set_number(next_number());
  pb::Reply r;
  auto ec = write_frame(*l, a, &name);
  bool sent = !ec;
  if (sent) ec = read_frame(*l, r);
  late.clear();
  bool others = r.number() && r.number() != name.number();  // 0: an older process, which repeats none
  if (ec || others || !l->got().empty()) {
    bool timed = l->stopped();
    connections.discard(addr, l, most_);
    // A kept connection may have been ended for room just now. Asks may come twice, but for requests carried.
    if (ec && reused && !timed && l->got().empty() && !a.has_carry())
      return ask(addr, a, std::chrono::duration_cast<Duration>(end - now()));
    if (!ec) return base::NetError::garbled;
    return sent && timed                            ? base::NetError::timed_out
           : ec == boost::system::errc::bad_message ? base::NetError::garbled
                                                    : base::NetError::broken;
  }
  connections.give_back(addr, std::move(l), most_);
  return r;
}

std::optional<std::string> serve_peers(Pool& pool, const std::string& addr, PeerHandler h, size_t most) {
  auto at = split_address(addr);
  if (!at) return "the peer address is not IP:port";
  Ec ec;
  auto acc = std::make_shared<tcp::acceptor>(pool.io(0));
  tcp::endpoint ep(asio::ip::make_address(at->ip), at->port);
  acc->open(ep.protocol(), ec);
  if (!ec) acc->set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acc->bind(ep, ec);
  if (!ec) acc->listen(1024, ec);
  if (ec) return fmt::format("cannot listen on {}: {}", addr, ec.message());
  pool.spawn_on(0, [&pool, acc, s0 = std::make_shared<Server>(Server{std::move(h), most})] {
    s0->door = pool.condition();
    for (;;) {
      s0->make_room();
      while (s0->open >= s0->most) s0->door->wait(kDoor);
      tcp::socket s(pool.io(0));
      auto [ec] = await<>([&](auto k) { acc->async_accept(s, std::move(k)); });
      if (ec) {
        lg.warn("A peer's connection was lost while being taken: {}.", ec.message());
        RealClock().sleep(Duration(50));
        continue;
      }
      settle(s);
      ++s0->open;
      pool.spawn([l = std::make_shared<Line>(std::move(s)), s0] {
        talk(l, *s0);
        l->close();
        s0->left();
      });
    }
  });
  return {};
}

}  // namespace dunlinwing::wire
