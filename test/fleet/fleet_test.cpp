// A short run of a complete fleet of real processes, and HTTP framing cases that need real
// sockets. Waits for conditions, never for fixed times alone.
#include "fleet/fleet.hpp"

#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>

#include "checker/checker.hpp"
#include "net/address.hpp"
#include "support/expect.hpp"

DEFINE_string(bin, ".", "folder of the built programs");
DEFINE_string(dir, "fleet_test_run", "folder for settings, data, logs and journals");
DEFINE_int32(port, 24000, "the first of 700 loopback ports");

using namespace dunlinwing;
using namespace std::chrono_literals;

namespace {
// Sends the bytes unchanged and reads until the relay closes the connection, or for 1.2 s at most.
std::string raw(net::EventLoopPool& pool, const std::string& address, const std::string& bytes) {
  namespace asio = boost::asio;
  asio::ip::tcp::socket s(pool.io(0));
  auto a = net::parse_address(address);
  auto [e] = net::await<>([&](auto h) {
    s.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(a->ip), a->port), std::move(h));
  });
  if (e) return "cannot connect";
  net::await<size_t>([&](auto h) { asio::async_write(s, asio::buffer(bytes), std::move(h)); });
  std::string out;
  net::SystemClock clock;
  auto shut = std::make_shared<bool>(false);
  pool.spawn([&pool, shut, &s] {
    net::SystemClock c;
    for (int i = 0; i < 60 && !*shut; ++i) c.sleep(20ms);
    if (*shut) return;
    net::ErrorCode ec;
    s.cancel(ec);
  });
  for (;;) {
    char b[4096];
    auto [e2, n] = net::await<size_t>([&](auto h) { s.async_read_some(asio::buffer(b), std::move(h)); });
    if (e2) break;
    out.append(b, n);
    if (out.find("\r\n\r\n") != out.npos && bytes.find("close") != bytes.npos && out.size() > 4096) break;
  }
  *shut = true;
  clock.sleep(50ms);
  return out;
}

int count(const std::string& s, const std::string& what) {
  int n = 0;
  for (auto i = s.find(what); i != s.npos; i = s.find(what, i + 1)) ++n;
  return n;
}

void check_framing(net::EventLoopPool& pool, test::Fleet& fleet) {
  auto at = fleet.at("e2").client_address;
  auto starts = [&](const std::string& what, const std::string& bytes, const std::string& want) {
    auto r = raw(pool, at, bytes);
    test::expect(r.starts_with("HTTP/1.1 " + want), what + ": unexpected response " + r.substr(0, 60));
    return r;
  };
  starts("a plain request", "GET /lobbies/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200");
  starts("two lengths", "POST /fees HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
         "400");
  starts("a length and chunks",
         "POST /fees HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400");
  starts("no host", "GET /lobbies/1 HTTP/1.1\r\n\r\n", "400");
  starts("two hosts", "GET /lobbies/1 HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400");
  starts("nonsense", "\x01\x02 nonsense\r\n\r\n", "400");
  starts("a header section over the limit",
         "GET /lobbies/1 HTTP/1.1\r\nHost: x\r\nX: " + std::string(40000, 'x') + "\r\n\r\n", "431");
  starts("a body over the limit of the configuration",
         "POST /fees HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\nConnection: close\r\n\r\n" +
             std::string(70000, 'x'),
         "413");
  starts("no route", "GET /nowhere HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "404");
  starts("a method that the route does not allow",
         "DELETE /fees HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "405");
  starts("expect",
         "POST /fees HTTP/1.1\r\nHost: x\r\nCaller-Id: t-expect\r\nExpect: 100-continue\r\nContent-Length: "
         "2\r\nConnection: close\r\n\r\n{}",
         "100");
  auto ch = starts("chunks",
                   "POST /fees HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: "
                   "close\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
                   "200");
  auto head = starts("head", "HEAD /liveries/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "200");
  test::expect(head.substr(head.find("\r\n\r\n")).size() == 4, "a response to HEAD has a body");
  test::expect(head.find("Content-Length: 0\r\n") == head.npos, "a response to HEAD has Content-Length: 0");
  auto two = raw(pool, at,
                 "GET /lobbies/1 HTTP/1.1\r\nHost: x\r\n\r\nGET /lobbies/2 HTTP/1.1\r\nHost: "
                 "x\r\nConnection: close\r\n\r\n");
  test::same(count(two, "HTTP/1.1 200"), 2, "responses to two pipelined requests");
  test::expect(two.find("/lobbies/1") < two.find("/lobbies/2"), "pipelined responses out of order");
}

void check_control_api(test::Fleet& fleet) {
  auto response = fleet.http("e3", "PUT", "/v1/releases/layout/bad",
                             R"({"content":{"services":{},"routes":[{"prefix":"x"}]}})");
  test::same(response.status, 422, "an invalid configuration");
  for (auto* at : {"/content/services", "/content/routes/0/prefix", "/content/routes/0/service"})
    test::expect(response.body.find(std::string("{\"at\":\"") + at + "\"") != std::string::npos,
                 std::string("error location missing: ") + at + " in " + response.body);
  test::same(fleet.http("e3", "GET", "/v1/releases/layout/bad").status, 404, "a rejected release");
  auto again = fleet.http("e7", "PUT", "/v1/releases/layout/first", test::configuration_document("lobby"));
  test::same(again.status, 200, "the same release resent");
  test::same(
      fleet.http("e7", "PUT", "/v1/releases/layout/first", test::configuration_document("lobby", "7")).status,
      409, "a different release with the same name");
  test::same(
      fleet.http("s1", "PUT", "/v1/purges/one", R"({"service":"content","kind":"path","path":"/liveries/1"})")
          .status,
      200, "a purge");
  auto once = fleet.http("s2", "PUT", "/v1/purges/one",
                         R"({"service":"content","kind":"path","path":"/liveries/1"})");
  test::expect(once.body.find("\"was_known\":true") != std::string::npos,
               "a purge with a known name was accepted again");
  test::same(fleet.http("e1", "GET", "/v1/nonsense").status, 404, "an unknown resource");
  test::same(fleet.http("e1", "DELETE", "/v1/nodes").status, 405,
             "a method that the resource does not support");
}

void check_fleet(net::EventLoopPool& pool) {
  test::FleetConfig c{std::filesystem::absolute(FLAGS_dir).string(), FLAGS_bin, "lobby", FLAGS_port, 1500};
  test::Fleet fleet(pool, c);
  fleet.write_settings();
  std::string why;
  try {
    fleet.start_nodes();
    fleet.start_backends();
    test::expect(fleet.wait_until(30s, [&] { return fleet.http_any("GET", "/v1/nodes").status == 200; }),
                 "the control API did not respond");
    test::same(
        fleet.http_any("PUT", "/v1/releases/layout/first", test::configuration_document("lobby")).status, 202,
        "the first configuration");
    test::expect(fleet.all_ready(30s), "not all relays became ready");
    test::expect(
        fleet.wait_until(
            15s, [&] { return count(fleet.http_any("GET", "/v1/workers").body, "\"gone\":false") == 10; }),
        "not all backend instances are registered");
    check_framing(pool, fleet);
    check_control_api(fleet);
    fleet.watch_assignments();
    auto p = fleet.start_client("c1", 200, 20, 7);
    test::same(fleet.http_any("PUT", "/v1/releases/layout/second", test::configuration_document("lobby", "2"))
                   .status,
               202, "the second configuration");
    fleet.kill("e5");  // a replica, without SIGTERM
    fleet.wipe("e5");
    fleet.start("e5");
    fleet.terminate("e2");
    fleet.start("e2");
    // Clients send requests until the rollout is done, which needs their traffic as evidence.
    int round = 1;
    bool done = fleet.wait_until(150s, [&] {
      if (fleet.client_done(p)) {
        ++round;
        p = fleet.start_client(fmt::format("c{}", round), 200, 20, static_cast<uint64_t>(round));
      }
      return fleet.await_configuration_everywhere("second", 1s);
    });
    test::expect(done, "the second configuration does not run on all relays");
    test::expect(fleet.wait_until(60s, [&] { return fleet.client_done(p); }), "the client did not end");
    test::expect(fleet.all_ready(30s), "not all relays are ready at the end");
    for (auto& machine : fleet.machines())
      if (machine.kind != "worker")
        test::expect(fleet.http(machine.name, "GET", "/v1/releases/layout/second")
                             .body.find("\"document\":" + test::configuration_document("lobby", "2")) !=
                         std::string::npos,
                     machine.name + " does not return the acknowledged configuration byte for byte");
  } catch (const std::exception& e) {
    why = e.what();
  }
  fleet.stop_all();
  test::expect(why.empty(), why);
  test::Journals js;
  for (auto& e : std::filesystem::directory_iterator(c.directory))
    if (e.path().extension() == ".journal") js.read(e.path().string());
  auto r = test::check(js);
  for (auto& b : r.breaches)
    if (b.rule != 4 || b.what.find("an execution of  ") == b.what.npos)  // the raw requests have no Caller-Id
      if (b.rule != 4 || b.what.find("t-expect") == b.what.npos)
        throw test::Failed(fmt::format("rule {}: {}", b.rule, b.what));
  test::expect(r.figures["ok"] * 100 > r.figures["asked"] * 97,
               fmt::format("only {} of {} requests succeeded", r.figures["ok"], r.figures["asked"]));
}
}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::remove_all(FLAGS_dir);
  net::EventLoopPool pool(1);
  pool.run([&] {
    int rc = test::run_all({{"fleet: faults and a rollout under load", [&] { check_fleet(pool); }}}, "");
    net::EventLoopPool::stop(rc);
  });
}
