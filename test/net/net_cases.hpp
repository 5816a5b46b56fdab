// Helpers shared by the network tests: an event loop pool, raw connections, and a
// scripted backend.
#pragma once
#include <unistd.h>

#include "net/connection.hpp"
#include "net/http.hpp"
#include "support/expect.hpp"

namespace dunlinwing::test {

using namespace std::chrono_literals;
net::EventLoopPool& pool();

inline void until(const std::function<bool()>& f, const std::string& what) {
  net::SystemClock c;
  for (int i = 0; !f(); ++i) {
    if (i > 10000) throw Failed("timed out waiting for: " + what);
    c.sleep(1ms);
  }
}

// A raw client: sends bytes, and reads until `mark` or the end of the stream.
struct RawClient {
  std::shared_ptr<net::Connection> connection;
  bool ended = false;
  explicit RawClient(const std::string& address)
      : connection(net::Connection::connect(address, std::chrono::steady_clock::now() + 10s)) {
    expect(connection != nullptr, "no connection to " + address);
  }
  ~RawClient() { connection->close(); }
  void send(std::string_view b) { connection->write(b); }
  std::string read(std::string_view mark = {}) {
    net::Timer a;
    a.set(std::chrono::steady_clock::now() + 20s, [this] { connection->interrupt(); });
    for (;;) {
      auto g = connection->buffered();
      if (auto i = mark.empty() ? g.npos : g.find(mark); i != g.npos) {
        std::string s(g.substr(0, i + mark.size()));
        connection->consume(s.size());
        return s;
      }
      if (connection->read_more()) {
        expect(!connection->is_interrupted(), "neither the mark nor the end of the stream was received");
        ended = true;
        std::string s(connection->buffered());
        connection->consume(s.size());
        return s;
      }
    }
  }
  std::string exchange(std::string_view b, std::string_view mark = {}) {
    send(b);
    return read(mark);
  }
};

// A backend that answers each request with the text that the script returns for its number (from 0, over
// all connections). "cut" at the end of the text closes the connection after it, "reset" resets it.
struct ScriptedBackend {
  using Script = std::function<std::string(int conn, int request, const std::string& head)>;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acc;
  std::vector<std::weak_ptr<net::Connection>> connections;
  int connection_count = 0, served = 0, open = 0;
  Script script;
  explicit ScriptedBackend(Script s)
      : acc(std::make_shared<boost::asio::ip::tcp::acceptor>(
            pool().io(0), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))),
        script(std::move(s)) {
    pool().spawn([this, acc = acc] {
      for (;;) {
        boost::asio::ip::tcp::socket s(pool().io(0));
        auto [e] = net::await<>([&](auto h) { acc->async_accept(s, std::move(h)); });
        if (e) return;
        int c = connection_count++;
        ++open;
        auto connection = std::make_shared<net::Connection>(std::move(s));
        connections.push_back(connection);
        pool().spawn([this, acc, c, connection] {
          serve(c, *connection);
          connection->close();
          --open;
        });
      }
    });
  }
  ~ScriptedBackend() {
    acc->close();
    for (auto& w : connections)
      if (auto connection = w.lock()) connection->interrupt();
    net::SystemClock c;
    while (open) c.sleep(1ms);
  }
  std::string addr() const { return fmt::format("127.0.0.1:{}", acc->local_endpoint().port()); }

 private:
  void serve(int c, net::Connection& connection) {
    for (;;) {
      size_t e;
      while ((e = connection.buffered().find("\r\n\r\n")) == std::string_view::npos)
        if (connection.read_more()) return;
      std::string head(connection.buffered().substr(0, e + 4));
      connection.consume(head.size());
      auto a = script(c, served++, head);
      bool cut = a.ends_with("cut"), reset = a.ends_with("reset");
      a.resize(a.size() - (cut ? 3 : reset ? 5 : 0));
      if (reset) connection.socket().set_option(boost::asio::socket_base::linger(true, 0));
      if ((!a.empty() && connection.write(a)) || cut || reset) return;
    }
  }
};

// A server on a free address, on threads [from, to) of the pool.
struct TestServer {
  net::HttpServer http_server;
  std::string address;
  explicit TestServer(net::HttpLimits l, net::HttpHandler h, int from = 0, int to = 1,
                      base::MemoryAccount& memory = base::MemoryAccount::unlimited())
      : http_server(pool(), "test", l, std::move(h), {}, memory) {
    for (int port = 24100 + static_cast<int>(::getpid() % 500) * 16;; ++port) {
      address = fmt::format("127.0.0.1:{}", port);
      if (!http_server.listen(address, from, to)) break;
    }
  }
  ~TestServer() {
    http_server.close();
    http_server.close_idle();
    until([this] { return http_server.open_connections() == 0; }, "all connections end");
  }
};

std::vector<Case> connection_cases();
std::vector<Case> server_cases();
std::vector<Case> origin_cases();
std::vector<Case> answer_cases();
std::vector<Case> refusal_cases();
std::vector<Case> client_byte_cases();
std::vector<Case> peer_cases();
std::vector<Case> compatibility_wire_cases();
std::vector<Case> forward_cases();
std::vector<Case> soak_cases();
std::vector<Case> client_gone_cases();
std::vector<Case> input_limit_cases();
std::vector<Case> message_framing_cases();
std::vector<Case> memory_cases();

}  // namespace dunlinwing::test
