// The HTTP server, tested over raw connections: framing, limits, the body budget and shutdown.
#include <sys/resource.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <thread>

#include "net/net_cases.hpp"

namespace dunlinwing::test {
namespace {
const std::string kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
net::HttpHandler echo() {
  return [](base::Request& request) -> base::Response {
    if (request.target == "/hollow") return {200, {}, ""};
    if (request.target == "/none") return {204, {}, "left out"};
    if (request.target == "/same") return {304, {{"ETag", "\"1\""}}, "left out"};
    if (request.target == "/odd") return {200, {{"Connection", "close"}, {"Content-Length", "99"}}, "odd"};
    return {200, {{"X", "y"}}, request.method + " " + request.target + " " + request.body};
  };
}

void answers() {
  for (int to : {1, 3}) {
    TestServer server({}, echo(), 0, to);
    RawClient r(server.address);
    same(r.exchange(kGet, "GET /a "), "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 7\r\n\r\nGET /a ",
         "an answer");
    same(r.exchange("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 8\r\n\r\n", "an answer to HEAD");
    same(r.exchange("HEAD /hollow HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"), "HTTP/1.1 200 OK\r\n\r\n",
         "a response to HEAD of unknown length");
    same(r.exchange("GET /hollow HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "an empty answer");
    same(r.exchange("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"), "HTTP/1.1 204 No Content\r\n\r\n",
         "a 204");
    same(r.exchange("GET /same HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n", "a 304");
    same(r.exchange("GET /odd HTTP/1.1\r\nHost: h\r\n\r\n", "odd"),
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd", "framing headers set by the handler");
    auto c = r.exchange(
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3;x=y\r\n "
        "wo\r\n0\r\n\r\n",
        "hello wo");
    expect(c.find("Content-Length: 16\r\n") != c.npos, "a chunked request: " + c);
    same(r.exchange("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
                    "\r\n\r\n"),
         "HTTP/1.1 100 Continue\r\n\r\n", "the 100 Continue response");
    r.exchange("ok", "POST /e ok");
    r.send(kGet + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n" +
           "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nz");
    r.read("GET /a ");
    r.read("GET /b ");
    r.read("POST /d z");
    std::string big(300000, 'b');
    r.exchange("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + big, "POST /big " + big);
    auto o = r.exchange("GET /a HTTP/1.0\r\n\r\n");
    expect(r.ended && o.find("Connection: close") != o.npos, "an HTTP/1.0 connection was kept open: " + o);
    RawClient k(server.address);
    o = k.exchange("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /a ");
    expect(o.find("Connection: keep-alive") != o.npos,
           "an HTTP/1.0 request with Connection: keep-alive was answered: " + o);
  }
}

void framing() {
  TestServer server({}, echo());
  for (std::string q :
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET x HTTP/1.1\r\nHost: h\r\n\r\n",
        "nonsense\r\n\r\n", "GET / HTTP/1.1\r\nHo st: h\r\n\r\n"}) {
    RawClient r(server.address);
    auto a = r.exchange(q + kGet);
    expect(a.starts_with("HTTP/1.1 400") && r.ended && a.find("HTTP/1.1 ", 1) == a.npos,
           q + " was answered " + a);
  }
}

void bounds() {
  net::HttpLimits l;
  l.head_bytes = 500;
  l.body_bytes = 1000;
  TestServer server(l, echo());
  auto status = [&](const std::string& q) {
    RawClient r(server.address);
    auto a = r.exchange(q);
    expect(r.ended && a.find("Connection: close") != a.npos, "the connection was not closed: " + a);
    return a.substr(9, 3);
  };
  same(status("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n"), "431", "a long head");
  same(status("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x')), "431",
       "a long head without an end");
  same(status("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x')), "413",
       "a long body");
  same(status("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
              std::string(1001, 'x')),
       "413", "a long body in chunks");
  RawClient r(server.address);
  r.exchange("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'), "xxx");
  l.head_bytes = 2000;
  server.http_server.set_limits(l);
  RawClient after(server.address);
  after.exchange("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "GET / ");
}

void slow() {
  net::HttpLimits l;
  l.idle_timeout = 200ms;
  l.head_timeout = l.body_timeout = l.write_timeout = 200ms;
  TestServer server(l, echo());
  RawClient idle(server.address), head(server.address), body(server.address), kept(server.address);
  kept.exchange(kGet, "GET /a ");
  head.send("GET / HT");
  body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
  expect(head.read().starts_with("HTTP/1.1 408"), "an incomplete head was not answered with 408");
  expect(body.read().starts_with("HTTP/1.1 408"), "an incomplete body was not answered with 408");
  same(idle.read(), "", "bytes sent before closing an idle connection");
  same(kept.read(), "", "bytes sent before closing a keep-alive connection");
}

void budget() {
  net::HttpLimits l;
  l.all_bodies_bytes = 1500;
  TestServer server(l, echo());
  RawClient a(server.address);
  a.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  std::string q = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 501\r\n\r\n" + std::string(501, 'x'), s;
  until(
      [&] {
        RawClient b(server.address);
        b.send(q);
        s = b.read("\r\n\r\n");
        return s.starts_with("HTTP/1.1 503");
      },
      "a body beyond the budget is rejected");
  expect(s.find("Connection: close") != s.npos, "no Connection: close: " + s);
  expect(s.find("Retry-After: 1\r\n") != s.npos, "no Retry-After: " + s);
  RawClient c(server.address);
  s = c.exchange(
      "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f5\r\n" + std::string(501, 'x'),
      "\r\n\r\n");
  expect(s.starts_with("HTTP/1.1 503"), "a chunked body beyond the budget: " + s);
  a.exchange(std::string(1000, 'y'), "yyy");
  RawClient d(server.address);
  expect(d.exchange(q, "POST /2 x").starts_with("HTTP/1.1 200"), "the budget was not released");
}

void ends() {
  TestServer server({}, echo());
  RawClient a(server.address), b(server.address), fresh(server.address), half(server.address);
  a.exchange(kGet, "GET /a ");
  b.exchange(kGet, "GET /a ");
  half.send("GET /a HTTP/1.1\r\n");
  until([&] { return server.http_server.open_connections() == 4; }, "four connections");
  net::SystemClock().sleep(5ms);  // until the incomplete head has been read
  server.http_server.drain();
  auto last = a.exchange(kGet);
  expect(a.ended && last.find("Connection: close") != last.npos,
         "the response is not the last on its connection: " + last);
  server.http_server.close_idle();
  same(b.read(), "", "bytes sent before closing an idle connection");
  same(fresh.read(), "", "bytes sent before closing an unused connection");
  auto h = half.exchange("Host: h\r\n\r\n");
  expect(h.starts_with("HTTP/1.1 200"), "a partly received request was dropped");
}

void crowded() {
  net::HttpLimits l;
  l.max_connections = 2;
  TestServer server(l, echo());
  RawClient a(server.address);
  a.exchange(kGet, "GET /a ");
  RawClient b(server.address);
  b.exchange(kGet, "GET /a ");
  net::SystemClock().sleep(2ms);
  b.exchange(kGet, "GET /a ");
  RawClient c(server.address);
  c.exchange(kGet, "GET /a ");
  same(a.read(), "", "bytes sent before closing the longest idle connection");
  b.exchange(kGet, "GET /a ");
  expect(server.http_server.open_connections() <= 2, "more connections than allowed");
}

// While the server's thread is busy, a request arrives on another connection, which is then closed as idle:
// the request must still be answered.
void unread_request(const std::function<void(TestServer&)>& end_idle) {
  std::unique_ptr<RawClient> idle;
  std::unique_ptr<TestServer> server;
  net::HttpHandler handler = [&](base::Request& request) -> base::Response {
    if (request.target == "/busy") {
      idle->send(kGet);
      end_idle(*server);
    }
    return echo()(request);
  };
  server = std::make_unique<TestServer>(net::HttpLimits{}, handler);
  idle = std::make_unique<RawClient>(server->address);
  idle->exchange(kGet, "GET /a ");
  RawClient busy(server->address);
  busy.exchange("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n", "GET /busy ");
  expect(idle->read("GET /a ").starts_with("HTTP/1.1 200"), "a received request was dropped");
}

void closing_spares_what_came() {
  unread_request([](TestServer& server) { server.http_server.close_idle(); });
}

// A request arrives after its connection was selected to be closed as idle, and before the connection's fiber
// has closed it.
void ending_spares_what_came_meanwhile() {
  std::unique_ptr<RawClient> idle;
  std::unique_ptr<TestServer> server;
  server = std::make_unique<TestServer>(net::HttpLimits{}, [&](base::Request& request) -> base::Response {
    if (request.target == "/busy") {
      server->http_server.close_idle();  // takes effect in the event loop's next iteration
      boost::asio::post(pool().io(0), [&] { idle->send(kGet); });
    }
    return echo()(request);
  });
  idle = std::make_unique<RawClient>(server->address);
  idle->exchange(kGet, "GET /a ");
  RawClient busy(server->address);
  busy.exchange("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n", "GET /busy ");
  const auto last = idle->read();
  expect(last.starts_with("HTTP/1.1 200"), "a request received meanwhile was dropped");
  expect(last.find("Connection: close") != last.npos,
         "the response is not the last on its connection: " + last);
}

// Slow requests exceed their time limit while their remaining bytes are read: every request that is handled
// must also be answered.
void overdue_but_read_is_answered() {
  constexpr int kRequests = 150;
  constexpr size_t kBodyBytes = 400000;
  const std::string head =
      fmt::format("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kBodyBytes);
  int handled = 0;
  int answered = 0;
  int left = kRequests;
  net::HttpLimits limits;
  limits.body_timeout = 50ms;
  TestServer server(limits, [&](base::Request&) -> base::Response {
    ++handled;
    return {200, {}, "done"};
  });
  for (int i = 0; i < kRequests; ++i)
    pool().spawn([&, i] {
      RawClient client(server.address);
      client.send(head);
      net::SystemClock().sleep(Duration(40 + i % 30));
      client.send(std::string(kBodyBytes, 'x'));
      answered += client.read("done").ends_with("done");
      --left;
    });
  until([&] { return left == 0; }, "all clients have a response or a closed connection");
  same(answered, handled, "requests answered, of those that were handled");
}

// Idle connections are closed repeatedly while requests arrive on new ones: every handled request is
// answered.
void what_was_read_is_answered() {
  constexpr int kRequests = 200;
  int handled = 0, answered = 0;
  bool done = false, stopped = false;
  TestServer server({}, [&](base::Request& request) -> base::Response {
    ++handled;
    return echo()(request);
  });
  std::function<void()> end_idle = [&] {
    server.http_server.close_idle();
    if (done)
      stopped = true;
    else
      pool().spawn(end_idle);  // in each iteration of the event loop
  };
  pool().spawn(end_idle);
  int left = kRequests;
  for (int i = 0; i < kRequests; ++i)
    pool().spawn([&] {
      RawClient client(server.address);
      client.send(kGet);
      answered += client.read("GET /a ").ends_with("GET /a ");
      --left;
    });
  until([&] { return left == 0; }, "all clients have a response or a closed connection");
  done = true;
  until([&] { return stopped; }, "the fiber that closes idle connections ends");
  expect(handled > 0, "no request was read");
  same(answered, handled, "requests answered, of those that were read");
}

void shorter_idle_limit_spares_what_rests() {
  net::HttpLimits limits;
  limits.idle_timeout = 400ms;
  TestServer server(limits, echo());
  RawClient a(server.address);
  a.exchange(kGet, "GET /a ");
  net::SystemClock().sleep(100ms);
  limits.idle_timeout = 50ms;  // the client relies on the previous limit
  server.http_server.set_limits(limits);
  net::SystemClock().sleep(200ms);
  expect(a.exchange(kGet, "GET /a ").starts_with("HTTP/1.1 200"),
         "the previous limit was not applied to the idle connection");
  net::SystemClock().sleep(300ms);
  same(a.read(), "", "bytes sent before closing under the new limit");
}

// While connections wait to be accepted, busy ones are closed after their response.
void crowded_answers_are_the_last() {
  net::HttpLimits limits;
  limits.max_connections = 1;
  std::unique_ptr<TestServer> server;
  server = std::make_unique<TestServer>(limits, [](base::Request& request) -> base::Response {
    net::SystemClock().sleep(50ms);
    return echo()(request);
  });
  RawClient a(server->address);
  a.send(kGet);
  until([&] { return server->http_server.running_requests() == 1; }, "the request runs");
  RawClient b(server->address);
  net::SystemClock().sleep(20ms);
  auto last = a.read();
  expect(a.ended && last.find("Connection: close") != last.npos,
         "the response is not the last on its connection: " + last);
  b.exchange(kGet, "GET /a ");
}

void unread() {
  net::HttpLimits l;
  l.write_timeout = 200ms;
  TestServer server(l, [](base::Request&) -> base::Response {
    return {200, {}, std::string(64 << 20, 'x')};
  });
  RawClient a(server.address);
  a.send(kGet);
  until([&] { return server.http_server.running_requests() == 1; }, "the request runs");
  until(
      [&] {
        return server.http_server.open_connections() == 0 && server.http_server.running_requests() == 0;
      },
      "an unread response is abandoned");
}

void trailers() {
  TestServer server({}, [](base::Request& request) -> base::Response {
    return {200, {}, base::header(request.headers, "X") + "!" + request.body};
  });
  RawClient r(server.address);
  auto a = r.exchange(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: late\r\n\r\n",
      "!a");
  expect(a.ends_with("\r\n\r\n!a"), "a trailer became a header: " + a);
}

// No descriptor is free when a connection arrives; it is accepted once there is one.
void no_descriptors() {
  TestServer server({}, echo());
  rlimit was{};
  ::getrlimit(RLIMIT_NOFILE, &was);
  rlimit few{256, was.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &few);
  std::vector<int> taken;
  for (int fd; (fd = ::dup(1)) >= 0;) taken.push_back(fd);
  if (!taken.empty()) {
    ::close(taken.back());
    taken.pop_back();
  }
  {
    RawClient r(server.address);
    r.send(kGet);
    net::SystemClock().sleep(5ms);
    for (int fd : taken) ::close(fd);
    ::setrlimit(RLIMIT_NOFILE, &was);
    expect(r.read("GET /a ").starts_with("HTTP/1.1 200"), "the connection was lost");
  }
}

void lone_thread() {
  auto* one = new net::EventLoopPool(1);
  auto* srv = new net::HttpServer(*one, "one", {}, echo());
  std::atomic<bool> up{false};
  std::string address;
  std::thread([&] {
    one->run([&] {
      int port = 20000 + ::getpid() % 2000;  // below the ephemeral ports
      do address = fmt::format("127.0.0.1:{}", ++port);
      while (srv->listen(address, 0, 1));
      up = true;
    });
  }).detach();
  until([&] { return up.load(); }, "the lone thread runs");
  RawClient r(address);
  for (int i = 0; i < 50; ++i) r.exchange(kGet, "GET /a ");
}
}  // namespace

std::vector<Case> server_cases() {
  return {{"server: answers are framed correctly on every thread", answers},
          {"server: ambiguous framing is rejected", framing},
          {"server: heads and bodies are limited, and the limits may change", bounds},
          {"server: slow requests get a 408, idle connections are closed", slow},
          {"server: the bytes of all bodies together are limited", budget},
          {"server: draining closes idle connections and finishes running requests", ends},
          {"server: beyond the limit the longest idle connection is closed", crowded},
          {"server: a request that has come is not cut off as idle", closing_spares_what_came},
          {"server: a request that comes while its connection is being ended is answered",
           ending_spares_what_came_meanwhile},
          {"server: a slow request that was read after all is answered", overdue_but_read_is_answered},
          {"server: what was read is answered while idle connections are closed", what_was_read_is_answered},
          {"server: a shorter idle limit does not affect connections already idle",
           shorter_idle_limit_spares_what_rests},
          {"server: an answer is the last while others wait for room", crowded_answers_are_the_last},
          {"server: an unread answer is abandoned", unread},
          {"server: a trailer of a chunked body does not become a header", trailers},
          {"server: recovers from running out of descriptors", no_descriptors},
          {"server: works with a single thread", lone_thread}};
}

}  // namespace dunlinwing::test
