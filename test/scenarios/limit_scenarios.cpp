// Limits that hold fleet-wide: a canary's share and duration, retries, a configured rate,
// and how early rejected requests get their response.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// Around the fiftieth bad response the leader and its standby are killed, frozen or
// partitioned, or relays are restarted; this must not delay the canary's verdict.
void disturb_canary(Scene& scene) {
  scene.fleet.spawn_outside([&scene] {
    auto how = scene.world.below(4);
    if (!scene.fleet.wait_until(Duration(40000), [&] {
          return scene.world.fault_counts["bad_answer"] >= 30 + scene.world.below(20);
        }))
      return;
    std::vector<std::string> pair;
    if (auto* host = leader_host(scene))
      pair = {host->name, host->node->leadership().known_lease().standby()};
    for (auto& n : pair) {
      if (n.empty()) continue;
      if (how == 0) scene.fleet.kill(n);
      if (how == 1) scene.world.freeze(n, scene.world.now() + Duration(20000));
      if (how == 2) scene.fleet.isolate(n);
    }
    if (how == 3)
      for (auto& h : scene.fleet.hosts())
        if (!h->has_disk) {
          scene.fleet.kill(h->name);
          scene.fleet.start(h->name);
        }
    scene.fleet.sleep(Duration(15000));
    scene.world.heal_all();
    scene.fleet.start_all();
  });
}

void change_version(Scene& scene, int bad, bool trouble = false, int old_bad = 0) {
  scene.duration = Duration(110000);
  scene.script = [&scene, bad, trouble, old_bad] {
    if (!start_traffic(scene, 150, simulated_configuration("\"1\",\"2\"", 4))) return;
    allow_version(scene, "2");
    for (int i = 0; i < 2; ++i) scene.fleet.add_backend("app", "2", 0).bad_percent = bad;
    scene.fleet.sleep(Duration(2500));
    bool took = scene.fleet.wait_until(Duration(10000), [&] {
      return scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
    });
    scene.require(took, "the version change was not accepted");
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app" && backend->version == "1") backend->bad_percent = old_bad;
    if (trouble) disturb_canary(scene);
    if (bad) scene.fleet.event(R"("t":"bad_version","service":"app","version":"2")");
    auto state = [&] {
      auto p = base::Json::parse(scene.fleet.operator_call("GET", "/v1/services/app", "").body);
      auto* j = std::get_if<base::Json>(&p);
      return j ? *j : base::Json();
    };
    bool end = scene.fleet.wait_until(Duration(60000), [&] {
      auto json = state();
      return bad ? !json.at("quarantined").at("2").string_or().empty()
                 : json.at("current").string_or() == "2";
    });
    scene.require(end, "the version change did not finish: " + state().text());
    if (bad) scene.fleet.sleep(Duration(10000));
    if (bad)
      scene.require(scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 409,
                    "a request for a quarantined version was not rejected");
  };
}

// Every response of the backend instances is bad while relays are restarted repeatedly.
void repeat_storm(Scene& scene) {
  scene.duration = Duration(40000);
  scene.required_faults = {"bad_answer", "kill"};
  scene.script = [&scene] {
    auto doc = simulated_configuration("\"1\"", 1);
    doc.replace(doc.find("\"deadline_ms\":2000"), 18, R"("deadline_ms":700)");
    doc.replace(doc.rfind("\"deadline_ms\":2000"), 18, R"("deadline_ms":700)");
    if (!start_traffic(scene, 60, doc)) return;
    for (auto& backend : scene.fleet.backends()) backend->bad_percent = 100;
    scene.fleet.sleep(Duration(6000));
    if (scene.fleet.hosts().size() > 20) return;
    for (int round = 0; round < 4; ++round) {
      for (auto& host : scene.fleet.hosts()) scene.fleet.kill(host->name);
      scene.fleet.start_all();
      scene.fleet.sleep(Duration(2200));
    }
    scene.fleet.sleep(Duration(6000));
  };
}

// Rejections come early: when backend instances hang, when another request's fetch
// hangs, on a waitlist that makes no progress, under an origin's rate limit.
void given_up(Scene& scene) {
  scene.duration = Duration(60000);
  scene.reject_within = Duration(1200);  // of a deadline of 2000
  scene.script = [&scene] {
    auto doc = simulated_configuration("\"1\"", 1, 20);
    for (auto at : {doc.rfind("\"deadline_ms\""), doc.find("\"deadline_ms\"")})
      doc.insert(at, R"("inflight":3,"waitlist":40,)");
    if (!start_traffic(scene, 100, doc)) return;
    scene.fleet.sleep(Duration(3000));
    for (int round = 0; round < 5; ++round) {
      for (auto& backend : scene.fleet.backends())
        backend->min_latency = Duration(9000), backend->max_latency = Duration(9500);
      scene.fleet.sleep(Duration(1500 + scene.world.below(3000)));
      for (auto& backend : scene.fleet.backends())
        backend->min_latency = Duration(200), backend->max_latency = Duration(500);
      scene.fleet.sleep(Duration(3000));
    }
  };
}

// Clients overload one relay, then another; the origin's rate limit holds fleet-wide,
// and the quotas follow the demand.
void slow_origin(Scene& scene) {
  scene.duration = Duration(80000);
  scene.reject_within = Duration(1200);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 20, simulated_configuration("\"1\"", 4, 30))) return;
    scene.fleet.event(R"("t":"rate","service":"app","n":30)");
    auto at = std::make_shared<std::string>("e1");
    auto n = std::make_shared<std::pair<uint64_t, uint64_t>>();
    scene.fleet.generate_requests(60, scene.world.now() + Duration(60000), [&scene, at, n] {
      auto& host = scene.fleet.at(*at);
      if (!host.up() || !host.node->ready()) return;
      ++n->first;
      n->second += scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(10000)), "", &host) == 200;
    });
    scene.fleet.sleep(Duration(15000));
    n->first = n->second = 0;
    scene.fleet.sleep(Duration(10000));
    // These clients send 60 requests a second for a rate of 30; an even split would admit 3.
    scene.require(
        n->second > 120,
        fmt::format("only {} of {} requests succeeded at the relay with the demand", n->second, n->first));
    scene.figures["through_in_10s"] = n->second;
    *at = "e3";
    scene.fleet.kill("e1");
    scene.fleet.sleep(Duration(15000));
    n->first = n->second = 0;
    scene.fleet.sleep(Duration(10000));
    scene.figures["followed_in_10s"] = n->second;
    scene.require(
        n->second > 120,
        fmt::format("the quota did not follow the demand: {} of {} requests succeeded", n->second, n->first));
  };
}

// Causes of bursts at a rate-limited origin: relays that resume after a freeze with many
// timers due, a restart of all relays at once, partitions, changes of the leader, and a
// configuration that lowers the rate to a third.
void pace_faults(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"kill", "freeze", "cut"};
  scene.script = [&scene] {
    auto doc = [](int rate, const char* more) {
      auto d = simulated_configuration("\"1\"", 4, rate, more);
      d.replace(d.rfind("\"deadline_ms\":2000"), 18, R"("deadline_ms":6000)");
      return d;
    };
    if (!start_traffic(scene, 20, doc(30, ""))) return;
    scene.fleet.event(R"("t":"rate","service":"app","n":30)");
    scene.fleet.generate_requests(60, scene.world.now() + Duration(75000), [&scene] {
      scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(10000)));
    });
    scene.fleet.sleep(Duration(8000));
    for (int i = 0; i < 8; ++i) {
      for (auto& h : scene.fleet.hosts())
        if (scene.world.random(500))
          scene.world.freeze(h->name, scene.world.now() + Duration(300 + scene.world.below(1000)));
      scene.fleet.sleep(Duration(1000 + scene.world.below(1500)));
    }
    for (int i = 0; i < 4; ++i) {
      for (auto& h : scene.fleet.hosts()) scene.fleet.kill(h->name);
      scene.fleet.start_all();
      scene.fleet.sleep(Duration(1800));
    }
    scene.fleet.sleep(Duration(6000));
    for (int i = 0; i < 3; ++i) {
      if (auto* host = leader_host(scene)) scene.fleet.isolate(host->name);
      scene.fleet.sleep(Duration(6000));
      scene.world.heal_all();
      scene.fleet.sleep(Duration(1500));
    }
    record_configuration(scene, "slower", doc(10, R"(,"express":"the origin is in trouble")"));
    pb::RolloutState r;
    scene.require(scene.fleet.wait_until(
                      Duration(8000),
                      [&] { return read_rollout_state(scene, r) && r.in_force().at("layout") == "slower"; }),
                  "the lower rate did not come into force");
    scene.fleet.sleep(Duration(2000));
    scene.fleet.event(R"("t":"rate","service":"app","n":10)");
    scene.fleet.sleep(Duration(12000));
  };
}

// A relay is down for longer than its session lasts, under a configured rate far above the
// demand. After the restart its requests are served at once: its quota was kept.
void share_waits(Scene& scene) {
  struct Seen {
    int early = 0, refused = 0;
    Duration longest{0};
    TimePoint back{0};  // requests within one second after it are counted
  };
  scene.duration = Duration(75000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 10, simulated_configuration("\"1\"", 4, 300))) return;
    scene.fleet.event(R"("t":"rate","service":"app","n":300)");
    auto x = std::make_shared<Seen>();
    for (std::string e : {"e1", "e2", "e3", "e4"})
      scene.fleet.generate_requests(25, scene.world.now() + Duration(60000), [&scene, x, e] {
        auto& host = scene.fleet.at(e);
        if (!host.up() || !host.node->ready()) return;
        auto at = scene.world.now();
        bool counts = e == "e1" && x->back > TimePoint(0) && at - x->back < Duration(1000);
        int got = scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(10000)), "", &host);
        if (!counts) return;
        ++x->early;
        x->refused += got != 200;
        x->longest = std::max(x->longest, Duration(scene.world.now() - at));
      });
    scene.fleet.sleep(Duration(15000));
    for (int i = 0; i < 3; ++i) {
      scene.fleet.kill("e1");
      scene.fleet.sleep(Duration(6000 + scene.world.below(3000)));
      scene.fleet.start("e1");
      scene.require(
          scene.fleet.wait_until(Duration(8000), [&] { return scene.fleet.at("e1").node->ready(); }),
          "the relay did not become ready after its restart");
      x->back = scene.world.now();
      scene.fleet.sleep(Duration(4000));
      x->back = TimePoint(0);
    }
    scene.figures["early"] = static_cast<uint64_t>(x->early);
    scene.figures["refused"] = static_cast<uint64_t>(x->refused);
    scene.figures["longest_ms"] = static_cast<uint64_t>(x->longest.count());
    scene.require(x->early >= 60,
                  fmt::format("only {} requests were sent in the first second after restarts", x->early));
    scene.require(!x->refused,
                  fmt::format("{} of {} requests right after a restart were rejected", x->refused, x->early));
    scene.require(x->longest < Duration(150),
                  fmt::format("a request waited {} ms right after a restart", x->longest.count()));
  };
}

// One relay has most of the demand, and the leader is killed while the other relays run. The new
// leader has not measured the demand yet, and must not lower a quota for that reason.
void share_and_duty(Scene& scene) {
  struct Seen {
    int asked = 0, refused = 0;
  };
  scene.duration = Duration(75000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 20, simulated_configuration("\"1\"", 4, 150))) return;
    scene.fleet.event(R"("t":"rate","service":"app","n":150)");
    auto x = std::make_shared<Seen>();
    scene.fleet.generate_requests(70, scene.world.now() + Duration(60000), [&scene, x] {
      auto& host = scene.fleet.at("e1");
      if (!host.node->ready()) return;
      ++x->asked;
      x->refused += scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(10000)), "", &host) != 200;
    });
    scene.fleet.sleep(Duration(20000));
    *x = {};
    for (int i = 0; i < 3; ++i) {
      auto* host = leader_host(scene);
      if (!host) continue;
      auto name = host->name;
      scene.fleet.kill(name);
      scene.fleet.sleep(Duration(2000 + scene.world.below(3000)));
      scene.fleet.start(name);
      scene.fleet.sleep(Duration(8000));
    }
    scene.figures["asked"] = static_cast<uint64_t>(x->asked);
    scene.figures["refused"] = static_cast<uint64_t>(x->refused);
    scene.require(x->asked > 1500, fmt::format("only {} requests were sent", x->asked));
    scene.require(
        x->refused * 50 < x->asked,
        fmt::format("{} of {} requests at the relay with the demand were rejected", x->refused, x->asked));
  };
}

}  // namespace

NamedCases limit_scenarios() {
  return {{"bad_version", [](Scene& scene) { change_version(scene, 50); }},
          {"bad_version_trouble", [](Scene& scene) { change_version(scene, 50, true); }},
          {"bad_version_lone",
           [](Scene& scene) {
             scene.only_node = "e2";
             change_version(scene, 50, true);
           }},
          {"bad_both", [](Scene& scene) { change_version(scene, 50, false, 50); }},
          {"good_version", [](Scene& scene) { change_version(scene, 0); }},
          {"given_up", given_up},
          {"repeat_storm", repeat_storm},
          {"slow_origin", slow_origin},
          {"share_waits", share_waits},
          {"share_and_duty", share_and_duty},
          {"pace_faults", pace_faults}};
}

}  // namespace dunlinwing::test
