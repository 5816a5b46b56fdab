// Faults at critical moments, and several kinds of faults at once.
#include "rollout/rollout_controller.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

std::string body_of(Scene& scene, const std::string& target) {
  std::string b;
  scene.fleet.wait_until(Duration(10000), [&] {
    auto response = scene.fleet.operator_call("GET", target, "");
    b = response.status == 200 ? response.body : "";
    return response.status == 200;
  });
  return b;
}

// The relay that acknowledged a request is killed at that moment, sometimes together
// with the leader; what it acknowledged is not lost.
void kill_after_ack(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 30, simulated_configuration("\"1\",\"2\"", 3))) return;
    allow_version(scene, "2");
    for (int i = 0; i < 2; ++i) scene.fleet.add_backend("app", "2", 0);
    scene.fleet.sleep(Duration(3000));
    auto acked = [&](const std::string& m, const std::string& target, const std::string& body) {
      bool ok = scene.fleet.wait_until(Duration(25000), [&] {
        auto response = scene.fleet.operator_call(m, target, body);
        if (response.status != 200 && response.status != 202) return false;
        ++scene.world.fault_counts["acked"];
        for (auto& host : scene.fleet.hosts())
          if (host->up() && (host->name == response.by ||
                             (scene.world.random(300) && host->node->leadership().is_leader())))
            scene.fleet.kill(host->name);
        return true;
      });
      scene.require(ok, target + " was not acknowledged");
      if (!ok) return;
      scene.fleet.sleep(Duration(scene.world.below(1500)));
      scene.fleet.start_all();
    };
    auto has = [&](const std::string& target, const std::string& what) {
      auto b = body_of(scene, target);
      scene.require(b.find(what) != b.npos,
                    fmt::format("{} was acknowledged and is missing from {}", what, target));
    };
    for (int i = 0; i < 3; ++i) {
      auto n = fmt::format("k{}", i);
      auto doc = simulated_configuration("\"1\",\"2\"", 2 + i);
      acked("PUT", "/v1/releases/layout/" + n, doc);
      has("/v1/releases/layout/" + n, doc);
      auto asked = scene.world.now().count();
      acked("PUT", "/v1/purges/" + n, R"({"service":"content","kind":"prefix","path":"/c/"})");
      scene.fleet.event(fmt::format(R"("t":"purged","path":"/c/","prefix":true,"asked":{})", asked));
      has("/v1/purges", "\"" + n + "\"");
      acked("PUT", "/v1/drains/node/e1", fmt::format(R"({{"drained":{},"reason":"{}"}})", i % 2 == 1, n));
      has("/v1/drains", n);
      auto beat = fmt::format(
          R"({{"service":"app","version":"1","instance":"{}","zone":"a","address":"10.9.9.9:1","leaving":true,"number":7,"period_ms":60000}})",
          n);
      acked("POST", "/v1/beats", beat);
      scene.fleet.sleep(Duration(2000));
      has("/v1/workers", "\"" + n + "\"");
    }
    acked("PUT", "/v1/services/app", R"({"version":"2"})");
    has("/v1/services/app", "\"2\"");
    acked("PUT", "/v1/holders/x1", R"({"holder":true,"address":"peer:x1"})");
    has("/v1/holders", "x1");
    scene.fleet.sleep(Duration(3000));
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)),
                  "not all nodes were ready 15 s after the hosts were restarted");
    scene.fleet.sleep(Duration(21000));
  };
}

// The only relay that received a backend instance's deregistration is killed right after it
// acknowledged it, and restarts without state; the instance does not repeat the request.
void last_word(Scene& scene) {
  scene.duration = Duration(110000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 80)) return;
    for (auto& x : scene.fleet.backends()) x->period_ms = 3000;
    for (size_t i = 0; i < 6; ++i) {
      scene.fleet.add_backend(scene.fleet.backends()[i]->service, "1", scene.fleet.backends()[i]->max_age)
          .period_ms = 3000;
      scene.fleet.sleep(Duration(3500));
      auto& backend = *scene.fleet.backends()[i];
      backend.on_deregistered = [&scene](const std::string& by) {
        scene.fleet.kill(by);
        scene.fleet.start(by);
      };
      backend.leaving = true;
      scene.fleet.sleep(Duration(9000));
      backend.alive = false;
    }
  };
}

// All hosts of one zone are killed, later both shields; clients of the other nodes are
// still served, and a configuration is recorded meanwhile.
void zone_lost(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    auto part = [&](const char* what, auto&& is) {
      std::vector<std::string> gone;
      for (auto& h : scene.fleet.hosts())
        if (is(*h)) gone.push_back(h->name);
      for (auto& n : gone) scene.fleet.kill(n);
      scene.fleet.sleep(Duration(500));
      auto c = scene.fleet.calls, g = scene.fleet.good;
      record_configuration(scene, fmt::format("without-{}", gone.front()),
                           simulated_configuration("\"1\"", 3));
      scene.fleet.sleep(Duration(6000));
      scene.require((scene.fleet.good - g) * 100 >= (scene.fleet.calls - c) * 97,
                    fmt::format("{} killed: only {} of {} calls succeeded", what, scene.fleet.good - g,
                                scene.fleet.calls - c));
      for (auto& n : gone) scene.fleet.start(n);
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(15000)),
                    std::string("not all nodes were ready after the restart of ") + what);
      scene.fleet.sleep(Duration(20500));
    };
    part("a zone", [&](simulation::Host& host) { return host.zone == "a"; });
    part("the shields", [&](simulation::Host& host) { return host.shield; });
  };
}

// The disk of the current leader becomes slow, again and again; rollouts and purges
// still make progress.
void slow_duty(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"slow_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 80)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    std::string last;
    for (int i = 0; i < 10; ++i) {
      if (auto* host = leader_host(scene)) {
        if (!last.empty())
          scene.fleet.at(last).disk_contents.min_latency = Duration(1),
          scene.fleet.at(last).disk_contents.max_latency = Duration(4);
        last = host->name;
        host->disk_contents.min_latency = Duration(400);
        host->disk_contents.max_latency = Duration(2500);
      }
      purge(scene, fmt::format("p{}", i), "prefix", "/c/");
      scene.fleet.sleep(Duration(4000));
    }
    scene.require(await_phase(scene, "second", "DONE", Duration(60000)),
                  "the release did not finish while the leader's disk was slow: " +
                      release_state(scene, "second").text());
  };
}

// Many purges at once while relays are partitioned and rejoin, in one or both directions.
void storm_cut(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"cut"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    for (int i = 0; i < 8; ++i) {
      for (auto& host : scene.fleet.hosts()) {
        if (!scene.world.random(250)) continue;
        for (auto& x : scene.fleet.hosts()) {
          if (x == host) continue;
          scene.world.partition(host->name, x->name);
          if (i % 2) scene.world.partition(x->name, host->name);
        }
      }
      for (int k = 0; k < 40; ++k)
        scene.fleet.spawn_outside([&scene, i, k] {
          purge(scene, fmt::format("s{}-{}", i, k), k % 3 ? "path" : "prefix", fmt::format("/c/{}", k % 20));
        });
      scene.fleet.sleep(Duration(500 + scene.world.below(4000)));
      scene.world.heal_all();
      scene.fleet.sleep(Duration(scene.world.below(1500)));
    }
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)), "not all nodes were ready after the partitions");
    scene.fleet.sleep(Duration(20500));
  };
}

// Backend instances are replaced one by one during the rollouts of a configuration and of a
// service's new version; invalid configurations are sent in between.
void busy_evening(Scene& scene) {
  scene.duration = Duration(150000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 100, simulated_configuration("\"1\",\"2\"", 3))) return;
    allow_version(scene, "2");
    for (int i = 0; i < 3; ++i) scene.fleet.add_backend("app", "2", 0);
    scene.fleet.sleep(Duration(2500));
    record_configuration(scene, "second", simulated_configuration("\"1\",\"2\"", 2));
    scene.require(
        scene.fleet.wait_until(
            Duration(10000),
            [&] {
              return scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
            }),
        "the version change was not accepted");
    auto calls = scene.fleet.calls, good = scene.fleet.good;
    static const char* const bad[] = {
        "{",
        "[]",
        R"({"content":{"services":{},"routes":[]},"holds":{"one_min":1}})",
        R"({"content":{"services":{"a":{"versions":["1"]}},"routes":[{"prefix":"/","service":"b"}]}})",
        R"({"content":{"services":{"a":{"versions":["1"],"deadline_ms":-1}},"routes":[]}})",
        R"({"content":{"services":{"a":{"versions":["1"]}},"routes":[]},"unknown":1})"};
    auto n = scene.fleet.backends().size() - 3;
    for (size_t i = 0; i < n; ++i) {
      auto& old = *scene.fleet.backends()[i];
      scene.fleet.add_backend(old.service, old.version, old.max_age);
      auto response = scene.fleet.operator_call("PUT", fmt::format("/v1/releases/layout/bad{}", i),
                                                bad[i % std::size(bad)]);
      scene.require(response.lost || response.status == 422 || response.status == 503,
                    fmt::format("an invalid configuration got {} {}", response.status, response.body));
      scene.fleet.sleep(Duration(1500));
      scene.fleet.backends()[i]->leaving = true;
      scene.fleet.sleep(Duration(3500));
      scene.fleet.backends()[i]->alive = false;
    }
    calls = scene.fleet.calls - calls;
    good = scene.fleet.good - good;
    scene.require(good * 1000 >= calls * 998, fmt::format("only {} of {} calls succeeded", good, calls));
    scene.require(await_phase(scene, "second", "DONE", Duration(60000)),
                  "the configuration was not rolled out to all nodes");
    scene.require(
        scene.fleet.wait_until(Duration(60000),
                               [&] {
                                 return body_of(scene, "/v1/services/app").find("\"current\":\"2\"") !=
                                        std::string::npos;
                               }),
        "the version change did not finish");
  };
}

// A node is assigned a release that it cannot load: it must not continue to serve under the old one.
void unloadable(Scene& scene) {
  scene.duration = Duration(40000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    auto* host = &scene.fleet.at("e1");
    auto ok = std::make_shared<bool>(false);
    for (int i = 0; i < 20 && !*ok; ++i) {
      scene.world.spawn(host->process, [host, ok] {
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
      scene.fleet.sleep(Duration(300));
    }
    scene.require(*ok, "the assignment was not written");
    scene.fleet.sleep(Duration(2000));
    scene.require(!host->node->ready(),
                  "a node is ready under a configuration that is no longer assigned to it");
    for (int i = 0; i < 10; ++i)
      scene.require(scene.fleet.call("GET", "/a/1", "", host) == 503,
                    "the node served a request under the old configuration");
    scene.fleet.sleep(Duration(3000));
  };
}
}  // namespace

NamedCases fault_scenarios() {
  return {{"kill_after_ack", SimCase(kill_after_ack, 1)},
          {"last_word", last_word},
          {"zone_lost", zone_lost},
          {"slow_duty", slow_duty},
          {"storm_cut", storm_cut},
          {"busy_evening", busy_evening},
          {"unloadable", unloadable}};
}

}  // namespace dunlinwing::test
