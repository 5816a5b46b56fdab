// What the tests of the wire share: a pool, raw connections, and a stand-in
// worker that plays a script, one text an answer.
#pragma once
#include <unistd.h>

#include "expect.hpp"
#include "wire/http.hpp"
#include "wire/line.hpp"

namespace dunlinwing::test {

using namespace std::chrono_literals;
wire::Pool& pool();

inline void until(const std::function<bool()>& f, const std::string& what) {
  wire::RealClock c;
  for (int i = 0; !f(); ++i) {
    if (i > 10000) throw Failed("it never came about: " + what);
    c.sleep(1ms);
  }
}

// A raw client: sends bytes, reads until `mark` stands or the other side ends.
struct Raw {
  std::shared_ptr<wire::Line> l;
  bool ended = false;
  explicit Raw(const std::string& addr)
      : l(wire::Line::to(addr, std::chrono::steady_clock::now() + 10s).first) {
    expect(l != nullptr, "no connection to " + addr);
  }
  ~Raw() { l->close(); }
  void send(std::string_view b) { l->send(b); }
  std::string read(std::string_view mark = {}) {
    wire::Alarm a;
    a.set(std::chrono::steady_clock::now() + 20s, [this] { l->stop(); });
    for (;;) {
      auto g = l->got();
      if (auto i = mark.empty() ? g.npos : g.find(mark); i != g.npos) {
        std::string s(g.substr(0, i + mark.size()));
        l->use(s.size());
        return s;
      }
      if (l->fill()) {
        expect(!l->stopped(), "neither the mark nor an end came");
        ended = true;
        std::string s(l->got());
        l->use(s.size());
        return s;
      }
    }
  }
  std::string ask(std::string_view b, std::string_view mark = {}) {
    send(b);
    return read(mark);
  }
};

// Answers the n-th request of all (from 0) with what the script says; the text
// "cut" at the end of an answer closes the connection after it, "reset" resets it.
struct StandIn {
  using Script = std::function<std::string(int conn, int request, const std::string& head)>;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acc;
  std::vector<std::weak_ptr<wire::Line>> lines;
  int conns = 0, served = 0, open = 0;
  Script f;
  explicit StandIn(Script s)
      : acc(std::make_shared<boost::asio::ip::tcp::acceptor>(
            pool().io(0), boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))),
        f(std::move(s)) {
    pool().spawn([this, acc = acc] {
      for (;;) {
        boost::asio::ip::tcp::socket s(pool().io(0));
        auto [e] = wire::await<>([&](auto h) { acc->async_accept(s, std::move(h)); });
        if (e) return;
        int c = conns++;
        ++open;
        auto l = std::make_shared<wire::Line>(std::move(s));
        lines.push_back(l);
        pool().spawn([this, acc, c, l] {
          serve(c, *l);
          l->close();
          --open;
        });
      }
    });
  }
  ~StandIn() {
    acc->close();
    for (auto& w : lines)
      if (auto l = w.lock()) l->stop();
    wire::RealClock c;
    while (open) c.sleep(1ms);
  }
  std::string addr() const { return fmt::format("127.0.0.1:{}", acc->local_endpoint().port()); }

 private:
  void serve(int c, wire::Line& l) {
    for (;;) {
      size_t e;
      while ((e = l.got().find("\r\n\r\n")) == std::string_view::npos)
        if (l.fill()) return;
      std::string head(l.got().substr(0, e + 4));
      l.use(head.size());
      auto a = f(c, served++, head);
      bool cut = a.ends_with("cut"), reset = a.ends_with("reset");
      a.resize(a.size() - (cut ? 3 : reset ? 5 : 0));
      if (reset) l.socket().set_option(boost::asio::socket_base::linger(true, 0));
      if ((!a.empty() && l.send(a)) || cut || reset) return;
    }
  }
};

// A server on an address of its own, on threads [from, to) of the pool.
struct Served {
  wire::HttpServer s;
  std::string addr;
  explicit Served(wire::HttpLimits l, wire::HttpHandler h, int from = 0, int to = 1)
      : s(pool(), "test", l, std::move(h)) {
    for (int port = 24100 + static_cast<int>(::getpid() % 500) * 16;; ++port) {
      addr = fmt::format("127.0.0.1:{}", port);
      if (!s.listen(addr, from, to)) break;
    }
  }
  ~Served() {
    s.close();
    s.close_idle();
    until([this] { return s.open() == 0; }, "all connections end");
  }
};

std::vector<Case> server_cases();
std::vector<Case> origin_cases();
std::vector<Case> answer_cases();
std::vector<Case> client_byte_cases();
std::vector<Case> peer_cases();
std::vector<Case> compatibility_wire_cases();
std::vector<Case> forward_cases();
std::vector<Case> soak_cases();

}  // namespace dunlinwing::test
