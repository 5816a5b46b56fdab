// Complete simulated deployments with client traffic, sampled from outside every 20 to 50 ms.
#include "delays.hpp"

#include <algorithm>
#include <iostream>

#include "rollout/rollout_controller.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::measure {
using namespace dunlinwing::test;

namespace {
struct Figure {
  std::vector<double> v;
  std::string text() {
    if (v.empty()) return "none";
    std::sort(v.begin(), v.end());
    return fmt::format("median {:.0f} (least {:.0f}, most {:.0f}, n {})", v[v.size() / 2], v.front(),
                       v.back(), v.size());
  }
};

void run_deployment(uint64_t seed, simulation::FleetShape shape, Duration length,
                    const std::function<void(Scene&)>& script) {
  simulation::World world(seed);
  simulation::Fleet fleet(world, shape);
  Scene scene{world, fleet, {}};
  world.run(world.now() + length, nullptr, [&] {
    fleet.start_all();
    fleet.spawn_outside([&] { script(scene); });
  });
  if (!scene.failure.empty()) std::cout << "seed " << seed << ": " << scene.failure << "\n";
  fleet.kill_all();
  world.run(world.now() + Duration(20000), nullptr, nullptr);
}

}  // namespace

void grow(int seeds) {
  for (int edges : {9, 27, 59}) {
    Figure msgs, bytes;
    for (int k = 1; k <= seeds; ++k) {
      simulation::FleetShape shape;
      shape.edge_nodes = edges;
      run_deployment(static_cast<uint64_t>(k), shape, Duration(30000), [&](Scene& scene) {
        if (!start_traffic(scene, 100)) return;
        scene.fleet.sleep(Duration(2000));
        auto m = scene.world.messages, b = scene.world.bytes;
        scene.fleet.sleep(Duration(10000));
        double per = 10.0 * (edges + 5);
        msgs.v.push_back(static_cast<double>(scene.world.messages - m) / per);
        bytes.v.push_back(static_cast<double>(scene.world.bytes - b) / per);
      });
    }
    std::cout << fmt::format("{} relays: messages per relay and second {}; bytes {}\n", edges + 5,
                             msgs.text(), bytes.text());
  }
}

namespace {
// Milliseconds until every running host satisfies the condition.
double till_all(Scene& scene, const std::function<bool(simulation::Host&)>& ok) {
  auto from = scene.world.now();
  scene.fleet.wait_until(Duration(20000), [&] {
    for (auto& host : scene.fleet.hosts())
      if (host->up() && !ok(*host)) return false;
    return true;
  });
  return static_cast<double>((scene.world.now() - from).count());
}

// The longest time after the fault in which the fleet sent no successful response.
double gap(Scene& scene, const std::function<void()>& harm, Duration look) {
  harm();
  auto end = scene.world.now() + look;
  TimePoint last = scene.world.now();
  double worst = 0;
  auto good = scene.fleet.good;
  while (scene.world.now() < end) {
    scene.fleet.sleep(Duration(20));
    if (scene.fleet.good != good) {
      worst = std::max(worst, static_cast<double>((scene.world.now() - last).count()));
      last = scene.world.now();
      good = scene.fleet.good;
    }
  }
  return std::max(worst, static_cast<double>((scene.world.now() - last).count()));
}

}  // namespace

void delays(int seeds) {
  Figure purge_seen, assigned, replica, zone, all, quarantine, bad;
  for (int k = 1; k <= seeds * 4; ++k) {
    auto seed = static_cast<uint64_t>(k);
    run_deployment(seed, {}, Duration(70000), [&](Scene& scene) {
      if (!start_traffic(scene, 100)) return;
      for (int i = 0; i < 3; ++i) {
        scene.fleet.sleep(Duration(1000 + scene.world.below(1000)));
        purge(scene, fmt::format("p{}", i), "service", "");
        auto want = static_cast<uint64_t>(i + 1);
        purge_seen.v.push_back(till_all(scene, [&](simulation::Host& host) {
          return proxy::purge_number(*host.node->request_handler().snapshot(), "content") >= want;
        }));
      }
      auto doc = simulated_configuration("\"1\"", 3, 0, R"(,"express":"measured")");
      record_configuration(scene, "second", doc);
      pb::RolloutState r;
      scene.fleet.wait_until(Duration(5000), [&] {
        read_rollout_state(scene, r);
        return r.in_force().count("layout") && r.in_force().at("layout") == "second";
      });
      assigned.v.push_back(till_all(
          scene, [](simulation::Host& host) { return host.node->configuration_name() == "second"; }));
      replica.v.push_back(gap(
          scene, [&] { scene.fleet.kill("h1"); }, Duration(6000)));
      scene.fleet.start("h1");
      scene.fleet.sleep(Duration(3000));
      zone.v.push_back(gap(
          scene,
          [&] {
            for (auto& h : scene.fleet.hosts())
              if (h->zone == "a") scene.fleet.kill(h->name);
          },
          Duration(6000)));
      scene.fleet.start_all();
      scene.fleet.sleep(Duration(5000));
      all.v.push_back(gap(
          scene,
          [&] {
            for (auto& h : scene.fleet.hosts()) scene.fleet.kill(h->name);
            scene.fleet.start_all();
          },
          Duration(10000)));
    });
    run_deployment(seed, {}, Duration(60000), [&](Scene& scene) {
      if (!start_traffic(scene, 150, simulated_configuration("\"1\",\"2\"", 4))) return;
      auto& backend = scene.fleet.add_backend("app", "2", 0);
      backend.bad_percent = 70;
      scene.fleet.sleep(Duration(2500));
      scene.fleet.wait_until(Duration(10000), [&] {
        return scene.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
      });
      scene.fleet.wait_until(Duration(40000), [&] { return scene.world.fault_counts["bad_answer"] >= 50; });
      quarantine.v.push_back(till_all(scene, [](simulation::Host& host) {
        auto snapshot = host.node->request_handler().snapshot();
        auto f = snapshot->service_states.find("app");
        return f != snapshot->service_states.end() && f->second.quarantined().count("2");
      }));
      bad.v.push_back(static_cast<double>(scene.world.fault_counts["bad_answer"]));
    });
  }
  std::cout << "purge acknowledged, till the last relay heeds it, ms: " << purge_seen.text() << "\n"
            << "assignment first seen, till the last relay runs it, ms: " << assigned.text() << "\n"
            << "longest time without a good answer, one holder killed, ms: " << replica.text() << "\n"
            << "the same, a zone killed, ms: " << zone.text() << "\n"
            << "the same, all killed and started at once, ms: " << all.text() << "\n"
            << "50 bad answers, till the last relay heeds the quarantine, ms: " << quarantine.text() << "\n"
            << "bad answers of the quarantined version in all: " << bad.text() << "\n";
}

}  // namespace dunlinwing::measure
