// Simulated clients of one deployment: a seeded mix of its requests at a steady
// rate, each to a relay whose latest readiness check, made every second, succeeded.
// Journals every request before it is sent, and every response.
#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <iostream>
#include <random>

#include "base/log.hpp"
#include "net/http.hpp"
#include "support/journal.hpp"

DEFINE_string(relays, "", "callers@control addresses, separated by commas");
DEFINE_string(deployment, "lobby", "lobby or practice");
DEFINE_int32(rate, 100, "requests per second");
DEFINE_int32(seconds, 10, "how long requests are sent");
DEFINE_uint64(seed, 1, "random seed of the request mix");
DEFINE_string(journal, "", "file to which requests and responses are journalled");
DEFINE_string(prefix, "c", "prefix of each request's Caller-Id");

using namespace std::chrono_literals;
using namespace dunlinwing;

namespace {
struct Relay {
  std::string clients, control;
  std::atomic<bool> ready{false};
};

struct App {
  net::EventLoopPool pool{3};
  net::SystemClock clock;
  net::HttpClient http{4 << 20};
  test::Journal journal{FLAGS_journal};
  std::vector<std::unique_ptr<Relay>> relays;
  std::mt19937_64 rng{FLAGS_seed};
  std::atomic<int> open{0};
  std::atomic<uint64_t> ok{0}, away{0}, unknown{0}, other{0}, lost{0};

  base::Request make(uint64_t n) {
    base::Request request;
    auto some = [&](uint64_t k) { return std::min(rng() % k, rng() % k); };
    auto dice = rng() % 100;
    bool lobby = FLAGS_deployment == "lobby";
    request.method = "GET";
    if (dice < 45)
      request.target = fmt::format(fmt::runtime(lobby ? "/liveries/{}" : "/notices/{}"), some(200));
    else if (dice < 65)
      request.target = fmt::format(fmt::runtime(lobby ? "/track/{}" : "/returns/{}"), some(400));
    else if (dice < 90)
      request.target = fmt::format(fmt::runtime(lobby ? "/lobbies/{}" : "/balances/{}"), rng() % 5000);
    else {
      request.method = "POST";
      request.target = lobby ? "/fees" : "/filings";
      request.body = fmt::format(R"({{"n":{},"amount":{}}})", n, rng() % 1000);
      request.headers.emplace_back("Content-Type", "application/json");
      request.headers.emplace_back("Idempotency-Key", fmt::format("k{}", rng()));
    }
    request.headers.emplace_back("Caller-Id", fmt::format("{}-{}", FLAGS_prefix, n));
    return request;
  }

  void send_request(const base::Request& request, Relay& r) {
    auto id = base::header(request.headers, "Caller-Id");
    auto from = clock.now().count();
    journal.line(fmt::format(
        R"({{"t":"ask","id":"{}","method":"{}","target":{},"in":"{}","at":{},"relay":"{}"}})", id,
        request.method, test::qt(request.target), base::sha256_base64(request.body), from, r.clients));
    auto x = http.send(r.clients, request, 10000ms);
    auto to = clock.now().count();
    if (auto* a = std::get_if<base::Response>(&x)) {
      auto out = base::header(a->headers, "Dunlinwing-Outcome");
      int64_t produced = -1;
      if (a->status == 200) {
        auto p = base::Json::parse(a->body);
        if (auto* j = std::get_if<base::Json>(&p)) produced = j->at("produced").integer_or(-1);
      }
      journal.line(fmt::format(
          R"({{"t":"got","id":"{}","status":{},"outcome":"{}","out":"{}","produced":{},"gen":"{}","retry_after":"{}","from":{},"at":{},"relay":"{}","why":{}}})",
          id, a->status, out, base::sha256_base64(a->body), produced,
          base::header(a->headers, "Dunlinwing-Generation"), base::header(a->headers, "Retry-After"), from,
          to, r.clients, a->status < 400 ? "\"\"" : test::qt(a->body)));
      (a->status < 400 ? ok : out == "not-run" ? away : out == "unknown" ? unknown : other)++;
    } else {
      journal.line(fmt::format(R"({{"t":"lost","id":"{}","sent":{},"from":{},"at":{},"relay":"{}"}})", id,
                               std::get<base::AttemptError>(x) != base::AttemptError::not_sent, from, to,
                               r.clients));
      ++lost;
    }
    --open;
  }

  void poll_readiness(Relay& r) {
    for (;;) {
      base::Request request;
      request.method = "GET";
      request.target = "/readyz";
      auto x = http.send(r.control, request, 900ms);
      auto* a = std::get_if<base::Response>(&x);
      r.ready = a && a->status == 200;
      clock.sleep(1000ms);
    }
  }

  void run() {
    for (auto& r : relays) pool.spawn([this, p = r.get()] { poll_readiness(*p); });
    clock.sleep(300ms);
    auto from = std::chrono::steady_clock::now();
    uint64_t all = static_cast<uint64_t>(FLAGS_rate) * static_cast<uint64_t>(FLAGS_seconds), turn = 0;
    for (uint64_t n = 0; n < all; ++n) {
      auto due = from + std::chrono::microseconds(n * 1000000 / static_cast<uint64_t>(FLAGS_rate));
      auto wait = std::chrono::duration_cast<Duration>(due - std::chrono::steady_clock::now());
      if (wait > 0ms) clock.sleep(wait);
      Relay* r = nullptr;
      for (size_t k = 0; k < relays.size() && !r; ++k) {
        auto& c = relays[(turn + k) % relays.size()];
        if (c->ready) r = c.get();
      }
      turn += 1 + rng() % relays.size();
      auto request = make(n);
      if (!r) r = relays[turn % relays.size()].get();
      ++open;
      pool.spawn_on(1 + static_cast<int>(n % 2), [this, request, r] { send_request(request, *r); });
    }
    while (open > 0) clock.sleep(20ms);
    std::cout << fmt::format("asked {} ok {} not_run {} unknown {} other {} lost {}\n", all, ok.load(),
                             away.load(), unknown.load(), other.load(), lost.load())
              << std::flush;
    net::EventLoopPool::stop(0);
  }
};
}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  App a;
  for (auto& s : base::split_list(FLAGS_relays, ',')) {
    auto at = s.find('@');
    if (at == s.npos) {
      std::cerr << "caller: --relays has an entry without '@'; expected callers@control\n";
      return 2;
    }
    auto r = std::make_unique<Relay>();
    r->clients = s.substr(0, at);
    r->control = s.substr(at + 1);
    a.relays.push_back(std::move(r));
  }
  if (a.relays.empty()) {
    std::cerr << "caller: --relays is empty\n";
    return 2;
  }
  a.pool.run([&] { a.run(); });
}
