// The server met by raw connections: framing, bounds, budgets and its end.
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
    Served v({}, echo(), 0, to);
    Raw r(v.address);
    same(r.ask(kGet, "GET /a "), "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 7\r\n\r\nGET /a ", "an answer");
    same(r.ask("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 8\r\n\r\n", "an answer to HEAD");
    same(r.ask("HEAD /hollow HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"), "HTTP/1.1 200 OK\r\n\r\n",
         "an answer to HEAD whose length is not known");
    same(r.ask("GET /hollow HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "an empty answer");
    same(r.ask("GET /none HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"), "HTTP/1.1 204 No Content\r\n\r\n",
         "a 204");
    same(r.ask("GET /same HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\n"),
         "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n", "a 304");
    same(r.ask("GET /odd HTTP/1.1\r\nHost: h\r\n\r\n", "odd"),
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd", "framing by the handler");
    auto c = r.ask(
        "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3;x=y\r\n "
        "wo\r\n0\r\n\r\n",
        "hello wo");
    expect(c.find("Content-Length: 16\r\n") != c.npos, "a chunked request: " + c);
    same(
        r.ask("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", "\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n", "the go-ahead");
    r.ask("ok", "POST /e ok");
    r.send(kGet + "GET /b HTTP/1.1\r\nHost: h\r\n\r\n" +
           "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nz");
    r.read("GET /a ");
    r.read("GET /b ");
    r.read("POST /d z");
    std::string big(300000, 'b');
    r.ask("POST /big HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + big, "POST /big " + big);
    auto o = r.ask("GET /a HTTP/1.0\r\n\r\n");
    expect(r.ended && o.find("Connection: close") != o.npos, "HTTP/1.0 was kept open: " + o);
    Raw k(v.address);
    o = k.ask("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET /a ");
    expect(o.find("Connection: keep-alive") != o.npos, "HTTP/1.0 asked to be kept: " + o);
  }
}

void framing() {
  Served v({}, echo());
  for (std::string q :
       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "GET x HTTP/1.1\r\nHost: h\r\n\r\n",
        "nonsense\r\n\r\n", "GET / HTTP/1.1\r\nHo st: h\r\n\r\n"}) {
    Raw r(v.address);
    auto a = r.ask(q + kGet);
    expect(a.starts_with("HTTP/1.1 400") && r.ended && a.find("HTTP/1.1 ", 1) == a.npos,
           q + " was answered " + a);
  }
}

void bounds() {
  net::HttpLimits l;
  l.head_bytes = 500;
  l.body_bytes = 1000;
  Served v(l, echo());
  auto status = [&](const std::string& q) {
    Raw r(v.address);
    auto a = r.ask(q);
    expect(r.ended && a.find("Connection: close") != a.npos, "its connection was to end: " + a);
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
  Raw r(v.address);
  r.ask("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'), "xxx");
  l.head_bytes = 2000;
  v.s.set_limits(l);
  Raw after(v.address);
  after.ask("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n", "GET / ");
}

void slow() {
  net::HttpLimits l;
  l.idle_timeout = 200ms;
  l.head_timeout = l.body_timeout = l.write_timeout = 200ms;
  Served v(l, echo());
  Raw idle(v.address), head(v.address), body(v.address), kept(v.address);
  kept.ask(kGet, "GET /a ");
  head.send("GET / HT");
  body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nx");
  expect(head.read().starts_with("HTTP/1.1 408"), "a head that stopped was not told so");
  expect(body.read().starts_with("HTTP/1.1 408"), "a body that stopped was not told so");
  same(idle.read(), "", "an idle connection's last words");
  same(kept.read(), "", "a kept connection's last words");
}

void budget() {
  net::HttpLimits l;
  l.all_bodies_bytes = 1500;
  Served v(l, echo());
  Raw a(v.address);
  a.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n");
  std::string q = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 501\r\n\r\n" + std::string(501, 'x'), s;
  until(
      [&] {
        Raw b(v.address);
        b.send(q);
        s = b.read("\r\n\r\n");
        return s.starts_with("HTTP/1.1 503");
      },
      "a body beyond the budget is turned away");
  expect(s.find("Connection: close") != s.npos, "its connection was to end: " + s);
  expect(s.find("Retry-After: 1\r\n") != s.npos, "it was not told when to come back: " + s);
  Raw c(v.address);
  s = c.ask(
      "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1f5\r\n" + std::string(501, 'x'),
      "\r\n\r\n");
  expect(s.starts_with("HTTP/1.1 503"), "a chunked body beyond the budget: " + s);
  a.ask(std::string(1000, 'y'), "yyy");
  Raw d(v.address);
  expect(d.ask(q, "POST /2 x").starts_with("HTTP/1.1 200"), "the budget was not given back");
}

void ends() {
  Served v({}, echo());
  Raw a(v.address), b(v.address), fresh(v.address), half(v.address);
  a.ask(kGet, "GET /a ");
  b.ask(kGet, "GET /a ");
  half.send("GET /a HTTP/1.1\r\n");
  until([&] { return v.s.open_connections() == 4; }, "four connections");
  net::SystemClock().sleep(5ms);  // for the half head to be read
  v.s.drain();
  auto last = a.ask(kGet);
  expect(a.ended && last.find("Connection: close") != last.npos, "not the last answer: " + last);
  v.s.close_idle();
  same(b.read(), "", "what an idle connection was told");
  same(fresh.read(), "", "what a fresh connection was told");
  auto h = half.ask("Host: h\r\n\r\n");
  expect(h.starts_with("HTTP/1.1 200"), "a begun request was cut off");
}

void crowded() {
  net::HttpLimits l;
  l.max_connections = 2;
  Served v(l, echo());
  Raw a(v.address);
  a.ask(kGet, "GET /a ");
  Raw b(v.address);
  b.ask(kGet, "GET /a ");
  net::SystemClock().sleep(2ms);
  b.ask(kGet, "GET /a ");
  Raw c(v.address);
  c.ask(kGet, "GET /a ");
  same(a.read(), "", "the longest idle one");
  b.ask(kGet, "GET /a ");
  expect(v.s.open_connections() <= 2, "more connections than allowed");
}

// The server's thread is busy while a request arrives on another connection and that one is
// ended for being idle: the request must be answered all the same.
void unread_request(const std::function<void(Served&)>& end_idle) {
  std::unique_ptr<Raw> idle;
  std::unique_ptr<Served> server;
  net::HttpHandler handler = [&](base::Request& request) -> base::Response {
    if (request.target == "/busy") {
      idle->send(kGet);
      end_idle(*server);
    }
    return echo()(request);
  };
  server = std::make_unique<Served>(net::HttpLimits{}, handler);
  idle = std::make_unique<Raw>(server->address);
  idle->ask(kGet, "GET /a ");
  Raw busy(server->address);
  busy.ask("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n", "GET /busy ");
  expect(idle->read("GET /a ").starts_with("HTTP/1.1 200"), "a request that had come was cut off");
}

void closing_spares_what_came() {
  unread_request([](Served& server) { server.s.close_idle(); });
}

// A request comes after its connection was chosen to be ended as idle, and before the connection's fiber
// has ended it.
void ending_spares_what_came_meanwhile() {
  std::unique_ptr<Raw> idle;
  std::unique_ptr<Served> server;
  server = std::make_unique<Served>(net::HttpLimits{}, [&](base::Request& request) -> base::Response {
    if (request.target == "/busy") {
      server->s.close_idle();  // in the event loop's next turn
      boost::asio::post(pool().io(0), [&] { idle->send(kGet); });
    }
    return echo()(request);
  });
  idle = std::make_unique<Raw>(server->address);
  idle->ask(kGet, "GET /a ");
  Raw busy(server->address);
  busy.ask("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n", "GET /busy ");
  const auto last = idle->read();
  expect(last.starts_with("HTTP/1.1 200"), "a request that came meanwhile was cut off");
  expect(last.find("Connection: close") != last.npos, "not the last answer: " + last);
}

// The time of slow requests is over while their rests are read, piece by piece: what is handled all the same
// is answered.
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
  Served server(limits, [&](base::Request&) -> base::Response {
    ++handled;
    return {200, {}, "done"};
  });
  for (int i = 0; i < kRequests; ++i)
    pool().spawn([&, i] {
      Raw client(server.address);
      client.send(head);
      net::SystemClock().sleep(Duration(40 + i % 30));
      client.send(std::string(kBodyBytes, 'x'));
      answered += client.read("done").ends_with("done");
      --left;
    });
  until([&] { return left == 0; }, "all clients have an answer, or an end");
  same(answered, handled, "requests answered, of those that were handled");
}

// Idle connections are ended again and again while requests come on new ones: whatever the
// handler was given is answered.
void what_was_read_is_answered() {
  constexpr int kRequests = 200;
  int handled = 0, answered = 0;
  bool done = false, stopped = false;
  Served server({}, [&](base::Request& request) -> base::Response {
    ++handled;
    return echo()(request);
  });
  std::function<void()> end_idle = [&] {
    server.s.close_idle();
    if (done)
      stopped = true;
    else
      pool().spawn(end_idle);  // at each turn of the event loop
  };
  pool().spawn(end_idle);
  int left = kRequests;
  for (int i = 0; i < kRequests; ++i)
    pool().spawn([&] {
      Raw client(server.address);
      client.send(kGet);
      answered += client.read("GET /a ").ends_with("GET /a ");
      --left;
    });
  until([&] { return left == 0; }, "all clients have their answers, or an end");
  done = true;
  until([&] { return stopped; }, "the one who ends them ends");
  expect(handled > 0, "no request was read");
  same(answered, handled, "requests answered, of those that were read");
}

void shorter_idle_limit_spares_what_rests() {
  net::HttpLimits limits;
  limits.idle_timeout = 400ms;
  Served v(limits, echo());
  Raw a(v.address);
  a.ask(kGet, "GET /a ");
  net::SystemClock().sleep(100ms);
  limits.idle_timeout = 50ms;  // the client went by the limit of before
  v.s.set_limits(limits);
  net::SystemClock().sleep(200ms);
  expect(a.ask(kGet, "GET /a ").starts_with("HTTP/1.1 200"), "the limit of before did not hold");
  net::SystemClock().sleep(300ms);
  same(a.read(), "", "the new limit holds from the next request on");
}

// Connections that wait for room make busy ones end with their answer.
void crowded_answers_are_the_last() {
  net::HttpLimits limits;
  limits.max_connections = 1;
  std::unique_ptr<Served> server;
  server = std::make_unique<Served>(limits, [](base::Request& request) -> base::Response {
    net::SystemClock().sleep(50ms);
    return echo()(request);
  });
  Raw a(server->address);
  a.send(kGet);
  until([&] { return server->s.running_requests() == 1; }, "it runs");
  Raw b(server->address);
  net::SystemClock().sleep(20ms);
  auto last = a.read();
  expect(a.ended && last.find("Connection: close") != last.npos, "not the last answer: " + last);
  b.ask(kGet, "GET /a ");
}

void unread() {
  net::HttpLimits l;
  l.write_timeout = 200ms;
  Served v(l, [](base::Request&) -> base::Response { return {200, {}, std::string(64 << 20, 'x')}; });
  Raw a(v.address);
  a.send(kGet);
  until([&] { return v.s.running_requests() == 1; }, "it runs");
  until([&] { return v.s.open_connections() == 0 && v.s.running_requests() == 0; },
        "an answer nobody reads is given up");
}

void trailers() {
  Served v({}, [](base::Request& request) -> base::Response {
    return {200, {}, base::header(request.headers, "X") + "!" + request.body};
  });
  Raw r(v.address);
  auto a =
      r.ask("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: late\r\n\r\n",
            "!a");
  expect(a.ends_with("\r\n\r\n!a"), "a trailer became a header: " + a);
}

// No descriptor is left when a connection comes; it is taken once there is one.
void no_descriptors() {
  Served v({}, echo());
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
    Raw r(v.address);
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
      int port = 20000 + ::getpid() % 2000;  // below those that the system gives out
      do address = fmt::format("127.0.0.1:{}", ++port);
      while (srv->listen(address, 0, 1));
      up = true;
    });
  }).detach();
  until([&] { return up.load(); }, "the lone thread runs");
  Raw r(address);
  for (int i = 0; i < 50; ++i) r.ask(kGet, "GET /a ");
}
}  // namespace

std::vector<Case> server_cases() {
  return {{"server: answers are framed as they must be, whatever the thread", answers},
          {"server: what could be read in two ways is turned away", framing},
          {"server: heads and bodies are bounded, and the bounds may change", bounds},
          {"server: what is slow is told so, what is idle just ends", slow},
          {"server: all bodies together are bounded", budget},
          {"server: winding down ends idle connections and finishes begun ones", ends},
          {"server: beyond its bound the longest idle connection goes", crowded},
          {"server: a request that has come is not cut off as idle", closing_spares_what_came},
          {"server: a request that comes while its connection is being ended is answered",
           ending_spares_what_came_meanwhile},
          {"server: a slow request that was read after all is answered", overdue_but_read_is_answered},
          {"server: what was read is answered, whoever ends idle connections", what_was_read_is_answered},
          {"server: a shorter idle limit spares what rests already", shorter_idle_limit_spares_what_rests},
          {"server: an answer is the last while others wait for room", crowded_answers_are_the_last},
          {"server: an answer nobody reads is given up", unread},
          {"server: what trails a chunked body is no header", trailers},
          {"server: running out of descriptors passes", no_descriptors},
          {"server: one thread is enough", lone_thread}};
}

}  // namespace dunlinwing::test
