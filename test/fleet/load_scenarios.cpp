// Load and operators: load peaks, an origin with a rate limit, purge storms, addresses that are
// reused by another service, operators that send concurrent and invalid requests.
#include <signal.h>

#include <iostream>
#include <random>

#include "fleet/scenarios.hpp"

namespace dunlinwing::test {
using namespace std::chrono_literals;

namespace {
std::string second_service(Run& run) {
  return run.fleet.config().deployment == "lobby" ? "matchmaking" : "application";
}
std::string layout_with(Run& run, const std::string& in_second, const std::string& more = {}) {
  auto d = configuration_document(run.fleet.config().deployment);
  auto at = d.find("\"deadline_ms\"", d.find("\"" + second_service(run) + "\""));
  d.insert(at, in_second);
  if (!more.empty()) d.insert(1, more);
  return d;
}

// Twice, five times the normal request rate is added for a few seconds; the load is normal before and after.
bool crowd(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  return with_traffic(run, [&] {
    bool ok = true;
    for (int i = 0; i < 2; ++i) {
      run.fleet.clock.sleep(8s);
      auto p = run.fleet.start_client(fmt::format("crowd{}", i), run.rate * 5, 4,
                                      run.seed + 100 + static_cast<uint64_t>(i));
      ok &= run.fleet.wait_until(60s, [&] { return run.fleet.client_done(p); });
      run.fleet.clock.sleep(4s);
      run.fleet.event(R"("t":"returned")");
    }
    return report(ok, "two load peaks ended");
  });
}

// The second service has a rate limit below the request rate, while relays are killed and
// suspended; then a configuration lowers the limit.
bool origin(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  auto svc = second_service(run);
  auto rated = [&](const std::string& name, int n) {
    if (!put_configuration(
            run, name,
            layout_with(run, fmt::format("\"rate\":{},", n), R"("express":"the origin is slow",)")))
      return false;
    run.fleet.clock.sleep(5s);
    run.fleet.event(fmt::format(R"("t":"rate","service":"{}","n":{})", svc, n));
    return true;
  };
  return with_traffic(run, [&] {
    bool ok = rated("slow", run.rate / 5);
    std::mt19937_64 rng(run.seed);
    for (int i = 0; i < 5; ++i) {
      auto n = run.fleet.machines()[rng() % 12].name;
      run.fleet.freeze(n);
      run.fleet.clock.sleep(Duration(300 + rng() % 2500));
      run.fleet.thaw(n);
      auto k = run.fleet.machines()[rng() % 12].name;
      run.fleet.kill(k);
      run.fleet.start(k);
      run.fleet.clock.sleep(2s);
    }
    ok &= rated("slower", run.rate / 10);
    return report(ok, "the rate limit was set and lowered");
  });
}

// Hundreds of purges while relays are cut off and reconnected.
bool storm(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  run.fleet.event(R"("t":"lifetime","ms":4000)");
  auto base = run.fleet.config().deployment == "lobby" ? "/liveries/" : "/notices/";
  std::mt19937_64 rng(run.seed);
  return with_traffic(run, [&] {
    int done = 0, all = 0;
    for (int i = 0; i < 12; ++i) {
      auto n = run.fleet.machines()[5 + rng() % 9].name;
      run.fleet.links().cut_off(n);
      for (int k = 0; k < 25; ++k, ++all)
        done += purge(run, fmt::format("s{}-{}", i, k), k % 4 ? "path" : "prefix",
                      fmt::format("{}{}", base, rng() % 20));
      run.fleet.links().restore_all();
      run.fleet.clock.sleep(Duration(rng() % 1500));
    }
    std::cout << "purges acknowledged: " << done << " of " << all << "\n";
    return report(done * 10 >= all * 9, "at least 90 percent of the purges were acknowledged") &&
           ready_again(run, "all relays are ready after the purges");
  });
}

// A backend instance is killed and an instance of the other service reuses its address at once.
bool reuse(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  bool lobby = run.fleet.config().deployment == "lobby";
  auto first = lobby ? "content" : "documents";
  return with_traffic(run, [&] {
    for (int i = 0; i < 4; ++i) {
      auto& old =
          run.fleet.machines()[18 + static_cast<size_t>(i)];  // a backend instance of the second service
      auto address =
          old.args[std::find(old.args.begin(), old.args.end(), "--address") - old.args.begin() + 1];
      run.fleet.kill(old.name);
      run.fleet.add_backend(first, "1", "a", {"--max_age", "4", "--address", address});
      run.fleet.clock.sleep(3s);
      run.fleet.add_backend(second_service(run), "1", "b", {});
      run.fleet.clock.sleep(4s);
    }
    return report(true, "the other service reused four addresses");
  });
}

// Two operators send different configurations under the same name, a third sends invalid ones:
// one operator succeeds, the other gets a conflict, and the invalid ones are rejected.
bool operators(Run& run) {
  if (!start_traffic(run)) return false;
  allow_version(run, "1");
  return with_traffic(run, [&] {
    int won = 0, lost = 0, odd = 0, invalid = 0, named = 0;
    auto end = run.fleet.clock.now() + Duration(run.seconds * 1000 - 8000);
    for (int i = 0; run.fleet.clock.now() < end; ++i) {
      auto name = fmt::format("race{}", i);
      for (int k = 0; k < 2; ++k) {
        auto n = run.fleet.machines()[static_cast<size_t>((i * 3 + k * 5) % 14)].name;
        auto a =
            run.fleet.http(n, "PUT", "/v1/releases/layout/" + name,
                           configuration_document(run.fleet.config().deployment, fmt::format("v{}{}", i, k)));
        ++(a.status == 202 ? won : a.status == 409 ? lost : odd);
      }
      static const char* const bad[] = {"{", "[]", R"({"content":{"services":{},"routes":7}})",
                                        R"({"content":{},"x":1})"};
      auto a = run.fleet.http_any("PUT", fmt::format("/v1/releases/layout/bad{}", i), bad[i % 4]);
      ++invalid;
      named += a.status == 422 && a.body.find("\"at\":") != std::string::npos;
      run.fleet.clock.sleep(500ms);
    }
    std::cout << fmt::format("races {} won {} told {} other {}; invalid {} named {}\n", won + lost + odd, won,
                             lost, odd, invalid, named);
    return report(odd == 0 && won == lost && invalid == named && won > 0,
                  "one of two operators succeeded each time, and invalid configurations were rejected");
  });
}
}  // namespace

Scenarios load_scenarios() {
  return {{"crowd", crowd}, {"origin", origin}, {"storm", storm}, {"reuse", reuse}, {"operators", operators}};
}

}  // namespace dunlinwing::test
