// HttpClient with a scripted backend that truncates responses, sends extra or invalid ones, or responds late.
#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
using base::AttemptError;
using AttemptResult = std::variant<base::Response, AttemptError>;

std::string ok(const std::string& body, const std::string& more = "") {
  return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", more, body.size(), body);
}
base::Request get(const std::string& m = "GET") { return {"", m, "/", "", {}}; }
base::AttemptRules rules(bool safe = true) {
  base::AttemptRules r(10s);
  r.idempotent = safe;
  return r;
}
bool unknown(const AttemptResult& s) {
  auto* d = std::get_if<AttemptError>(&s);
  return d && *d == AttemptError::unknown;
}
std::string body(const AttemptResult& s) {
  auto* a = std::get_if<base::Response>(&s);
  return a ? a->body : "a defect";
}

void stale() {
  auto mine = [](const std::string& b) {
    return [b](const base::Response& response) { return response.body == b; };
  };
  ScriptedBackend backend([](int, int n, auto&) {
    return n == 0   ? ok("0")
           : n == 1 ? ok("old") + ok("older") + ok("1")
           : n == 2 ? ok("used")
           : n == 3 ? ok("a") + ok("b") + ok("c") + ok("2")
                    : ok("not");
  });
  net::HttpClient client(1 << 20);
  auto r = rules();
  r.is_own_response = mine("0");
  same(body(client.send(backend.addr(), get(), r)), "0", "the first");
  r.is_own_response = mine("1");
  same(body(client.send(backend.addr(), get(), r)), "1", "the response after two late ones");
  same(backend.connection_count, 1, "connections");
  same(client.connections_to(backend.addr()), 0, "open connections after another request's response");
  r.is_own_response = mine("used");
  same(body(client.send(backend.addr(), get(), r)), "used", "the first response on a new connection");
  r.is_own_response = mine("2");
  expect(unknown(client.send(backend.addr(), get(), r)), "three responses were skipped");
  same(backend.connection_count, 2, "connections");
  r.is_own_response = mine("3");
  expect(unknown(client.send(backend.addr(), get(), r)), "a new connection's first response was skipped");
  same(backend.connection_count, 3, "connections");
  same(client.connections_to(backend.addr()), 0, "open connections after failed attempts");
}

// A response arrives before its request was sent completely. With an Id it is accepted; without one, on a
// reused connection, it is not. In both cases the connection is closed.
void early() {
  const std::string large(8 << 20, 'b');  // more than the socket buffers hold
  for (bool has_name : {true, false}) {
    ScriptedBackend backend(
        [&](int, int n, auto&) { return ok(n ? "early" : "first", has_name || !n ? "Id: x\r\n" : ""); });
    net::HttpClient client(1 << 20);
    auto r = rules();
    r.lacks_request_id = [](const base::Response& x) { return base::header(x.headers, "Id").empty(); };
    same(body(client.send(backend.addr(), get(), r)), "first", "the first on the connection");
    auto s = client.send(backend.addr(), {"", "POST", "/", large, {}}, r);
    same(backend.connection_count, 1, "connections");
    same(body(s), has_name ? "early" : "a defect", "an early response");
    same(client.connections_to(backend.addr()), 0, "open connections after an early response");
  }
}

void leftovers() {
  ScriptedBackend backend(
      [](int, int n, auto&) { return n % 2 ? ok("x") : ok("good") + ok("nobody asked"); });
  net::HttpClient client(1 << 20);
  same(body(client.send(backend.addr(), get(), rules())), "good",
       "a complete response followed by extra bytes");
  same(body(client.send(backend.addr(), get(), rules())), "x", "the next response");
  same(backend.connection_count, 2, "connections");
  ScriptedBackend late([](int, int, auto&) { return ok("good"); });
  same(body(client.send(late.addr(), get(), rules())), "good", "an answer");
}

void strange() {
  for (std::string a : {std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"), ok(std::string(2000, 'x')),
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcut"),
                        std::string("reset"), std::string("cut"), std::string("garbage garbage\r\n\r\n"),
                        std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
                        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")}) {
    ScriptedBackend backend([a](int, int, auto&) { return a; });
    net::HttpClient client(1000);
    expect(unknown(client.send(backend.addr(), get(), rules())),
           "accepted as a complete response: " + a.substr(0, 60));
    same(client.connections_to(backend.addr()), 0, "open connections");
  }
  ScriptedBackend backend([](int, int n, auto&) {
    if (n == 0)
      return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok("zip", "Content-Encoding: gzip\r\n");
    if (n == 1) return std::string("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
    if (n == 2)
      return std::string(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    if (n == 3) return std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n");
    return ok("last", "Connection: close\r\n");
  });
  net::HttpClient client(1000);
  auto a = std::get<base::Response>(client.send(backend.addr(), get(), rules()));
  same(a.body, "zip", "an answer after an interim one");
  same(base::header(a.headers, "Content-Encoding"), "gzip", "its encoding");
  same(body(client.send(backend.addr(), get("HEAD"), rules())), "", "an answer to HEAD");
  same(body(client.send(backend.addr(), get(), rules())), "abc", "a chunked answer");
  same(body(client.send(backend.addr(), get(), rules())), "", "a 304");
  same(body(client.send(backend.addr(), get(), rules())), "last", "the last answer");
  same(backend.connection_count, 1, "connections");
  same(client.connections_to(backend.addr()), 0, "open connections after Connection: close");
}

// A response delimited only by the end of its connection cannot be distinguished from a truncated one, so
// the client does not wait for its end.
void endless() {
  ScriptedBackend backend(
      [](int, int, auto&) { return std::string("HTTP/1.1 200 OK\r\n\r\nuntil I close"); });
  net::HttpClient client(1000);
  net::SystemClock clock;
  auto from = clock.now();
  expect(unknown(client.send(backend.addr(), get(), rules())), "accepted as a complete response");
  expect(clock.now() - from < rules().timeout / 2, "the client waited for the end of the response");
}

void written() {
  std::string head;
  ScriptedBackend backend([&](int, int, auto& h) {
    head = h;
    return ok("");
  });
  net::HttpClient client(1000);
  client.send(backend.addr(),
              {"", "POST", "/p?q=1", "", {{"Host", "given"}, {"X-A", "b"}, {"content-length", "7"}}},
              rules());
  same(head, "POST /p?q=1 HTTP/1.1\r\nHost: given\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
       "what was written");
  client.send(backend.addr(), get("PURGE"), rules());
  same(head, "PURGE / HTTP/1.1\r\nHost: " + backend.addr() + "\r\n\r\n", "what was written");
}

void ages() {
  ScriptedBackend backend([](int, int n, auto&) {
    return ok("", n == 0 ? "Keep-Alive: timeout=0\r\n" : "Keep-Alive: max=9, timeout=1\r\n");
  });
  net::HttpClient client(1000);
  net::SystemClock c;
  client.send(backend.addr(), get(), rules());
  client.send(backend.addr(), get(), rules(false));
  same(backend.connection_count, 2, "connections after one with Keep-Alive timeout 0");
  client.send(backend.addr(), get(), rules(false));
  same(backend.connection_count, 2, "connections within the period for non-idempotent requests");
  c.sleep(340ms);
  client.send(backend.addr(), get(), rules(false));
  same(backend.connection_count, 3, "connections after the period for non-idempotent requests");
  client.send(backend.addr(), get(), rules(true));
  same(backend.connection_count, 3, "connections for an idempotent request");
  c.sleep(710ms);
  client.send(backend.addr(), get(), rules(true));
  same(backend.connection_count, 4, "connections after the period for idempotent requests");
  until([&] { return backend.open == 1; }, "expired connections are closed");
}

void noticed() {
  ScriptedBackend backend([](int, int, auto&) { return ok("") + "cut"; });
  net::HttpClient client(1000);
  client.send(backend.addr(), get(), rules());
  until([&] { return client.idle() == 0 && client.connections_to(backend.addr()) == 0; },
        "the end of an idle connection is noticed");
}

void capped() {
  auto condition = pool().condition();
  int inside = 0;
  ScriptedBackend backend([&](int, int n, auto&) {
    if (n == 0) {
      ++inside;
      condition->wait(10s);
    }
    return ok(std::to_string(n));
  });
  net::HttpClient client(1000);
  auto r = rules();
  r.max_connections = 1;
  std::string first, second;
  pool().spawn([&] { first = body(client.send(backend.addr(), get(), r)); });
  until([&] { return inside == 1; }, "the first request runs");
  auto quick = r;
  quick.connect_timeout = 20ms;
  auto s = client.send(backend.addr(), get(), quick);
  expect(std::get_if<AttemptError>(&s) && std::get<AttemptError>(s) == AttemptError::not_sent,
         "more connections than allowed");
  pool().spawn([&] { second = body(client.send(backend.addr(), get(), r)); });
  condition->notify();
  until([&] { return !second.empty(); }, "the second request is answered");
  same(first + second, "01", "answers");
  same(backend.connection_count, 1, "connections");
  same(client.connections_to(backend.addr()), 1, "open connections");
  auto done = std::make_shared<std::atomic<int>>(0);
  for (int i : {1, 2})
    pool().spawn_on(i, [&client, r, a = backend.addr(), done] {
      if (std::holds_alternative<base::Response>(client.send(a, get(), r))) ++*done;
    });
  until([&] { return *done == 2; }, "requests on other threads are answered");
  expect(client.connections_to(backend.addr()) <= 1, "more connections than allowed");
}

// A full backlog does not respond to connection attempts; the connect timeout applies.
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
    expect(full.size() < 20, "the backlog accepts more connections than expected");
  }
  net::HttpClient client(1000);
  auto r = rules();
  r.connect_timeout = 50ms;
  auto s = client.send(address, get(), r);
  auto* d = std::get_if<AttemptError>(&s);
  expect(d && *d == AttemptError::not_sent, "an attempt without a connection did not fail as unsent");
  same(client.connections_to(address), 0, "open connections");
  expect(!client.can_connect(address, 50ms), "can_connect() succeeded");
}

// Whatever a backend does, an accepted response belongs to the request.
void never_mixed() {
  ScriptedBackend backend([](int, int n, const std::string& head) {
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
  net::HttpClient client(1000);
  std::atomic<int> left{6}, good{0}, wrong{0};
  for (int f = 0; f < 6; ++f)
    pool().spawn_on(f % 3, [&, f, a = backend.addr()] {
      for (int i = 0; i < 150; ++i) {
        auto id = fmt::format("{}-{}", f, i);
        base::AttemptRules r(50ms);
        r.idempotent = i % 2;
        r.max_connections = 4;
        r.is_own_response = [&id](const base::Response& x) { return base::header(x.headers, "Id") == id; };
        auto s = client.send(a, {"", i % 2 ? "GET" : "POST", "/", "", {{"Id", id}}}, r);
        if (auto* x = std::get_if<base::Response>(&s)) ++(x->body == id ? good : wrong);
        if (client.connections_to(a) > 4) ++wrong;
      }
      --left;
    });
  until([&] { return left == 0; }, "all attempts end");
  same(wrong.load(), 0, "responses matched to the wrong request");
  expect(good > 450, fmt::format("only {} of 900 requests succeeded", good.load()));
}

void bounded() {
  net::HttpClient client(1000, 2);
  ScriptedBackend a([](int, int, auto&) { return ok(""); }), b([](int, int, auto&) { return ok(""); }),
      c([](int, int, auto&) { return ok(""); });
  for (auto* backend : {&a, &b, &c}) client.send(backend->addr(), get(), rules());
  same(client.idle(), 2, "idle connections");
  same(client.connections_to(a.addr()), 0, "connections to the address that was idle longest");
  until([&] { return a.open == 0; }, "its connection is closed");
}
}  // namespace

std::vector<Case> origin_cases() {
  return {{"origin: late answers are skipped, on used connections only", stale},
          {"origin: an early answer ends its connection", early},
          {"origin: bytes behind an answer close the connection", leftovers},
          {"origin: anything but one complete answer gives an unknown outcome", strange},
          {"origin: an answer without an end is not waited for", endless},
          {"origin: a request is written as given", written},
          {"origin: kept connections age", ages},
          {"origin: an idle connection's end is noticed", noticed},
          {"origin: connections to an address are bounded", capped},
          {"origin: connecting is bounded", no_room},
          {"origin: answers are never matched to another request", never_mixed},
          {"origin: idle connections are bounded in all", bounded}};
}

}  // namespace dunlinwing::test
