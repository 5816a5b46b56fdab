// Load and operators: crowds, an origin with a stated rate, purges in storms, addresses
// that pass to another service, operators that race and send nonsense.
#include <signal.h>

#include <iostream>
#include <random>

#include "fleet/scenarios.hpp"

namespace dunlinwing::test {
using namespace std::chrono_literals;

namespace {
std::string second_service(Run& r) {
  return r.f.config().deployment == "lobby" ? "matchmaking" : "application";
}
std::string layout_with(Run& r, const std::string& in_second, const std::string& more = {}) {
  auto d = layout_document(r.f.config().deployment);
  auto at = d.find("\"deadline_ms\"", d.find("\"" + second_service(r) + "\""));
  d.insert(at, in_second);
  if (!more.empty()) d.insert(1, more);
  return d;
}

// Ten times the callers for a few seconds, twice; before and after, all is normal.
bool crowd(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  return calls(r, [&] {
    bool ok = true;
    for (int i = 0; i < 2; ++i) {
      r.f.clock.sleep(8s);
      auto p =
          r.f.start_caller(fmt::format("crowd{}", i), r.rate * 5, 4, r.seed + 100 + static_cast<uint64_t>(i));
      ok &= r.f.until(60s, [&] { return r.f.caller_done(p); });
      r.f.clock.sleep(4s);
      r.f.event(R"("t":"returned")");
    }
    return say(ok, "two crowds came and went");
  });
}

// The second service states a rate below what is asked; relays are killed and frozen
// meanwhile; then a layout lowers it.
bool origin(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  auto svc = second_service(r);
  auto rated = [&](const std::string& name, int n) {
    if (!put_layout(r, name,
                    layout_with(r, fmt::format("\"rate\":{},", n), R"("express":"the origin is slow",)")))
      return false;
    r.f.clock.sleep(5s);
    r.f.event(fmt::format(R"("t":"rate","service":"{}","n":{})", svc, n));
    return true;
  };
  return calls(r, [&] {
    bool ok = rated("slow", r.rate / 5);
    std::mt19937_64 rng(r.seed);
    for (int i = 0; i < 5; ++i) {
      auto n = r.f.machines()[rng() % 12].name;
      r.f.freeze(n);
      r.f.clock.sleep(Duration(300 + rng() % 2500));
      r.f.thaw(n);
      auto k = r.f.machines()[rng() % 12].name;
      r.f.kill(k);
      r.f.start(k);
      r.f.clock.sleep(2s);
    }
    ok &= rated("slower", r.rate / 10);
    return say(ok, "the rate was stated and lowered");
  });
}

// Hundreds of purges while relays are cut off and come back.
bool storm(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  r.f.event(R"("t":"lifetime","ms":4000)");
  auto base = r.f.config().deployment == "lobby" ? "/liveries/" : "/notices/";
  std::mt19937_64 rng(r.seed);
  return calls(r, [&] {
    int done = 0, all = 0;
    for (int i = 0; i < 12; ++i) {
      auto n = r.f.machines()[5 + rng() % 9].name;
      r.f.links().cut_off(n);
      for (int k = 0; k < 25; ++k, ++all)
        done += purge(r, fmt::format("s{}-{}", i, k), k % 4 ? "path" : "prefix",
                      fmt::format("{}{}", base, rng() % 20));
      r.f.links().mend_all();
      r.f.clock.sleep(Duration(rng() % 1500));
    }
    std::cout << "purges acknowledged: " << done << " of " << all << "\n";
    return say(done * 10 >= all * 9, "the storm of purges was taken") &&
           ready_again(r, "all relays are ready after it");
  });
}

// A worker dies and its address passes at once to a worker of the other service.
bool reuse(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  bool lobby = r.f.config().deployment == "lobby";
  auto first = lobby ? "content" : "documents";
  return calls(r, [&] {
    for (int i = 0; i < 4; ++i) {
      auto& old = r.f.machines()[18 + static_cast<size_t>(i)];  // a worker of the second service
      auto address =
          old.args[std::find(old.args.begin(), old.args.end(), "--address") - old.args.begin() + 1];
      r.f.kill(old.name);
      r.f.add_worker(first, "1", "a", {"--max_age", "4", "--address", address});
      r.f.clock.sleep(3s);
      r.f.add_worker(second_service(r), "1", "b", {});
      r.f.clock.sleep(4s);
    }
    return say(true, "four addresses passed to the other service");
  });
}

// Two operators race for each name, a third sends layouts that are not valid; one wins,
// the other is told, nothing invalid is recorded.
bool operators(Run& r) {
  if (!begin(r)) return false;
  allow(r, "1");
  return calls(r, [&] {
    int won = 0, lost = 0, odd = 0, invalid = 0, named = 0;
    auto end = r.f.clock.now() + Duration(r.seconds * 1000 - 8000);
    for (int i = 0; r.f.clock.now() < end; ++i) {
      auto name = fmt::format("race{}", i);
      for (int k = 0; k < 2; ++k) {
        auto n = r.f.machines()[static_cast<size_t>((i * 3 + k * 5) % 14)].name;
        auto a = r.f.http(n, "PUT", "/v1/releases/layout/" + name,
                          layout_document(r.f.config().deployment, fmt::format("v{}{}", i, k)));
        ++(a.status == 202 ? won : a.status == 409 ? lost : odd);
      }
      static const char* const bad[] = {"{", "[]", R"({"content":{"services":{},"routes":7}})",
                                        R"({"content":{},"x":1})"};
      auto a = r.f.any("PUT", fmt::format("/v1/releases/layout/bad{}", i), bad[i % 4]);
      ++invalid;
      named += a.status == 422 && a.body.find("\"at\":") != std::string::npos;
      r.f.clock.sleep(500ms);
    }
    std::cout << fmt::format("races {} won {} told {} other {}; invalid {} named {}\n", won + lost + odd, won,
                             lost, odd, invalid, named);
    return say(odd == 0 && won == lost && invalid == named && won > 0,
               "one of two operators won each time, and nonsense was named");
  });
}
}  // namespace

Scenarios load_scenarios() {
  return {{"crowd", crowd}, {"origin", origin}, {"storm", storm}, {"reuse", reuse}, {"operators", operators}};
}

}  // namespace dunlinwing::test
