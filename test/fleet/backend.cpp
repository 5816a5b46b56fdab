// A simulated backend instance: sends heartbeats to any relay, executes requests that address
// this instance, journals each before the response, and injects the faults given by its flags.
#include <gflags/gflags.h>

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "base/log.hpp"
#include "net/http.hpp"
#include "support/journal.hpp"

DEFINE_string(service, "", "service of the instance");
DEFINE_string(runs, "1", "version of the service");
DEFINE_string(zone, "a", "zone of the instance");
DEFINE_string(address, "", "IP:port to listen on");
DEFINE_string(relays, "", "control addresses of relays, separated by commas");
DEFINE_string(journal, "", "file to which executed requests are journalled");
DEFINE_int32(period_ms, 1000, "time between two heartbeats");
DEFINE_int32(capacity, 32, "concurrent requests");
DEFINE_int32(max_age, 0, "cache lifetime of responses to GET, in seconds");
DEFINE_int32(pad, 64, "bytes of padding in each response");
DEFINE_int32(work_ms, 2, "execution time of each request");
DEFINE_string(fault, "none", "none, error, wrong_bytes, lose_answer, slow, wrong_name");
DEFINE_int32(fault_percent, 100, "percentage of requests with the fault");

using namespace std::chrono_literals;
using namespace dunlinwing;

namespace {
constexpr base::Log logger("worker");

struct App {
  net::EventLoopPool pool{2};
  net::SystemClock clock;
  net::SystemRandom random;
  net::HttpClient post{1 << 20};
  test::Journal journal{FLAGS_journal};
  std::string instance = base::random_token(random).substr(0, 12);
  std::vector<std::string> relays;
  std::atomic<int> load{0};
  std::atomic<bool> leaving{false};
  uint64_t number = 0;

  base::Response answer(base::Request& request) {
    auto h = [&](const char* n) { return base::header(request.headers, n); };
    if (h("Dunlinwing-Service") != FLAGS_service || h("Dunlinwing-Version") != FLAGS_runs ||
        h("Dunlinwing-Instance") != instance)
      return {421,
              {{"Dunlinwing-Outcome", "not-run"},
               {"Dunlinwing-Instance", instance},
               {"Dunlinwing-Request", h("Dunlinwing-Request")}},
              "not the worker you meant\n"};
    auto id = h("Caller-Id");
    ++load;
    bool hit = static_cast<int>(random.below(100)) < FLAGS_fault_percent;
    auto fault = hit ? FLAGS_fault : std::string("none");
    auto at = clock.now().count();
    clock.sleep(Duration(fault == "slow" ? FLAGS_work_ms * 500 : FLAGS_work_ms));
    auto body = fmt::format(
        R"({{"service":"{}","version":"{}","instance":"{}","target":{},"echo":{},"produced":{},"pad":"{}"}})",
        FLAGS_service, FLAGS_runs, instance, test::qt(request.target), test::qt(id), at,
        std::string(static_cast<size_t>(FLAGS_pad), 'x'));
    auto sum = base::sha256_base64(body);
    bool bad = fault == "error" || fault == "wrong_bytes" || fault == "wrong_name" || fault == "lose_answer";
    journal.line(fmt::format(
        R"({{"t":"run","id":{},"rid":"{}","method":"{}","target":{},"in":"{}","out":"{}","service":"{}","version":"{}","instance":"{}","relay":"{}","gen":"{}","at":{},"bad":{}}})",
        test::qt(id), h("Dunlinwing-Request"), request.method, test::qt(request.target),
        base::sha256_base64(request.body), sum, FLAGS_service, FLAGS_runs, instance, h("Dunlinwing-Relay"),
        h("Dunlinwing-Generation"), at, bad));
    if (fault == "lose_answer") clock.sleep(3600s);  // the request is executed, but no response is sent
    if (fault == "wrong_bytes") body[body.size() / 2] ^= 1;
    base::Response response{fault == "error" ? 500 : 200, {}, body};
    auto put = [&](const char* k, std::string v) { response.headers.emplace_back(k, std::move(v)); };
    put("Content-Type", "application/json");
    put("Content-Digest", "sha-256=:" + sum + ":");
    put("Dunlinwing-Service", FLAGS_service);
    put("Dunlinwing-Version", FLAGS_runs);
    put("Dunlinwing-Instance", fault == "wrong_name" ? "somebody" : instance);
    put("Dunlinwing-Request", h("Dunlinwing-Request"));
    put("Dunlinwing-Load", std::to_string(load.load()));
    if (FLAGS_max_age > 0 && request.method == "GET")
      put("Cache-Control", fmt::format("max-age={}", FLAGS_max_age));
    --load;
    return response;
  }

  bool beat() {
    base::Request request;
    request.method = "POST";
    request.target = "/v1/beats";
    request.body = fmt::format(
        R"({{"service":"{}","version":"{}","instance":"{}","zone":"{}","address":"{}","capacity":{},"leaving":{},"number":{},"period_ms":{}}})",
        FLAGS_service, FLAGS_runs, instance, FLAGS_zone, FLAGS_address, FLAGS_capacity, leaving.load(),
        ++number, FLAGS_period_ms);
    for (int i = 0; i < 4; ++i) {
      auto r = post.send(relays[random.below(relays.size())], request, 1500ms);
      auto* a = std::get_if<base::Response>(&r);
      if (a && a->status == 200) return true;
    }
    return false;
  }

  void beats() {
    for (;;) {
      beat();
      clock.sleep(Duration(FLAGS_period_ms));
    }
  }

  void leave() {
    leaving = true;
    for (int i = 0; i < 5; ++i)
      if (beat()) {
        journal.line(
            fmt::format(R"({{"t":"leaving","instance":"{}","at":{}}})", instance, clock.now().count()));
        break;
      }
    clock.sleep(3000ms);
    net::EventLoopPool::stop(0);
  }
};
}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  App a;
  a.relays = base::split_list(FLAGS_relays, ',');
  if (a.relays.empty() || FLAGS_service.empty()) {
    std::cerr << "worker: --service and --relays are required\n";
    return 2;
  }
  net::HttpServer srv(a.pool, "worker", {}, [&](auto& q) { return a.answer(q); });
  if (auto e = srv.listen(FLAGS_address, 1, 2)) {
    std::cerr << "worker: " << *e << "\n";
    return 3;
  }
  boost::asio::signal_set sigs(a.pool.io(0), SIGTERM, SIGINT);
  sigs.async_wait([&](auto ec, int) {
    if (!ec) a.pool.spawn([&] { a.leave(); });
  });
  a.pool.run([&] { a.beats(); });
}
