// Frames, the pool of idle connections, and the server's loop. A connection
// whose ask did not end well is closed, so no reply can meet another's ask.
#include "wire/peer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <charconv>

#include "base/log.hpp"

namespace dunlinwing::wire {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {
constexpr base::Log lg("peer");
constexpr uint32_t kMostFrame = 32u << 20;
constexpr size_t kMostIdle = 8;

struct Line {
  beast::tcp_stream s;
  explicit Line(asio::io_context& io) : s(io) {}
};

thread_local std::map<std::string, std::vector<std::unique_ptr<Line>>> idle;

Ec write_frame(beast::tcp_stream& s, const google::protobuf::MessageLite& m) {
  std::string b(4, '\0');
  m.AppendToString(&b);
  auto n = static_cast<uint32_t>(b.size() - 4);
  for (int i = 0; i < 4; ++i) b[i] = static_cast<char>(n >> (24 - 8 * i));
  auto [ec, k] = await<size_t>([&](auto h) { asio::async_write(s, asio::buffer(b), std::move(h)); });
  return ec;
}

template <class M>
Ec read_frame(beast::tcp_stream& s, M& m) {
  unsigned char l[4];
  auto [ec, k] = await<size_t>([&](auto h) { asio::async_read(s, asio::buffer(l), std::move(h)); });
  if (ec) return ec;
  uint32_t n = uint32_t(l[0]) << 24 | uint32_t(l[1]) << 16 | uint32_t(l[2]) << 8 | l[3];
  if (n > kMostFrame) return make_error_code(boost::system::errc::message_size);
  std::string b(n, '\0');
  auto [e2, k2] = await<size_t>([&](auto h) { asio::async_read(s, asio::buffer(b), std::move(h)); });
  if (e2) return e2;
  return m.ParseFromString(b) ? Ec() : make_error_code(boost::system::errc::bad_message);
}

void talk(beast::tcp_stream s, const PeerHandler& h) {
  for (;;) {
    pb::Ask a;
    s.expires_never();
    if (read_frame(s, a)) return;
    auto r = h(a);
    s.expires_after(std::chrono::seconds(5));
    if (write_frame(s, r)) return;
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

std::variant<pb::Reply, base::NetDefect> PeerNet::ask(const std::string& addr, const pb::Ask& a, Span limit) {
  auto& spare = idle[addr];
  std::unique_ptr<Line> l;
  while (!l && !spare.empty()) {
    l = std::move(spare.back());
    spare.pop_back();
    if (!still_idle(l->s.socket().native_handle())) l.reset();
  }
  auto end = std::chrono::steady_clock::now() + limit;
  if (!l) {
    auto at = split_address(addr);
    if (!at) return base::NetDefect::unreachable;
    l = std::make_unique<Line>(Pool::here());
    l->s.expires_at(end);
    auto [ec] = await<>(
        [&](auto h) { l->s.async_connect(tcp::endpoint(asio::ip::make_address(at->ip), at->port), std::move(h)); });
    if (ec) return base::NetDefect::unreachable;
    l->s.socket().set_option(tcp::no_delay(true), ec);
  }
  l->s.expires_at(end);
  if (auto ec = write_frame(l->s, a); ec) return base::NetDefect::broken;
  pb::Reply r;
  if (auto ec = read_frame(l->s, r); ec)
    return ec == beast::error::timeout ? base::NetDefect::timed_out
           : ec == boost::system::errc::bad_message ? base::NetDefect::garbled
                                                    : base::NetDefect::broken;
  l->s.expires_never();
  auto& back = idle[addr];
  if (back.size() < kMostIdle) back.push_back(std::move(l));
  return r;
}

std::optional<std::string> serve_peers(Pool& pool, const std::string& addr, PeerHandler h) {
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
  pool.spawn_on(0, [&pool, acc, h] {
    for (;;) {
      tcp::socket s(pool.io(0));
      auto [ec] = await<>([&](auto k) { acc->async_accept(s, std::move(k)); });
      if (ec) {
        lg.warn("A peer's connection was lost while being taken: {}.", ec.message());
        RealClock().nap(Span(50));
        continue;
      }
      s.set_option(tcp::no_delay(true), ec);
      auto st = std::make_shared<beast::tcp_stream>(std::move(s));
      pool.spawn([st, h] { talk(std::move(*st), h); });
    }
  });
  return {};
}

}  // namespace dunlinwing::wire
