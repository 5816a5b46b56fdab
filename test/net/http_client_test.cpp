// UpstreamClient at a stand-in worker that cuts, babbles, is late, full or leaving.
#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
using base::AttemptError;
using Shot = std::variant<base::Response, AttemptError>;

std::string ok(const std::string& body, const std::string& more = "") {
  return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", more, body.size(), body);
}
base::Request get(const std::string& m = "GET") { return {"", m, "/", "", {}}; }
base::AttemptRules rules(bool safe = true) {
  base::AttemptRules r(10s);
  r.idempotent = safe;
  return r;
}
bool unknown(const Shot& s) {
  auto* d = std::get_if<AttemptError>(&s);
  return d && *d == AttemptError::unknown;
}
std::string body(const Shot& s) {
  auto* a = std::get_if<base::Response>(&s);
  return a ? a->body : "a defect";
}

void stale() {
  auto mine = [](const std::string& b) {
    return [b](const base::Response& response) { return response.body == b; };
  };
  StandIn w([](int, int n, auto&) {
    return n == 0   ? ok("0")
           : n == 1 ? ok("old") + ok("older") + ok("1")
           : n == 2 ? ok("used")
           : n == 3 ? ok("a") + ok("b") + ok("c") + ok("2")
                    : ok("not");
  });
  net::HttpClient o(1 << 20);
  auto r = rules();
  r.is_own_response = mine("0");
  same(body(o.send(w.addr(), get(), r)), "0", "the first");
  r.is_own_response = mine("1");
  same(body(o.send(w.addr(), get(), r)), "1", "after two late answers");
  same(w.conns, 1, "connections");
  same(o.connections_to(w.addr()), 0, "connections held after another's answer");
  r.is_own_response = mine("used");
  same(body(o.send(w.addr(), get(), r)), "used", "the first on a connection of its own");
  r.is_own_response = mine("2");
  expect(unknown(o.send(w.addr(), get(), r)), "three answers were skipped");
  same(w.conns, 2, "connections");
  r.is_own_response = mine("3");
  expect(unknown(o.send(w.addr(), get(), r)), "a fresh connection's first answer was skipped");
  same(w.conns, 3, "connections");
  same(o.connections_to(w.addr()), 0, "connections held after bad ends");
}

// An answer that is there before its request was sent whole. Named it counts, without a name
// on a used connection it does not; either way the connection ends.
void early() {
  const std::string large(8 << 20, 'b');  // more than the sockets hold
  for (bool has_name : {true, false}) {
    StandIn w(
        [&](int, int n, auto&) { return ok(n ? "early" : "first", has_name || !n ? "Id: x\r\n" : ""); });
    net::HttpClient o(1 << 20);
    auto r = rules();
    r.lacks_request_id = [](const base::Response& x) { return base::header(x.headers, "Id").empty(); };
    same(body(o.send(w.addr(), get(), r)), "first", "the first on the connection");
    auto s = o.send(w.addr(), {"", "POST", "/", large, {}}, r);
    same(w.conns, 1, "connections");
    same(body(s), has_name ? "early" : "a defect", "an early answer");
    same(o.connections_to(w.addr()), 0, "connections held after an early answer");
  }
}

void leftovers() {
  StandIn w([](int, int n, auto&) { return n % 2 ? ok("x") : ok("good") + ok("nobody asked"); });
  net::HttpClient o(1 << 20);
  same(body(o.send(w.addr(), get(), rules())), "good", "a whole answer with more behind it");
  same(body(o.send(w.addr(), get(), rules())), "x", "the next");
  same(w.conns, 2, "connections");
  StandIn late([](int, int, auto&) { return ok("good"); });
  same(body(o.send(late.addr(), get(), rules())), "good", "an answer");
}

void strange() {
  for (std::string a : {std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"), ok(std::string(2000, 'x')),
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcut"),
                        std::string("reset"), std::string("cut"), std::string("garbage garbage\r\n\r\n"),
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
                        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")}) {
    StandIn w([a](int, int, auto&) { return a; });
    net::HttpClient o(1000);
    expect(unknown(o.send(w.addr(), get(), rules())), "taken for a whole answer: " + a.substr(0, 60));
    same(o.connections_to(w.addr()), 0, "connections held");
  }
  StandIn w([](int, int n, auto&) {
    if (n == 0)
      return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("zip", "Content-Encoding: gzip\r\n");
    if (n == 1) return std::string("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    if (n == 2)
      return std::string(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    if (n == 3) return std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");
    return ok("last", "Connection: close\r\n");
  });
  net::HttpClient o(1000);
  auto a = std::get<base::Response>(o.send(w.addr(), get(), rules()));
  same(a.body, "zip", "an answer after an interim one");
  same(base::header(a.headers, "Content-Encoding"), "gzip", "its encoding");
  same(body(o.send(w.addr(), get("HEAD"), rules())), "", "an answer to HEAD");
  same(body(o.send(w.addr(), get(), rules())), "abc", "a chunked answer");
  same(body(o.send(w.addr(), get(), rules())), "", "a 304");
  same(body(o.send(w.addr(), get(), rules())), "last", "the last answer");
  same(w.conns, 1, "connections");
  same(o.connections_to(w.addr()), 0, "connections held after Connection: close");
}

// An answer that ends with its connection alone cannot be told from a cut one: it is not
// waited for.
void endless() {
  StandIn w([](int, int, auto&) { return std::string("HTTP/1.1 200 OK\r\n\r\nuntil I close"); });
  net::HttpClient o(1000);
  net::SystemClock clock;
  auto from = clock.now();
  expect(unknown(o.send(w.addr(), get(), rules())), "taken for a whole answer");
  expect(clock.now() - from < rules().timeout / 2, "it was waited for");
}

void written() {
  std::string head;
  StandIn w([&](int, int, auto& h) {
    head = h;
    return ok("");
  });
  net::HttpClient o(1000);
  o.send(w.addr(), {"", "POST", "/p?q=1", "", {{"Host", "given"}, {"X-A", "b"}, {"content-length", "7"}}},
         rules());
  same(head, "POST /p?q=1 HTTP/1.1\r\nHost: given\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
       "what was written");
  o.send(w.addr(), get("PURGE"), rules());
  same(head, "PURGE / HTTP/1.1\r\nHost: " + w.addr() + "\r\n\r\n", "what was written");
}

void ages() {
  StandIn w([](int, int n, auto&) {
    return ok("", n == 0 ? "Keep-Alive: timeout=0\r\n" : "Keep-Alive: max=9, timeout=1\r\n");
  });
  net::HttpClient o(1000);
  net::SystemClock c;
  o.send(w.addr(), get(), rules());
  o.send(w.addr(), get(), rules(false));
  same(w.conns, 2, "connections after one that was not to be kept");
  o.send(w.addr(), get(), rules(false));
  same(w.conns, 2, "connections while it is fresh");
  c.sleep(340ms);
  o.send(w.addr(), get(), rules(false));
  same(w.conns, 3, "connections once it is not fresh for what may run only once");
  o.send(w.addr(), get(), rules(true));
  same(w.conns, 3, "connections for what may run twice");
  c.sleep(710ms);
  o.send(w.addr(), get(), rules(true));
  same(w.conns, 4, "connections once they are old");
  until([&] { return w.open == 1; }, "old connections are closed");
}

void noticed() {
  StandIn w([](int, int, auto&) { return ok("") + "cut"; });
  net::HttpClient o(1000);
  o.send(w.addr(), get(), rules());
  until([&] { return o.idle() == 0 && o.connections_to(w.addr()) == 0; },
        "the end of an idle connection is noticed");
}

void capped() {
  auto condition = pool().condition();
  int inside = 0;
  StandIn w([&](int, int n, auto&) {
    if (n == 0) {
      ++inside;
      condition->wait(10s);
    }
    return ok(std::to_string(n));
  });
  net::HttpClient o(1000);
  auto r = rules();
  r.max_connections = 1;
  std::string first, second;
  pool().spawn([&] { first = body(o.send(w.addr(), get(), r)); });
  until([&] { return inside == 1; }, "the first is there");
  auto quick = r;
  quick.connect_timeout = 20ms;
  auto s = o.send(w.addr(), get(), quick);
  expect(std::get_if<AttemptError>(&s) && std::get<AttemptError>(s) == AttemptError::unsent,
         "more connections than allowed");
  pool().spawn([&] { second = body(o.send(w.addr(), get(), r)); });
  condition->notify();
  until([&] { return !second.empty(); }, "the second follows");
  same(first + second, "01", "answers");
  same(w.conns, 1, "connections");
  same(o.connections_to(w.addr()), 1, "connections held");
  auto done = std::make_shared<std::atomic<int>>(0);
  for (int i : {1, 2})
    pool().spawn_on(i, [&o, r, a = w.addr(), done] {
      if (std::holds_alternative<base::Response>(o.send(a, get(), r))) ++*done;
    });
  until([&] { return *done == 2; }, "other threads have their turn");
  expect(o.connections_to(w.addr()) <= 1, "more connections than allowed");
}

// A full queue of new connections says nothing, and the bound for connecting holds.
void no_room() {
  namespace asio = boost::asio;
  asio::ip::tcp::acceptor a(pool().io(0));
  a.open(asio::ip::tcp::v4());
  a.bind({asio::ip::make_address("127.0.0.1"), 0});
  a.listen(0);
  auto address = fmt::format("127.0.0.1:{}", a.local_endpoint().port());
  auto soon = [] { return std::chrono::steady_clock::now() + 50ms; };
  std::vector<std::shared_ptr<net::Connection>> full;
  while (auto connection = net::Connection::connect(address, soon())) {
    full.push_back(connection);
    expect(full.size() < 20, "the queue has no end");
  }
  net::HttpClient o(1000);
  auto r = rules();
  r.connect_timeout = 50ms;
  auto s = o.send(address, get(), r);
  auto* d = std::get_if<AttemptError>(&s);
  expect(d && *d == AttemptError::unsent, "without a connection nothing is sent");
  same(o.connections_to(address), 0, "connections held");
  expect(!o.can_connect(address, 50ms), "it was reached");
}

// Whatever a worker does, an answer taken for this request's is this request's.
void never_mixed() {
  StandIn w([](int, int n, const std::string& head) {
    auto at = head.find("Id: ") + 4;
    auto id = head.substr(at, head.find('\r', at) - at);
    auto own = ok(id, "Id: " + id + "\r\n");
    switch (n * 7919 % 23) {
      case 0:
        return own + own;
      case 1:
        return own + ok("late", "Id: late\r\n") + "cut";
      case 2:
        return ok("late", "Id: late\r\n") + own;
      case 3:
        return own.substr(0, own.size() - 1) + "cut";
      case 4:
        return std::string("reset");
      case 5:
        return own + "cut";
      case 6:
        return std::string("HTTP/1.1 2");
      case 7:
        return own + "rubbish";
      case 8:
        return ok(id, "Connection: close\r\nId: " + id + "\r\n") + "cut";
      default:
        return own;
    }
  });
  net::HttpClient o(1000);
  std::atomic<int> left{6}, good{0}, wrong{0};
  for (int f = 0; f < 6; ++f)
    pool().spawn_on(f % 3, [&, f, a = w.addr()] {
      for (int i = 0; i < 150; ++i) {
        auto id = fmt::format("{}-{}", f, i);
        base::AttemptRules r(50ms);
        r.idempotent = i % 2;
        r.max_connections = 4;
        r.is_own_response = [&id](const base::Response& x) { return base::header(x.headers, "Id") == id; };
        auto s = o.send(a, {"", i % 2 ? "GET" : "POST", "/", "", {{"Id", id}}}, r);
        if (auto* x = std::get_if<base::Response>(&s)) ++(x->body == id ? good : wrong);
        if (o.connections_to(a) > 4) ++wrong;
      }
      --left;
    });
  until([&] { return left == 0; }, "all shots end");
  same(wrong.load(), 0, "mixed answers");
  expect(good > 450, fmt::format("only {} of 900 went well", good.load()));
}

void bounded() {
  net::HttpClient o(1000, 2);
  StandIn a([](int, int, auto&) { return ok(""); }), b([](int, int, auto&) { return ok(""); }),
      c([](int, int, auto&) { return ok(""); });
  for (auto* w : {&a, &b, &c}) o.send(w->addr(), get(), rules());
  same(o.idle(), 2, "idle connections");
  same(o.connections_to(a.addr()), 0, "connections to the one longest idle");
  until([&] { return a.open == 0; }, "it is closed");
}
}  // namespace

std::vector<Case> origin_cases() {
  return {{"origin: late answers are skipped, on used connections only", stale},
          {"origin: an early answer ends its connection", early},
          {"origin: bytes behind an answer cost the connection", leftovers},
          {"origin: what is not one whole answer is unknown", strange},
          {"origin: an answer without an end is not waited for", endless},
          {"origin: a request is written as given", written},
          {"origin: kept connections age", ages},
          {"origin: an idle connection's end is noticed", noticed},
          {"origin: an address is held no more often than allowed", capped},
          {"origin: connecting is bounded", no_room},
          {"origin: nothing is mixed, whatever a worker does", never_mixed},
          {"origin: idle connections are bounded in all", bounded}};
}

}  // namespace dunlinwing::test
