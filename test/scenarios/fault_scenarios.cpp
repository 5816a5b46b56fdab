// Faults in the moment that hurts most, and several kinds at once.
#include "rollout/rollout_controller.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

std::string body_of(Scene& s, const std::string& target) {
  std::string b;
  s.fleet.wait_until(Duration(10000), [&] {
    auto t = s.fleet.operator_call("GET", target, "");
    b = t.status == 200 ? t.body : "";
    return t.status == 200;
  });
  return b;
}

// The relay that acknowledged something is killed in that very moment, now and then
// with the duty's holder; what it acknowledged is still there afterwards.
void kill_after_ack(Scene& s) {
  s.length = Duration(120000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 30, sim_layout("\"1\",\"2\"", 3))) return;
    allow(s, "2");
    for (int i = 0; i < 2; ++i) s.fleet.add_backend("app", "2", 0);
    s.fleet.sleep(Duration(3000));
    auto acked = [&](const std::string& m, const std::string& target, const std::string& body) {
      bool ok = s.fleet.wait_until(Duration(25000), [&] {
        auto t = s.fleet.operator_call(m, target, body);
        if (t.status != 200 && t.status != 202) return false;
        ++s.world.faults_met["acked"];
        for (auto& h : s.fleet.hosts())
          if (h->up() && (h->name == t.by || (s.world.random(300) && h->node->leadership().held())))
            s.fleet.kill(h->name);
        return true;
      });
      s.want(ok, target + " was not acknowledged");
      if (!ok) return;
      s.fleet.sleep(Duration(s.world.below(1500)));
      s.fleet.start_all();
    };
    auto has = [&](const std::string& target, const std::string& what) {
      auto b = body_of(s, target);
      s.want(b.find(what) != b.npos, fmt::format("{} was acknowledged and is gone from {}", what, target));
    };
    for (int i = 0; i < 3; ++i) {
      auto n = fmt::format("k{}", i);
      auto doc = sim_layout("\"1\",\"2\"", 2 + i);
      acked("PUT", "/v1/releases/layout/" + n, doc);
      has("/v1/releases/layout/" + n, doc);
      auto asked = s.world.now().count();
      acked("PUT", "/v1/purges/" + n, R"({"service":"content","kind":"prefix","path":"/c/"})");
      s.fleet.event(fmt::format(R"("t":"purged","path":"/c/","prefix":true,"asked":{})", asked));
      has("/v1/purges", "\"" + n + "\"");
      acked("PUT", "/v1/drains/node/e1", fmt::format(R"({{"drained":{},"reason":"{}"}})", i % 2 == 1, n));
      has("/v1/drains", n);
      auto beat = fmt::format(
          R"({{"service":"app","version":"1","instance":"{}","zone":"a","address":"10.9.9.9:1","leaving":true,"number":7,"period_ms":60000}})",
          n);
      acked("POST", "/v1/beats", beat);
      s.fleet.sleep(Duration(2000));
      has("/v1/workers", "\"" + n + "\"");
    }
    acked("PUT", "/v1/services/app", R"({"version":"2"})");
    has("/v1/services/app", "\"2\"");
    acked("PUT", "/v1/holders/x1", R"({"holder":true,"address":"peer:x1"})");
    has("/v1/holders", "x1");
    s.fleet.sleep(Duration(3000));
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the machines returned");
    s.fleet.sleep(Duration(21000));
  };
}

// The only relay that a worker told that it leaves dies right after it acknowledged
// that, and comes back knowing nothing; the worker says it no second time.
void last_word(Scene& s) {
  s.length = Duration(110000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 80)) return;
    for (auto& x : s.fleet.backends()) x->period_ms = 3000;
    for (size_t i = 0; i < 6; ++i) {
      s.fleet.add_backend(s.fleet.backends()[i]->service, "1", s.fleet.backends()[i]->max_age).period_ms =
          3000;
      s.fleet.sleep(Duration(3500));
      auto& backend = *s.fleet.backends()[i];
      backend.left = [&s](const std::string& by) {
        s.fleet.kill(by);
        s.fleet.start(by);
      };
      backend.leaving = true;
      s.fleet.sleep(Duration(9000));
      backend.alive = false;
    }
  };
}

// One zone goes away whole, then both machines of the second tier; callers of the rest
// go on, a layout is recorded meanwhile.
void zone_lost(Scene& s) {
  s.length = Duration(120000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    auto part = [&](const char* what, auto&& is) {
      std::vector<std::string> gone;
      for (auto& h : s.fleet.hosts())
        if (is(*h)) gone.push_back(h->name);
      for (auto& n : gone) s.fleet.kill(n);
      s.fleet.sleep(Duration(500));
      auto c = s.fleet.calls, g = s.fleet.good;
      put(s, fmt::format("without-{}", gone.front()), sim_layout("\"1\"", 3));
      s.fleet.sleep(Duration(6000));
      s.want(
          (s.fleet.good - g) * 100 >= (s.fleet.calls - c) * 97,
          fmt::format("{} away: only {} of {} calls went well", what, s.fleet.good - g, s.fleet.calls - c));
      for (auto& n : gone) s.fleet.start(n);
      s.fleet.event(R"("t":"returned")");
      s.want(serves(s, Duration(15000)), std::string("no service after the return of ") + what);
      s.fleet.sleep(Duration(20500));
    };
    part("a zone", [&](simulation::Host& host) { return host.zone == "a"; });
    part("the second tier", [&](simulation::Host& host) { return host.shield; });
  };
}

// The disk of whoever holds the leadership turns slow, again and again; releases, trials and
// purges go on.
void slow_duty(Scene& s) {
  s.length = Duration(120000);
  s.must_meet = {"slow_disk"};
  s.story = [&s] {
    if (!begin(s, 80)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    std::string last;
    for (int i = 0; i < 10; ++i) {
      if (auto* host = duty_holder(s)) {
        if (!last.empty())
          s.fleet.at(last).disk_contents.min_latency = Duration(1),
          s.fleet.at(last).disk_contents.max_latency = Duration(4);
        last = host->name;
        host->disk_contents.min_latency = Duration(400);
        host->disk_contents.max_latency = Duration(2500);
      }
      purge(s, fmt::format("p{}", i), "prefix", "/c/");
      s.fleet.sleep(Duration(4000));
    }
    s.want(reach(s, "second", "DONE", Duration(60000)),
           "a slow disk at the duty's holder held a release up: " + release_state(s, "second").text());
  };
}

// A storm of purges while relays are cut off and come back, one way and both.
void storm_cut(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"cut"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    for (int i = 0; i < 8; ++i) {
      for (auto& h : s.fleet.hosts()) {
        if (!s.world.random(250)) continue;
        for (auto& x : s.fleet.hosts()) {
          if (x == h) continue;
          s.world.partition(h->name, x->name);
          if (i % 2) s.world.partition(x->name, h->name);
        }
      }
      for (int k = 0; k < 40; ++k)
        s.fleet.spawn_outside([&s, i, k] {
          purge(s, fmt::format("s{}-{}", i, k), k % 3 ? "path" : "prefix", fmt::format("/c/{}", k % 20));
        });
      s.fleet.sleep(Duration(500 + s.world.below(4000)));
      s.world.heal_all();
      s.fleet.sleep(Duration(s.world.below(1500)));
    }
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "no service after the cuts");
    s.fleet.sleep(Duration(20500));
  };
}

// Workers are replaced one by one while a layout rolls out and a service moves to a
// new version; invalid layouts come in between.
void busy_evening(Scene& s) {
  s.length = Duration(150000);
  s.story = [&s] {
    if (!begin(s, 100, sim_layout("\"1\",\"2\"", 3))) return;
    allow(s, "2");
    for (int i = 0; i < 3; ++i) s.fleet.add_backend("app", "2", 0);
    s.fleet.sleep(Duration(2500));
    put(s, "second", sim_layout("\"1\",\"2\"", 2));
    s.want(s.fleet.wait_until(
               Duration(10000),
               [&] {
                 return s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
               }),
           "the move was not taken");
    auto calls = s.fleet.calls, good = s.fleet.good;
    static const char* const bad[] = {
        "{",
        "[]",
        R"({"content":{"services":{},"routes":[]},"holds":{"one_min":1}})",
        R"({"content":{"services":{"a":{"versions":["1"]}},"routes":[{"prefix":"/","service":"b"}]}})",
        R"({"content":{"services":{"a":{"versions":["1"],"deadline_ms":-1}},"routes":[]}})",
        R"({"content":{"services":{"a":{"versions":["1"]}},"routes":[]},"unknown":1})"};
    auto n = s.fleet.backends().size() - 3;
    for (size_t i = 0; i < n; ++i) {
      auto& old = *s.fleet.backends()[i];
      s.fleet.add_backend(old.service, old.version, old.max_age);
      auto t =
          s.fleet.operator_call("PUT", fmt::format("/v1/releases/layout/bad{}", i), bad[i % std::size(bad)]);
      s.want(t.lost || t.status == 422 || t.status == 503,
             fmt::format("an invalid layout gave {} {}", t.status, t.body));
      s.fleet.sleep(Duration(1500));
      s.fleet.backends()[i]->leaving = true;
      s.fleet.sleep(Duration(3500));
      s.fleet.backends()[i]->alive = false;
    }
    calls = s.fleet.calls - calls;
    good = s.fleet.good - good;
    s.want(good * 1000 >= calls * 998, fmt::format("only {} of {} calls went well", good, calls));
    s.want(reach(s, "second", "DONE", Duration(60000)), "the layout did not run everywhere");
    s.want(s.fleet.wait_until(
               Duration(60000),
               [&] { return body_of(s, "/v1/services/app").find("\"current\":\"2\"") != std::string::npos; }),
           "the move did not end");
  };
}

// A node is assigned a release that it cannot load: it may not go on under the old one.
void unloadable(Scene& s) {
  s.length = Duration(40000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    auto* host = &s.fleet.at("e1");
    auto ok = std::make_shared<bool>(false);
    for (int i = 0; i < 20 && !*ok; ++i) {
      s.world.spawn(host->process, [host, ok] {
        auto g = host->node->registers().read(rollout::kRolloutKey);
        auto* held = std::get_if<consensus::VersionedValue>(&g);
        pb::RolloutState r;
        if (!held || !r.ParseFromString(held->data)) return;
        r.set_generation(r.generation() + 1);
        auto& assignment = (*r.mutable_nodes())["e1"];
        assignment.set_generation(r.generation());
        (*assignment.mutable_releases())["layout"] = "nowhere";
        *ok = std::holds_alternative<consensus::VersionedValue>(
            host->node->registers().write(rollout::kRolloutKey, held->version, r.SerializeAsString()));
      });
      s.fleet.sleep(Duration(300));
    }
    s.want(*ok, "the assignment was not written");
    s.fleet.sleep(Duration(2000));
    s.want(!host->node->ready(), "a node serves on under a layout that it was taken off");
    for (int i = 0; i < 10; ++i)
      s.want(s.fleet.call("GET", "/a/1", "", host) == 503, "it took a request under the old layout");
    s.fleet.sleep(Duration(3000));
  };
}
}  // namespace

NamedCases fault_stories() {
  return {{"kill_after_ack", SimCase(kill_after_ack, 1)},
          {"last_word", last_word},
          {"zone_lost", zone_lost},
          {"slow_duty", slow_duty},
          {"storm_cut", storm_cut},
          {"busy_evening", busy_evening},
          {"unloadable", unloadable}};
}

}  // namespace dunlinwing::test
