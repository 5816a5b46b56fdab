// Faulty backend instances, purges, overload and slow hosts, on a simulated fleet.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// Backend instances crash, lose responses after running a request, send corrupt bytes and
// refuse requests, all at once.
void bad_workers(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"lost_answer", "wrong_bytes", "bad_answer", "worker_refused",
                           "worker_died_in_request"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    for (auto& backend : scene.fleet.backends()) {
      backend->lose_percent = 4;
      backend->wrong_percent = 4;
      backend->bad_percent = 4;
      backend->refuse_percent = 4;
      backend->max_latency = Duration(400);
    }
    scene.fleet.add_backend("app", "9", 0);  // of a version that no configuration ever allowed
    for (int i = 0; i < 12; ++i) {
      scene.fleet.sleep(Duration(1500));
      auto& old = *scene.fleet.backends()[scene.world.below(scene.fleet.backends().size())];
      if (!old.alive) continue;
      auto service = old.service;
      auto age = old.max_age;
      scene.fleet.add_backend(service, "1", age);
      old.alive = false;
    }
  };
}

// Backend instances are replaced one by one; each deregisters before it stops.
void replaced(Scene& scene) {
  scene.duration = Duration(80000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    auto calls = scene.fleet.calls, good = scene.fleet.good;
    for (size_t i = 0; i < 6; ++i) {
      auto& old = *scene.fleet.backends()[i];
      scene.fleet.add_backend(old.service, "1", old.max_age);
      scene.fleet.sleep(Duration(1500));
      scene.fleet.backends()[i]->leaving = true;
      scene.fleet.sleep(Duration(4500));
      scene.fleet.backends()[i]->alive = false;
    }
    calls = scene.fleet.calls - calls;
    good = scene.fleet.good - good;
    scene.require(good * 1000 >= calls * 999, fmt::format("only {} of {} calls succeeded", good, calls));
  };
}

// The address of a stopped backend instance is reused by an instance of the other service.
void address_reuse(Scene& scene) {
  scene.duration = Duration(70000);
  scene.required_faults = {"wrong_address"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    for (int i = 0; i < 4; ++i) {
      auto& old = *scene.fleet.backends()[static_cast<size_t>(i)];
      old.alive = false;
      auto& n = scene.fleet.add_backend(old.service == "app" ? "content" : "app", "1",
                                        old.service == "app" ? 3 : 0);
      n.address = scene.fleet.backends()[static_cast<size_t>(i)]->address;
      scene.fleet.sleep(Duration(6000));
      scene.fleet.add_backend(scene.fleet.backends()[static_cast<size_t>(i)]->service, "1",
                              scene.fleet.backends()[static_cast<size_t>(i)]->max_age);
    }
  };
}

// The address of a stopped backend instance is reused by an unrelated program, which runs every
// request and responds with 421.
void foreign_address(Scene& scene) {
  scene.duration = Duration(60000);
  scene.required_faults = {"foreign"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 80)) return;
    for (int i = 0; i < 3; ++i) {
      auto k = scene.fleet.backends().size() - 1 - scene.world.below(3);
      scene.fleet.backends()[k]->alive = false;
      auto address = scene.fleet.backends()[k]->address;
      auto& backend = scene.fleet.add_backend("app", "1", 0);
      backend.foreign = true;
      backend.address = address;
      scene.fleet.sleep(Duration(6000));
      backend.alive = false;
      scene.fleet.add_backend("app", "1", 0);
      scene.fleet.sleep(Duration(4000));
    }
  };
}

void slow_workers(Scene& scene) {
  scene.duration = Duration(70000);
  scene.required_faults = {"slow_worker"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    for (int round = 0; round < 4; ++round) {
      for (auto& backend : scene.fleet.backends()) {
        bool slow = scene.world.random(500);
        backend->min_latency = Duration(slow ? 500 : 1);
        backend->max_latency = Duration(slow ? 4000 : 8);
      }
      scene.fleet.sleep(Duration(6000));
    }
    for (auto& backend : scene.fleet.backends()) {
      backend->min_latency = Duration(1);
      backend->max_latency = Duration(8);
    }
    scene.fleet.sleep(Duration(6000));
    auto calls = scene.fleet.calls, good = scene.fleet.good;
    scene.fleet.sleep(Duration(8000));
    scene.require((scene.fleet.good - good) * 100 >= (scene.fleet.calls - calls) * 98,
                  "requests fail after the backend instances became fast again");
  };
}

// One backend instance has load from other clients, and reports it in its responses.
void told_load(Scene& scene) {
  scene.duration = Duration(50000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 120)) return;
    simulation::SimulatedBackend* busy = nullptr;
    int n = 0;
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app") ++n, busy = backend.get();
    auto runs = [&] {
      std::pair<int, int> c;
      for (auto& l : scene.world.journal)
        if (l.find("\"t\":\"run\"") != l.npos && l.find("\"service\":\"app\"") != l.npos)
          ++c.first, c.second += l.find("\"" + busy->instance + "\"") != l.npos;
      return c;
    };
    auto part = [&](const char* when) {
      auto a = runs();
      scene.fleet.sleep(Duration(10000));
      auto b = runs();
      scene.figures[when] =
          static_cast<uint64_t>((b.second - a.second) * 100 / std::max(1, b.first - a.first));
      return scene.figures[when];
    };
    auto even = part("percent_before");
    busy->reported_load = 40;
    scene.fleet.sleep(Duration(1000));
    auto less = part("percent_under_load");
    busy->reported_load = 0;
    scene.fleet.sleep(Duration(2000));
    auto again = part("percent_after");
    scene.require(less * 2 < even, fmt::format("{} percent before, {} under load", even, less));
    scene.require(again * 2 > even, fmt::format("{} percent before, {} when the load was gone", even, again));
  };
}

void purge_storm(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 40)) return;
    auto done = std::make_shared<int>(0);
    for (int i = 0; i < 400; ++i) {
      scene.fleet.spawn_outside([&scene, i, done] {
        *done +=
            purge(scene, fmt::format("storm{}", i), i % 3 ? "path" : "prefix", fmt::format("/c/{}", i % 20));
      });
      if (i % 40 == 0) scene.fleet.sleep(Duration(300));
    }
    scene.fleet.sleep(Duration(10000));
    scene.require(*done > 390, fmt::format("only {} of 400 purges were accepted, {} got 503, {} were lost",
                                           *done, scene.figures["purge_503"], scene.figures["purge_0_lost"]));
    pb::PurgeSet set;
    for (auto& host : scene.fleet.hosts())
      if (auto f = host->node->state_cache().chosen().find("purge/content");
          f != host->node->state_cache().chosen().end())
        set.ParseFromString(f->second.data);
    scene.require(set.purges_size() > 0 && set.purges_size() <= 128,
                  "the number of kept purges is not bounded");
    scene.figures["purges_taken"] = static_cast<uint64_t>(*done);
    scene.figures["purges_kept"] = static_cast<uint64_t>(set.purges_size());
  };
}

// One service is overloaded: the other service is not affected, and the first one recovers
// without an operator.
void crowd(Scene& scene) {
  scene.duration = Duration(60000);
  scene.reject_within = Duration(1200);
  scene.script = [&scene] {
    auto doc = simulated_configuration();
    auto tight = std::string(R"("rate":0,"inflight":4,"waitlist":8)");
    doc.replace(doc.find("\"rate\":0"), 8, tight);
    if (!start_traffic(scene, 30, doc)) return;
    for (auto& backend : scene.fleet.backends())
      if (backend->service == "app")
        backend->min_latency = Duration(150), backend->max_latency = Duration(250);
    auto end = scene.world.now() + Duration(10000);
    auto calls = std::make_shared<uint64_t>(0), away = std::make_shared<uint64_t>(0);
    scene.fleet.generate_requests(500, end, [&scene, calls, away] {
      ++*calls;
      *away += scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(100000))) == 503;
    });
    auto n = std::make_shared<std::pair<uint64_t, uint64_t>>();
    while (scene.world.now() < end) {
      scene.fleet.sleep(Duration(50));
      scene.fleet.spawn_outside([&scene, n] {
        ++n->first;
        n->second += scene.fleet.call("GET", fmt::format("/c/{}", scene.world.below(1000))) == 200;
      });
    }
    scene.fleet.sleep(Duration(3000));
    scene.require(n->first > 50 && n->second * 100 >= n->first * 97,
                  fmt::format("the other service starved: {} of {} requests succeeded", n->second, n->first));
    auto c0 = scene.fleet.calls, g0 = scene.fleet.good;
    scene.fleet.sleep(Duration(5000));
    scene.require((scene.fleet.good - g0) * 100 >= (scene.fleet.calls - c0) * 95,
                  "requests fail after the overload");  // some are still in progress
    scene.figures = {{"crowd_calls", *calls},
                     {"crowd_turned_away", *away},
                     {"other_calls", n->first},
                     {"other_good", n->second}};
    scene.require(*away > 100, "there was no overload");
  };
}

void slow_disks(Scene& scene) {
  scene.duration = Duration(70000);
  scene.required_faults = {"slow_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    for (int i = 0; i < 2; ++i) {
      auto& contents = scene.fleet.at(fmt::format("h{}", 1 + i * 2)).disk_contents;
      contents.min_latency = Duration(300);
      contents.max_latency = Duration(2500);
    }
    Duration worst{0};
    for (int i = 0; i < 8; ++i) {
      auto from = scene.world.now();
      record_configuration(scene, fmt::format("r{}", i), simulated_configuration("\"1\"", 3 + i));
      worst = std::max<Duration>(worst, scene.world.now() - from);
      scene.fleet.sleep(Duration(2000));
    }
    scene.require(worst < Duration(1500),
                  fmt::format("a write took {} ms with two slow disks", worst.count()));
    scene.figures = {{"worst_write_ms", static_cast<uint64_t>(worst.count())}};
    scene.require(await_all_ready(scene, Duration(5000)), "not all nodes are ready with two slow disks");
  };
}

// Wall clocks jump by days, forward and backward; this may affect quiet hours only.
void clock_jumps(Scene& scene) {
  scene.duration = Duration(110000);
  scene.script = [&scene] {
    if (!start_traffic(scene, 60)) return;
    record_configuration(scene, "second", simulated_configuration("\"1\"", 3));
    for (int i = 0; i < 30; ++i) {
      auto& host = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      host->wall_offset_ms += static_cast<int64_t>(scene.world.below(4 * 86400000ull)) - 2 * 86400000ll;
      ++scene.world.fault_counts["clock_jump"];
      scene.fleet.sleep(Duration(1000));
    }
    scene.require(await_phase(scene, "second", "DONE", Duration(60000)),
                  "the release did not finish after clock jumps");
    scene.require(scene.fleet.good * 100 > scene.fleet.calls * 99, "requests failed during clock jumps");
  };
  scene.required_faults = {"clock_jump"};
}

// All kinds of faults at once; then the acknowledged configurations are read back from
// each relay, byte for byte.
void end_of_day(Scene& scene) {
  scene.duration = Duration(160000);
  scene.required_faults = {"kill", "freeze", "loss", "cut", "lost_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 40)) return;
    scene.world.network = {10, 10, Duration(1), Duration(20)};
    std::map<std::string, std::string> acked;
    for (int i = 0; i < 30; ++i) {
      auto& host = scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())];
      int down = 0;
      for (auto& x : scene.fleet.hosts())
        down += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
      switch (scene.world.below(6)) {
        case 0:
          if (may_kill(scene, *host)) scene.fleet.kill(host->name);
          break;
        case 1:
          scene.world.freeze(host->name, scene.world.now() + Duration(scene.world.below(5000)));
          break;
        case 2:
          scene.fleet.isolate(host->name);
          break;
        case 3:
          if (host->up() && host->has_disk && down == 0) {
            scene.fleet.kill(host->name);
            scene.fleet.wipe(host->name);
          }
          break;
        case 4:
          purge(scene, fmt::format("d{}", i), "prefix", "/c/");
          break;
        default: {
          auto name = fmt::format("day{}", i);
          auto doc = simulated_configuration("\"1\"", 1 + static_cast<int>(scene.world.below(9)));
          if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
            acked[name] = doc;
        }
      }
      scene.fleet.sleep(Duration(scene.world.below(2500)));
      if (scene.world.random(400)) scene.world.heal_all();
      for (auto& x : scene.fleet.hosts())
        if (!x->up() && scene.world.random(400)) scene.fleet.start(x->name);
    }
    scene.world.heal_all();
    scene.world.network = scene.fleet.normal_conditions();
    scene.fleet.start_all();
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)),
                  "not all nodes were ready 15 s after the hosts were restarted");
    // A node that is still frozen counts as ready until its lease ends, but receives nothing meanwhile.
    auto awake = [&scene] {
      return std::none_of(scene.fleet.hosts().begin(), scene.fleet.hosts().end(),
                          [&scene](auto& h) { return scene.world.frozen(h->name); });
    };
    uint64_t frozen_at_the_look = !awake();
    scene.require(scene.fleet.wait_until(Duration(5000), awake), "a freeze did not end");
    scene.fleet.sleep(Duration(2000));
    for (auto& host : scene.fleet.hosts()) expect_releases(scene, *host, acked);
    scene.figures = {{"layouts_read_back", acked.size()}, {"frozen_at_the_look", frozen_at_the_look}};
    scene.fleet.sleep(Duration(20000));
  };
}
// Right after an acknowledgement two of five replicas lose their disks, and all other hosts lose power at the
// same moment, those without a disk too.
void wiped_disks_and_all_dark(Scene& scene) {
  scene.duration = Duration(90000);
  scene.required_faults = {"kill", "lost_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 40)) return;
    std::map<std::string, std::string> acked;
    for (int i = 0; i < 3; ++i) {
      scene.fleet.sleep(Duration(scene.world.below(1000)));
      const auto name = fmt::format("last{}", i);
      const auto document = simulated_configuration("\"1\"", 4 + i);
      record_configuration(scene, name, document);
      acked[name] = document;
      scene.require(purge(scene, name, "prefix", "/c/"), "a purge was not acknowledged");
      scene.fleet.sleep(Duration(scene.world.below(4)));
      std::vector<std::string> replicas;
      for (auto& host : scene.fleet.hosts()) {
        if (host->has_disk) replicas.push_back(host->name);
        scene.fleet.kill(host->name);
      }
      const size_t first = scene.world.below(replicas.size());
      scene.fleet.wipe(replicas[first]);
      scene.fleet.wipe(replicas[(first + 1 + scene.world.below(replicas.size() - 1)) % replicas.size()]);
      scene.fleet.sleep(Duration(500 + scene.world.below(3000)));
      scene.fleet.start_all();
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(15000)),
                    "not all nodes were ready 15 s after the hosts were restarted");
      scene.fleet.sleep(Duration(2000));
      for (auto& host : scene.fleet.hosts()) expect_releases(scene, *host, acked);
    }
    scene.fleet.sleep(Duration(5000));
  };
}
}  // namespace

NamedCases proxy_scenarios() {
  return {{"bad_workers", bad_workers},     {"replaced", replaced},
          {"address_reuse", address_reuse}, {"foreign_address", foreign_address},
          {"slow_workers", slow_workers},   {"told_load", told_load},
          {"purge_storm", purge_storm},     {"crowd", crowd},
          {"slow_disks", slow_disks},       {"clock_jumps", clock_jumps},
          {"end_of_day", end_of_day},       {"wiped_disks_and_all_dark", wiped_disks_and_all_dark}};
}

}  // namespace dunlinwing::test
