// Rollouts, registers and the leadership under failure, on a simulated fleet.
#include "rollout/rollout_controller.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// The leader is killed in each phase. Recorded hold time is not lost, and the release still finishes; each
// node is assigned it once.
void duty_dies(Scene& scene) {
  scene.duration = Duration(200000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 80)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (std::string phase : {"ONE", "TWO", "THREE"}) {
      if (!await_phase(scene, "second", phase, Duration(60000)))
        return scene.require(false, "phase " + phase + " was not reached");
      scene.fleet.sleep(Duration(scene.world.below(1500)));
      auto* host = leader_host(scene);
      if (!host) continue;
      pb::RolloutState before;
      read_rollout_state(scene, before);
      auto name = host->name;
      scene.fleet.kill(name);
      bool taken = scene.fleet.wait_until(Duration(15000), [&] { return leader_host(scene) != nullptr; });
      scene.require(taken, "no other node became the leader");
      pb::RolloutState after;
      read_rollout_state(scene, after);
      for (auto& progress : before.releases())
        for (auto& d : after.releases())
          if (progress.release() == d.release() && progress.phase() == d.phase() &&
              progress.zone() == d.zone())
            scene.require(d.held_ms() >= progress.held_ms(), "hold time was lost");
      scene.fleet.start(name);
    }
    scene.require(await_phase(scene, "second", "DONE", Duration(100000)),
                  "the release did not finish: " + release_state(scene, "second").text());
  };
}

// A release routes requests to a new service, whose backend instances turn bad once the release has reached
// a phase.
void bad_release_in(Scene& scene, const std::string& phase) {
  scene.duration = Duration(120000);
  scene.required_faults = {"bad_answer"};
  scene.script = [&scene, phase] {
    if (!start_traffic(scene, 80)) return;
    std::vector<simulation::SimulatedBackend*> instances;
    for (int i = 0; i < 3; ++i) instances.push_back(&scene.fleet.add_backend("fresh", "1", 0));
    scene.fleet.event(R"("t":"allowed","service":"fresh","version":"1","prefix":"/a/")");
    scene.fleet.sleep(Duration(2500));
    auto doc = simulated_configuration("\"1\"", 3);
    doc.replace(doc.find(R"("service":"app","methods":["GET"])"), 15, R"("service":"fresh")");
    doc.insert(doc.find("\"app\""), R"("fresh":{"versions":["1"],"deadline_ms":2000},)");
    record_configuration(scene, "second", doc);
    if (!await_phase(scene, "second", phase, Duration(80000)))
      return scene.require(false, "phase " + phase + " was not reached");
    for (auto* instance : instances) instance->bad_percent = 60;
    scene.require(await_phase(scene, "second", "STOPPED", Duration(20000)),
                  "a bad release was not stopped in phase " + phase);
    scene.fleet.sleep(Duration(2000));
    uint64_t top = 0;
    for (auto& host : scene.fleet.hosts()) {
      scene.require(host->node->configuration_name() == "first",
                    host->name + " did not return to the previous release");
      top = std::max(top, host->node->generation());
    }
    pb::RolloutState r;
    read_rollout_state(scene, r);
    scene.require(top == r.generation(),
                  "the return to the previous release does not have the highest generation");
  };
}

// A configuration that omits the current version, or lists a new one first, would switch a service to a
// version that was never a canary.
void version_by_layout(Scene& scene) {
  scene.duration = Duration(80000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 80)) return;
    for (int i = 0; i < 3; ++i) scene.fleet.add_backend("app", "2", 0).bad_percent = 60;
    for (int i = 0; i < 3; ++i) scene.fleet.add_backend("content", "2", 3);
    allow_version(scene, "2");
    scene.fleet.sleep(Duration(3000));
    scene.fleet.event(R"("t":"bad_version","service":"app","version":"2")");
    for (auto* vs : {"\"2\"", "\"2\",\"1\""}) {
      auto name = fmt::format("v{}", std::string(vs).size());
      auto response =
          scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name,
                                    simulated_configuration(vs, 3, 0, R"(,"express":"in a hurry")"));
      scene.require(response.lost || response.status == 409 || response.status == 202,
                    "the configuration got " + response.body);
      scene.fleet.sleep(Duration(12000));
    }
    // A configuration recorded before a version became current may still be sent again.
    auto again = scene.fleet.operator_call("PUT", "/v1/releases/layout/first", simulated_configuration());
    scene.require(again.lost || again.status == 200, "a recorded configuration sent again got " + again.body);
    scene.require(scene.fleet.good * 10 > scene.fleet.calls * 9,
                  fmt::format("only {} of {} calls succeeded", scene.fleet.good, scene.fleet.calls));
  };
}

// Quiet hours apply to the fleet, not to one host: every leader waits for them.
void quiet_hours(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    auto from = scene.fleet.hosts()[0]->wall_offset_ms + scene.world.now().count();
    auto hour = [&](int64_t plus_min) {
      auto m = (from / 60000 + plus_min) % 1440;
      return fmt::format("{:02}:{:02}", m / 60, m % 60);
    };
    auto sys =
        fmt::format(R"({{"express":"hours for all","content":{{"quiet_hours":{{"from":"{}","to":"{}"}}}}}})",
                    hour(60), hour(120));
    scene.require(
        scene.fleet.wait_until(
            Duration(8000),
            [&] { return scene.fleet.operator_call("PUT", "/v1/releases/system/hours", sys).status == 202; }),
        "quiet hours were not accepted");
    scene.fleet.sleep(Duration(3000));
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 2; ++i) {
      scene.fleet.sleep(Duration(3000));
      scene.require(release_phase(scene, "second") == "WAITING", "a phase started outside quiet hours");
      auto* host = leader_host(scene);
      if (!host) continue;
      auto name = host->name;
      scene.fleet.kill(name);
      scene.require(scene.fleet.wait_until(Duration(15000), [&] { return leader_host(scene) != nullptr; }),
                    "no other node became the leader");
      scene.fleet.start(name);
    }
    scene.fleet.sleep(Duration(2000));
    scene.require(release_phase(scene, "second") == "WAITING", "the new leader did not wait for quiet hours");
    for (auto& h : scene.fleet.hosts()) h->wall_offset_ms += 70 * 60000;
    scene.require(await_phase(scene, "second", "ONE", Duration(6000)), "no phase started in quiet hours");
    for (auto& h : scene.fleet.hosts()) h->wall_offset_ms -= 70 * 60000;
    scene.fleet.sleep(Duration(9000));
    scene.require(release_phase(scene, "second") == "ONE", "a phase started after quiet hours");
    scene.require(scene.fleet
                          .operator_call("PUT", "/v1/releases/system/odd",
                                         R"({"content":{"quiet_hours":{"from":"27:00","to":"01:00"}}})")
                          .status == 422,
                  "27:00 was accepted");
  };
}

// Requests wait for seconds, for a connection or under the origin's rate limit, while one configuration after
// the other comes into force on all nodes; sometimes a node is partitioned.
void old_layout(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"cut"};
  scene.script = [&scene] {
    auto doc = [](int life) {
      auto d = simulated_configuration("\"1\"", life, 8,
                                       R"(,"express":"the scenario changes configurations often")");
      auto at = d.find("\"app\"");
      d.replace(d.find("\"deadline_ms\":2000", at), 18, R"("deadline_ms":9000,"inflight":8)");
      return d;
    };
    if (!start_traffic(scene, 40, doc(3))) return;
    scene.fleet.event(R"("t":"rate","service":"app","n":8)");
    for (int i = 0; i < 8; ++i) {
      scene.fleet.sleep(Duration(3000 + scene.world.below(3000)));
      auto& host = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      scene.fleet.isolate(host->name);
      scene.fleet.sleep(Duration(scene.world.below(500)));
      record_configuration(scene, fmt::format("r{}", i), doc(1 + i));
      scene.fleet.sleep(Duration(scene.world.below(1500)));
      scene.world.heal_all();
    }
    scene.fleet.sleep(Duration(9000));
  };
}

// A release breaks only what clients do not notice: heartbeats of backend instances through its nodes, or
// connections from them to a service that gets no requests at that time.
void blind_release_in(Scene& scene, const std::string& phase, const std::string& what) {
  scene.duration = Duration(470000);
  scene.required_faults = {what == "beats" ? "beat_unheard" : "unreachable"};
  scene.script = [&scene, phase, what] {
    if (!start_traffic(scene, 80)) return;
    scene.fleet.sleep(Duration(65000));  // until the usual number of heartbeats is known
    record_configuration(
        scene, "second",
        simulated_configuration("\"1\"", 3, 0, R"(,"holds":{"one_min":900,"two_min":1600})"));
    if (!await_phase(scene, "second", phase, Duration(280000)))
      return scene.require(false, "phase " + phase + " was not reached");
    scene.fleet.mutable_shape().broken_release = "second";
    scene.fleet.mutable_shape().broken_aspect = what;
    std::string now = phase;
    scene.fleet.wait_until(Duration(100000), [&] { return (now = release_phase(scene, "second")) != phase; });
    scene.require(now == "STOPPED", "the release was not stopped in phase " + phase + ": " +
                                        release_state(scene, "second").text());
    auto why = release_state(scene, "second").at("course").at("why").string_or();
    scene.require(why.find(what == "beats" ? "check worker-beats" : "check probes") == 0,
                  "the release was stopped for another reason: " + why);
  };
}

// Without traffic there is no evidence, and no release advances.
void too_little(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 1)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    scene.fleet.sleep(Duration(25000));
    scene.require(release_phase(scene, "second") == "ONE", "the release advanced without evidence");
    auto why = release_state(scene, "second").at("course").at("why").string_or();
    scene.require(why.find("too little evidence") == 0,
                  "the status does not give the reason for the hold: " + why);
    auto response = scene.fleet.operator_call("PUT", "/v1/releases/layout/second/waivers/evidence",
                                              R"({"reason":"a quiet night"})");
    scene.require(response.status == 200, "the waiver was not accepted");
    scene.require(await_phase(scene, "second", "TWO", Duration(10000)),
                  "a waived check still blocked the release");
  };
}

// All nodes concurrently compare-and-set one register while hosts fail: each version has
// one winner, and no read is older than a write acknowledged before it.
void races(Scene& scene) {
  scene.duration = Duration(60000);
  scene.required_faults = {"kill", "loss", "freeze"};
  struct State {
    std::map<uint64_t, std::string> won;
    uint64_t acked = 0, writes = 0, reads = 0, stale = 0, unsure = 0;
  };
  auto st = std::make_shared<State>();
  scene.script = [&scene, st] {
    if (!start_traffic(scene, 5)) return;
    scene.world.network = {20, 20, Duration(1), Duration(25)};
    auto end = scene.world.now() + Duration(30000);
    for (auto& h : scene.fleet.hosts())
      for (int k = 0; k < 2; ++k)
        scene.fleet.spawn_outside([&scene, st, end, host = h.get(), k] {
          for (int i = 0; scene.world.now() < end; ++i) {
            scene.fleet.sleep(Duration(scene.world.below(1000)));
            if (!host->up()) continue;
            // Runs in the host's process and stops when it is killed.
            scene.world.spawn(host->process, [&scene, st, host, k, i] {
              auto& registers = host->node->registers();
              auto floor = st->acked;
              auto g = registers.read("race");
              auto* h = std::get_if<consensus::VersionedValue>(&g);
              if (!h) return;
              ++st->reads;
              scene.require(
                  h->version >= floor,
                  fmt::format("a read gave version {} after {} was acknowledged", h->version, floor));
              if (auto f = st->won.find(h->version); f != st->won.end())
                scene.require(f->second == h->data, "a read gave another value than was acknowledged");
              auto mine = fmt::format("{}/{}/{}", host->name, k, i);
              auto w = registers.write("race", h->version, mine);
              if (auto* d = std::get_if<consensus::VersionedValue>(&w)) {
                ++st->writes;
                auto [f, fresh] = st->won.emplace(d->version, mine);
                scene.require(fresh || f->second == mine,
                              fmt::format("two writers won version {}", d->version));
                st->acked = std::max(st->acked, d->version);
              } else if (std::holds_alternative<consensus::VersionConflict>(w)) {
                ++st->stale;
              } else {
                ++st->unsure;
              }
            });
          }
        });
    while (scene.world.now() < end) {
      scene.fleet.sleep(Duration(500 + scene.world.below(1500)));
      auto& h = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      if (scene.world.random(400)) {
        if (may_kill(scene, *h)) scene.fleet.kill(h->name);
      } else if (scene.world.random(500)) {
        scene.world.freeze(h->name, scene.world.now() + Duration(scene.world.below(3000)));
      }
      for (auto& x : scene.fleet.hosts())
        if (!x->up() && scene.world.random(500)) scene.fleet.start(x->name);
    }
    scene.fleet.start_all();
    scene.fleet.sleep(Duration(6000));
    scene.figures = {{"race_writes", st->writes},
                     {"race_reads", st->reads},
                     {"race_stale", st->stale},
                     {"race_unsure", st->unsure}};
    scene.require(st->writes > 20 && st->stale > 0,
                  fmt::format("there was no race: {} writes, {} stale, {} unsure, {} reads", st->writes,
                              st->stale, st->unsure, st->reads));
  };
}

// Operators send conflicting and invalid documents concurrently; one wins, the others get a conflict.
void operators_race(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    auto won = std::make_shared<int>(0), lost = std::make_shared<int>(0), odd = std::make_shared<int>(0);
    for (int i = 0; i < 6; ++i)
      scene.fleet.spawn_outside([&scene, i, won, lost, odd] {
        auto response = scene.fleet.operator_call("PUT", "/v1/releases/layout/contested",
                                                  simulated_configuration("\"1\"", 1 + i));
        (response.status == 202 ? *won : response.status == 409 ? *lost : *odd)++;
      });
    scene.fleet.sleep(Duration(6000));
    scene.require(*won == 1, fmt::format("{} operators won, {} lost, {} other", *won, *lost, *odd));
    for (auto* bad :
         {"{", "[]", R"({"content":{}})", R"({"content":{"services":{"x":{"versions":[]}},"routes":[]}})"}) {
      auto response = scene.fleet.operator_call("PUT", "/v1/releases/layout/bad", bad);
      scene.require(
          response.status == 422 && response.body.find("\"defects\":[{\"at\":") != std::string::npos,
          "an invalid configuration got " + response.body);
    }
    scene.require(scene.fleet.operator_call("GET", "/v1/releases/layout/bad", "").status == 404,
                  "an invalid configuration was recorded");
    auto a = scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"1"})");
    scene.require(a.status == 200 && a.etag == "\"1\"",
                  "the first request for a service's version got " + a.body);
    auto b =
        scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"1"})", {{"If-Match", "\"7\""}});
    scene.require(b.status == 412 && b.etag == "\"1\"", "a stale If-Match did not get the current version");
    scene.require(purge(scene, "once", "path", "/c/1") && purge(scene, "once", "path", "/c/1"),
                  "a repeated purge was not acknowledged as the same purge");
    scene.require(scene.fleet
                          .operator_call("PUT", "/v1/purges/once",
                                         R"({"service":"content","kind":"path","path":"/c/2"})")
                          .status == 409,
                  "another purge under a known name was acknowledged");
    scene.fleet.sleep(Duration(500));
    scene.require(
        scene.fleet
                .operator_call("PUT", "/v1/purges/once", R"({"service":"app","kind":"path","path":"/c/1"})")
                .status == 409,
        "another service's purge under a known name was acknowledged");
    scene.require(scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"9"})").status == 422,
                  "a version that no configuration allows was accepted");
  };
}

// A watch returns when the watched resource has changed, and not before.
void watch(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    auto response = scene.fleet.operator_call("GET", "/v1/assignments", "");
    auto v = response.etag.substr(1, response.etag.size() - 2);
    auto none = scene.fleet.operator_call("GET", "/v1/services/none?after=0&wait_ms=100", "");
    scene.require(none.status == 404, "a watch of an unknown resource did not get 404");
    auto from = scene.world.now();
    auto same = scene.fleet.operator_call("GET", "/v1/assignments?wait_ms=1500&after=" + v, "");
    scene.require(same.status == 304 && scene.world.now() - from >= Duration(1500),
                  fmt::format("a watch of an unchanged resource got {}", same.status));
    scene.fleet.spawn_outside([&scene] {
      scene.fleet.sleep(Duration(1000));
      record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    });
    from = scene.world.now();
    auto next = scene.fleet.operator_call("GET", "/v1/assignments?wait_ms=4500&after=" + v, "");
    scene.require(next.status == 200 && scene.world.now() - from >= Duration(1000),
                  "a watch missed a change");
  };
}

// A partition isolates the leader: it steps down before its lease ends, and the other side gets a new
// leader.
void split_duty(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"cut"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 40)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 3; ++i) {
      auto* host = leader_host(scene);
      if (!host) return scene.require(false, "there is no leader");
      scene.fleet.isolate(host->name);
      bool passed = scene.fleet.wait_until(Duration(15000), [&] {
        auto* n = leader_host(scene);
        return n && n != host;
      });
      scene.require(passed, "no other node became leader");
      scene.world.heal_all();
      scene.fleet.sleep(Duration(2000 + scene.world.below(3000)));
    }
  };
}

// Each node in turn is shut down gracefully and restarted.
void rolling_restart(Scene& scene) {
  scene.duration = Duration(120000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 40)) return;
    auto calls = scene.fleet.calls, good = scene.fleet.good;
    for (auto& host : scene.fleet.hosts()) {
      bool gone = false;
      auto name = host->name;
      scene.world.spawn(host->process, [&gone, n = host->node.get()] {
        n->begin_shutdown();
        gone = true;
      });
      scene.require(
          scene.fleet.wait_until(
              Duration(5000), [&] { return gone && host->node->request_handler().running_requests() == 0; }),
          name + " did not shut down within five seconds");
      scene.fleet.kill(name);
      scene.fleet.sleep(Duration(200));
      scene.fleet.start(name);
      scene.require(await_all_ready(scene, Duration(10000)),
                    name + ": not all nodes were ready after its restart");
    }
    calls = scene.fleet.calls - calls;
    good = scene.fleet.good - good;
    scene.figures = {{"restart_calls", calls}, {"restart_not_good", calls - good}};
    scene.require(good * 100 >= calls * 99, fmt::format("only {} of {} calls succeeded", good, calls));
  };
}
}  // namespace

NamedCases rollout_scenarios() {
  return {{"duty_dies", duty_dies},
          {"bad_release_one", [](Scene& scene) { bad_release_in(scene, "ONE"); }},
          {"bad_release_two", [](Scene& scene) { bad_release_in(scene, "TWO"); }},
          {"bad_release_three", [](Scene& scene) { bad_release_in(scene, "THREE"); }},
          {"version_by_layout", version_by_layout},
          {"quiet_hours", quiet_hours},
          {"old_layout", old_layout},
          {"blind_beats_one", [](Scene& scene) { blind_release_in(scene, "ONE", "beats"); }},
          {"blind_beats_two", [](Scene& scene) { blind_release_in(scene, "TWO", "beats"); }},
          {"blind_beats_three", [](Scene& scene) { blind_release_in(scene, "THREE", "beats"); }},
          {"blind_reach_one", [](Scene& scene) { blind_release_in(scene, "ONE", "reach"); }},
          {"blind_reach_two", [](Scene& scene) { blind_release_in(scene, "TWO", "reach"); }},
          {"blind_reach_three", [](Scene& scene) { blind_release_in(scene, "THREE", "reach"); }},
          {"too_little", too_little},
          {"races", races},
          {"operators_race", operators_race},
          {"watch", watch},
          {"split_duty", split_duty},
          {"rolling_restart", rolling_restart}};
}

}  // namespace dunlinwing::test
