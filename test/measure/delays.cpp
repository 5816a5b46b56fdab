// Whole deployments under callers, seen from outside in steps of 20 to 50 ms.
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

void play(uint64_t seed, simulation::FleetShape shape, Duration length,
          const std::function<void(Scene&)>& story) {
  simulation::World w(seed);
  simulation::Fleet f(w, shape);
  Scene s{w, f, {}};
  w.run(w.now() + length, nullptr, [&] {
    f.start_all();
    f.spawn_outside([&] { story(s); });
  });
  if (!s.why.empty()) std::cout << "seed " << seed << ": " << s.why << "\n";
  f.end();
  w.run(w.now() + Duration(20000), nullptr, nullptr);
}

}  // namespace

void grow(int seeds) {
  for (int edges : {9, 27, 59}) {
    Figure msgs, bytes;
    for (int k = 1; k <= seeds; ++k) {
      simulation::FleetShape shape;
      shape.edge_nodes = edges;
      play(static_cast<uint64_t>(k), shape, Duration(30000), [&](Scene& s) {
        if (!begin(s, 100)) return;
        s.fleet.sleep(Duration(2000));
        auto m = s.world.messages, b = s.world.bytes;
        s.fleet.sleep(Duration(10000));
        double per = 10.0 * (edges + 5);
        msgs.v.push_back(static_cast<double>(s.world.messages - m) / per);
        bytes.v.push_back(static_cast<double>(s.world.bytes - b) / per);
      });
    }
    std::cout << fmt::format("{} relays: messages per relay and second {}; bytes {}\n", edges + 5,
                             msgs.text(), bytes.text());
  }
}

namespace {
// Milliseconds until the condition holds on every host that is up.
double till_all(Scene& s, const std::function<bool(simulation::Host&)>& ok) {
  auto from = s.world.now();
  s.fleet.wait_until(Duration(20000), [&] {
    for (auto& h : s.fleet.hosts())
      if (h->up() && !ok(*h)) return false;
    return true;
  });
  return static_cast<double>((s.world.now() - from).count());
}

// How long callers of the others went without a good answer.
double gap(Scene& s, const std::function<void()>& harm, Duration look) {
  harm();
  auto end = s.world.now() + look;
  TimePoint last = s.world.now();
  double worst = 0;
  auto good = s.fleet.good;
  while (s.world.now() < end) {
    s.fleet.sleep(Duration(20));
    if (s.fleet.good != good) {
      worst = std::max(worst, static_cast<double>((s.world.now() - last).count()));
      last = s.world.now();
      good = s.fleet.good;
    }
  }
  return std::max(worst, static_cast<double>((s.world.now() - last).count()));
}

}  // namespace

void delays(int seeds) {
  Figure purge_seen, assigned, holder, zone, all, quarantine, bad;
  for (int k = 1; k <= seeds * 4; ++k) {
    auto seed = static_cast<uint64_t>(k);
    play(seed, {}, Duration(70000), [&](Scene& s) {
      if (!begin(s, 100)) return;
      for (int i = 0; i < 3; ++i) {
        s.fleet.sleep(Duration(1000 + s.world.below(1000)));
        purge(s, fmt::format("p{}", i), "service", "");
        auto want = static_cast<uint64_t>(i + 1);
        purge_seen.v.push_back(till_all(s, [&](simulation::Host& host) {
          return proxy::purge_number(*host.node->request_handler().snapshot(), "content") >= want;
        }));
      }
      auto doc = sim_layout("\"1\"", 3, 0, R"(,"express":"measured")");
      put(s, "second", doc);
      pb::RolloutState r;
      s.fleet.wait_until(Duration(5000), [&] {
        rollout_seen(s, r);
        return r.in_force().count("layout") && r.in_force().at("layout") == "second";
      });
      assigned.v.push_back(
          till_all(s, [](simulation::Host& host) { return host.node->configuration_name() == "second"; }));
      holder.v.push_back(gap(
          s, [&] { s.fleet.kill("h1"); }, Duration(6000)));
      s.fleet.start("h1");
      s.fleet.sleep(Duration(3000));
      zone.v.push_back(gap(
          s,
          [&] {
            for (auto& h : s.fleet.hosts())
              if (h->zone == "a") s.fleet.kill(h->name);
          },
          Duration(6000)));
      s.fleet.start_all();
      s.fleet.sleep(Duration(5000));
      all.v.push_back(gap(
          s,
          [&] {
            for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
            s.fleet.start_all();
          },
          Duration(10000)));
    });
    play(seed, {}, Duration(60000), [&](Scene& s) {
      if (!begin(s, 150, sim_layout("\"1\",\"2\"", 4))) return;
      auto& x = s.fleet.add_backend("app", "2", 0);
      x.bad_percent = 70;
      s.fleet.sleep(Duration(2500));
      s.fleet.wait_until(Duration(10000), [&] {
        return s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
      });
      s.fleet.wait_until(Duration(40000), [&] { return s.world.faults_met["bad_answer"] >= 50; });
      quarantine.v.push_back(till_all(s, [](simulation::Host& host) {
        auto snapshot = host.node->request_handler().snapshot();
        auto f = snapshot->service_states.find("app");
        return f != snapshot->service_states.end() && f->second.quarantined().count("2");
      }));
      bad.v.push_back(static_cast<double>(s.world.faults_met["bad_answer"]));
    });
  }
  std::cout << "purge acknowledged, till the last relay heeds it, ms: " << purge_seen.text() << "\n"
            << "assignment first seen, till the last relay runs it, ms: " << assigned.text() << "\n"
            << "longest time without a good answer, one holder killed, ms: " << holder.text() << "\n"
            << "the same, a zone killed, ms: " << zone.text() << "\n"
            << "the same, all killed and started at once, ms: " << all.text() << "\n"
            << "50 bad answers, till the last relay heeds the quarantine, ms: " << quarantine.text() << "\n"
            << "bad answers of the quarantined version in all: " << bad.text() << "\n";
}

}  // namespace dunlinwing::measure
