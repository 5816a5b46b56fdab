// Host and network faults. Each scenario starts with a fleet that serves its first configuration.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

void calm(Scene& scene) {
  scene.duration = Duration(110000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    scene.require(await_phase(scene, "second", "DONE", Duration(90000)),
                  "the second configuration was not rolled out to all nodes; its phase is " +
                      release_phase(scene, "second"));
    scene.require(scene.fleet.good * 100 > scene.fleet.calls * 99,
                  fmt::format("only {} of {} calls succeeded", scene.fleet.good, scene.fleet.calls));
  };
}

// Replicas and other nodes are killed at random, also right after they acknowledged a request.
void kills(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 12; ++i) {
      auto& host = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      if (may_kill(scene, *host)) scene.fleet.kill(host->name);
      scene.fleet.sleep(Duration(300 + scene.world.below(2500)));
      for (auto& x : scene.fleet.hosts())
        if (!x->up() && scene.world.random(600)) scene.fleet.start(x->name);
    }
    scene.fleet.start_all();
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)),
                  "not all nodes were ready 15 s after the hosts were restarted");
    scene.require(scene.fleet.operator_call("GET", "/v1/releases/layout/second", "").status == 200,
                  "an acknowledged configuration was lost");
    scene.fleet.sleep(Duration(15000));
  };
}

void all_at_once(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int k = 0; k < 2; ++k) {
      for (auto& host : scene.fleet.hosts()) scene.fleet.kill(host->name);
      scene.fleet.sleep(Duration(500 + scene.world.below(3000)));
      scene.fleet.start_all();
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(15000)),
                    "not all nodes were ready 15 s after a restart of all nodes");
      scene.require(scene.fleet.operator_call("GET", "/v1/releases/layout/second", "").status == 200,
                    "an acknowledged configuration was lost");
      scene.fleet.sleep(Duration(1000 + scene.world.below(12000)));
    }
  };
}

// One replica after the other loses its disk and restarts with an empty one.
void lost_disks(Scene& scene) {
  scene.duration = Duration(100000);
  scene.required_faults = {"lost_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    for (int i = 0; i < 5; ++i) {
      auto name = fmt::format("h{}", 1 + scene.world.below(5));
      record_configuration(scene, fmt::format("r{}", i), simulated_configuration("\"1\"", 3 + i));
      scene.fleet.kill(name);
      scene.fleet.wipe(name);
      scene.fleet.sleep(Duration(10 + scene.world.below(3000)));
      scene.fleet.start(name);
      bool back = scene.fleet.wait_until(
          Duration(10000), [&] { return !scene.fleet.at(name).node->acceptor()->non_voting(); });
      scene.require(back, name + " did not get its registers back");
      for (int k = 0; k <= i; ++k)
        scene.require(
            scene.fleet.operator_call("GET", fmt::format("/v1/releases/layout/r{}", k), "").status == 200,
            "an acknowledged configuration was lost");
    }
  };
}

void freezes(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"freeze"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      auto& host = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      scene.world.freeze(host->name, scene.world.now() + Duration(500 + scene.world.below(8000)));
      if (scene.world.random(500)) purge(scene, fmt::format("p{}", i), "prefix", "/c/");
      scene.fleet.sleep(Duration(500 + scene.world.below(5000)));
    }
    scene.require(await_all_ready(scene, Duration(20000)), "not all nodes were ready after the freezes");
  };
}

// The fleet is partitioned into two sides, in one or both directions; the minority must reject.
void splits(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"cut"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    for (int i = 0; i < 5; ++i) {
      std::vector<std::string> left, right;
      for (auto& host : scene.fleet.hosts()) (scene.world.random(400) ? left : right).push_back(host->name);
      bool one_way = scene.world.random(300);
      for (auto& a : left)
        for (auto& b : right) {
          scene.world.partition(a, b);
          if (!one_way) scene.world.partition(b, a);
        }
      auto name = fmt::format("p{}", i);
      scene.fleet.sleep(Duration(500 + scene.world.below(2000)));
      purge(scene, name, "service", "");
      scene.fleet.sleep(Duration(1000 + scene.world.below(6000)));
      scene.world.heal_all();
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(15000)), "not all nodes were ready after a partition");
      scene.fleet.sleep(Duration(1000));
    }
  };
}

void bad_network(Scene& scene) {
  scene.duration = Duration(70000);
  scene.required_faults = {"loss", "twice"};
  scene.script = [&scene] {
    scene.world.network = {30, 30, Duration(1), Duration(40)};
    if (!start_traffic(scene)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      purge(scene, fmt::format("p{}", i), "prefix", "/c/1");
      scene.fleet.sleep(Duration(3000));
    }
  };
}
}  // namespace

namespace {
// Two replicas are replaced by two other hosts, one after the other, while
// configurations are recorded and hosts fail; nothing acknowledged is lost.
void replaced_holders(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"kill", "loss"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    scene.world.network = {10, 10, Duration(1), Duration(15)};
    auto stop = std::make_shared<bool>(false);
    auto acked = std::make_shared<std::map<std::string, std::string>>();
    scene.fleet.spawn_outside([&scene, stop, acked] {
      for (int i = 0; !*stop; ++i) {
        auto name = fmt::format("r{}", i);
        auto doc = simulated_configuration("\"1\"", 1 + i % 9);
        if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
          (*acked)[name] = doc;
        scene.fleet.sleep(Duration(300 + scene.world.below(700)));
      }
    });
    for (int k = 1; k <= 2; ++k) {
      auto in = fmt::format("x{}", k), out = fmt::format("h{}", k);
      auto state = [&](const std::string& n, bool on) {
        auto body = on ? fmt::format(R"({{"holder":true,"address":"peer:{}"}})", n)
                       : std::string(R"({"holder":false})");
        bool ok = scene.fleet.wait_until(Duration(20000), [&] {
          return scene.fleet.operator_call("PUT", "/v1/holders/" + n, body).status == 200;
        });
        scene.require(ok, "the replica set could not be changed for " + n);
      };
      scene.fleet.kill(out);  // the replaced host fails permanently
      state(in, true);
      scene.require(scene.fleet.wait_until(
                        Duration(15000), [&] { return !scene.fleet.at(in).node->acceptor()->non_voting(); }),
                    in + " did not get its registers back");
      state(out, false);
      scene.fleet.sleep(Duration(1000 + scene.world.below(2000)));
    }
    scene.fleet.start("h1");  // the old host restarts, and its votes are not counted
    // Three of the five current replicas remain; without the two new ones there is no majority.
    scene.fleet.kill("h3");
    scene.fleet.kill("h4");
    scene.fleet.sleep(Duration(5000));
    auto n = acked->size();
    scene.fleet.sleep(Duration(6000));
    scene.require(acked->size() > n,
                  "no configuration was recorded after the loss of two of the five current replicas");
    *stop = true;
    scene.fleet.sleep(Duration(6000));
    scene.world.network = scene.fleet.normal_conditions();
    scene.fleet.start("h3");
    scene.fleet.start("h4");
    scene.fleet.sleep(Duration(6000));
    for (auto& host : scene.fleet.hosts())
      if (host->up()) expect_releases(scene, *host, *acked);
    auto p = base::Json::parse(scene.fleet.operator_call("GET", "/v1/holders", "").body);
    auto* j = std::get_if<base::Json>(&p);
    // Four changes with two epochs each, the last one complete.
    scene.require(j && j->at("epoch").string_or() == "8" && j->at("holders").items().size() == 5 &&
                      j->at("previous").items().empty(),
                  "the replica set is not the requested one");
    scene.figures = {{"layouts_acked", acked->size()}};
  };
}

// A relay that missed every change of the replica set writes through the replicas it still
// knows, two of which were removed long ago and restart just then.
void stale_set(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"kill", "cut"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    scene.fleet.isolate("e4");
    for (int k = 1; k <= 2; ++k) {
      auto in = fmt::format("x{}", k), out = fmt::format("h{}", k);
      auto state = [&](const std::string& n, const std::string& body) {
        bool ok = scene.fleet.wait_until(Duration(20000), [&] {
          return scene.fleet.operator_call("PUT", "/v1/holders/" + n, body).status == 200;
        });
        scene.require(ok, "the replica set could not be changed for " + n);
      };
      scene.fleet.kill(out);
      state(in, fmt::format(R"({{"holder":true,"address":"peer:{}"}})", in));
      scene.require(scene.fleet.wait_until(
                        Duration(15000), [&] { return !scene.fleet.at(in).node->acceptor()->non_voting(); }),
                    in + " did not get its registers back");
      state(out, R"({"holder":false})");
    }
    scene.fleet.sleep(Duration(3000));
    auto wins = std::make_shared<std::vector<std::string>>();
    auto ends = std::make_shared<int>(0);
    auto write = [&](const std::string& host) {
      auto* h = &scene.fleet.at(host);
      scene.world.spawn(h->process, [h, wins, ends] {
        auto r = h->node->registers().write("contested", 0, h->name);
        if (std::holds_alternative<consensus::VersionedValue>(r)) wins->push_back(h->name);
        ++*ends;
      });
    };
    // e4 reaches h1, h2 and h3 only, a majority of the set it knows; e1 does not reach h3.
    scene.world.heal_all();
    scene.fleet.isolate("e4");
    scene.fleet.start("h1");
    scene.fleet.start("h2");
    for (auto* h : {"h1", "h2"})
      for (auto& x : scene.fleet.hosts())
        if (x->name != h) scene.world.partition(h, x->name), scene.world.partition(x->name, h);
    scene.fleet.sleep(Duration(300));
    scene.world.partition("e1", "h3");
    scene.world.partition("h3", "e1");
    for (auto* h : {"h1", "h2", "h3"}) scene.world.heal("e4", h);
    write("e4");
    write("e1");
    scene.require(scene.fleet.wait_until(Duration(10000), [&] { return *ends == 2; }),
                  "a write did not return");
    scene.require(wins->size() <= 1,
                  "two writers won the same version, one of them with an outdated replica set");
    scene.world.heal_all();
    scene.fleet.sleep(Duration(5000));
  };
}
}  // namespace

NamedCases machine_scenarios() {
  return {{"calm", calm},
          {"kills", kills},
          {"all_at_once", all_at_once},
          {"lost_disks", lost_disks},
          {"freezes", freezes},
          {"splits", splits},
          {"bad_network", bad_network},
          {"replaced_holders", SimCase(replaced_holders, 2)},
          {"stale_set", SimCase(stale_set, 2)}};
}

}  // namespace dunlinwing::test
