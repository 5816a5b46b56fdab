// Integration of fibers and sockets: deadlines, notification across threads,
// timeouts of unresponsive peers, and idle connections that the peer has closed.
#include <unistd.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>

#include "net/net_cases.hpp"
#include "net/peer_client.hpp"

using namespace dunlinwing;
using namespace std::chrono_literals;

dunlinwing::net::EventLoopPool& dunlinwing::test::pool() {
  static net::EventLoopPool p(3);
  return p;
}

namespace {
net::EventLoopPool& pool = test::pool();
net::SystemClock system_clock;

// Completes TCP handshakes and never responds.
struct UnresponsiveServer {
  boost::asio::ip::tcp::acceptor acc{pool.io(0), {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::string addr() { return fmt::format("127.0.0.1:{}", acc.local_endpoint().port()); }
};

void conditions() {
  auto s = pool.condition();
  auto from = system_clock.now();
  test::expect(!s->wait(30ms), "a condition returned true without a notify");
  test::expect(system_clock.now() - from >= 30ms, "the wait ended before its deadline");
  s->notify();
  test::expect(s->wait(60s), "a notify before the wait was lost");
  pool.spawn_on(2, [s] { s->notify(); });
  test::expect(s->wait(60s), "a notify from another thread was lost");
  for (int i = 0; i < 200; ++i) {
    pool.spawn_on(1 + i % 2, [s] { s->notify(); });
    test::expect(s->wait(60s), "one of many notifies was lost");
  }
}

void fairness() {
  // A fiber that is always ready must not starve sockets and timers.
  auto stop = std::make_shared<bool>(false);
  auto turns = std::make_shared<uint64_t>(0);
  pool.spawn([stop, turns] {
    auto s = pool.condition();
    while (!*stop) {
      ++*turns;
      s->notify();
      s->wait(60s);
    }
  });
  system_clock.sleep(20ms);
  *stop = true;
  test::expect(*turns > 10, "the busy fiber did not run");
}

void silent() {
  UnresponsiveServer m;
  net::HttpClient http(1 << 20);
  net::PeerClient net;
  auto from = system_clock.now();
  auto r = http.send(m.addr(), {"", "GET", "/", "", {}}, 100ms);
  test::expect(std::get<base::AttemptError>(r) == base::AttemptError::unknown,
               "bytes were sent, but the outcome was not unknown");
  auto p = net.call(m.addr(), pb::PeerRequest(), 100ms);
  test::expect(std::get<base::PeerError>(p) == base::PeerError::timed_out, "a silent peer did not time out");
  test::expect(system_clock.now() - from < 20s, "the timeouts were not applied");
  auto gone = m.addr();
  m.acc.close();
  r = http.send(gone, {"", "POST", "/", "x", {}}, 1s);
  test::expect(std::get<base::AttemptError>(r) == base::AttemptError::not_sent,
               "a refused connection sent something");
  p = net.call(gone, pb::PeerRequest(), 1s);
  test::expect(std::get<base::PeerError>(p) == base::PeerError::unreachable,
               "a refused connection was not unreachable");
}

// A server that closes each connection after its response, without announcing it.
void closed_behind() {
  UnresponsiveServer m;
  auto served = std::make_shared<int>(0);
  pool.spawn([&m, served] {
    for (;;) {
      boost::asio::ip::tcp::socket s(pool.io(0));
      auto [e] = net::await<>([&](auto h) { m.acc.async_accept(s, std::move(h)); });
      if (e) return;
      char b[1024];
      auto [e2, n] =
          net::await<size_t>([&](auto h) { s.async_read_some(boost::asio::buffer(b), std::move(h)); });
      if (e2) continue;
      ++*served;
      std::string a = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
      net::await<size_t>([&](auto h) { s.async_write_some(boost::asio::buffer(a), std::move(h)); });
    }
  });
  net::HttpClient http(1 << 20);
  for (int i = 0; i < 20; ++i) {
    auto r = http.send(m.addr(), {"", "GET", "/", "", {}}, 5s);
    test::expect(std::holds_alternative<base::Response>(r),
                 fmt::format("request {} met a closed connection", i));
    system_clock.sleep(2ms);  // for the close to arrive
  }
  test::same(*served, 20, "requests served");
  m.acc.close();
  system_clock.sleep(1ms);
}

// Responses without a body length, truncated or malformed, are not complete.
void not_whole() {
  for (std::string a :
       {"HTTP/1.1 200 OK\r\n\r\nuntil I close", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "nonsense\r\n\r\n"}) {
    UnresponsiveServer m;
    pool.spawn([&m, a] {
      boost::asio::ip::tcp::socket s(pool.io(0));
      auto [e] = net::await<>([&](auto h) { m.acc.async_accept(s, std::move(h)); });
      if (e) return;
      char b[1024];
      net::await<size_t>([&](auto h) { s.async_read_some(boost::asio::buffer(b), std::move(h)); });
      net::await<size_t>([&](auto h) { s.async_write_some(boost::asio::buffer(a), std::move(h)); });
    });
    net::HttpClient http(1 << 20);
    auto r = http.send(m.addr(), {"", "GET", "/", "", {}}, 5s);
    test::expect(std::holds_alternative<base::AttemptError>(r),
                 "accepted as a complete response: " + a.substr(0, 60));
    m.acc.close();
    system_clock.sleep(1ms);
  }
}
}  // namespace

int main(int argc, char** argv) {
  std::string only = argc > 1 ? argv[1] : "";
  std::signal(SIGPIPE, SIG_IGN);
  pool.run([only] {
    std::vector<test::Case> all = {
        {"wire: conditions are notified across threads and keep their deadlines", conditions},
        {"wire: a busy fiber does not starve timers", fairness},
        {"wire: unresponsive peers time out with the correct error", silent},
        {"wire: an idle connection that the peer closed is not reused", closed_behind},
        {"wire: only complete answers are accepted", not_whole}};
    for (auto& more : {test::connection_cases(), test::server_cases(), test::origin_cases(),
                       test::answer_cases(), test::refusal_cases(), test::client_byte_cases(),
                       test::peer_cases(), test::compatibility_wire_cases(), test::forward_cases(),
                       test::soak_cases(), test::client_gone_cases(), test::input_limit_cases(),
                       test::message_framing_cases(), test::memory_cases()})
      all.insert(all.end(), more.begin(), more.end());
    net::EventLoopPool::stop(test::run_all(all, only));
  });
}
