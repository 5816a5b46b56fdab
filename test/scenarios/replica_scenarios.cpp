// The replica set forms from the seeds, grows to the size that the tolerance requires and
// replaces lost replicas, while hosts fail; nothing acknowledged is lost.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

using Acked = std::map<std::string, std::string>;

// Records configurations one after the other, and measures the longest time between two acknowledgements.
struct Writer {
  std::shared_ptr<bool> stop = std::make_shared<bool>(false);
  std::shared_ptr<Acked> acked = std::make_shared<Acked>();
  std::shared_ptr<Duration> gap = std::make_shared<Duration>(0);
};

Writer writer(Scene& scene, int max_pause_ms) {
  Writer w;
  scene.fleet.spawn_outside([&scene, w, max_pause_ms] {
    TimePoint last = scene.world.now();
    for (int i = 0; !*w.stop; ++i) {
      auto name = fmt::format("r{}", i);
      auto doc = simulated_configuration("\"1\"", 1 + i % 9);
      if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202) {
        (*w.acked)[name] = doc;
        *w.gap = std::max<Duration>(*w.gap, scene.world.now() - last);
        last = scene.world.now();
      }
      scene.fleet.sleep(Duration(1 + scene.world.below(static_cast<uint64_t>(max_pause_ms))));
    }
  });
  return w;
}

std::set<std::string> replicas_at(simulation::Host& host) {
  std::set<std::string> out;
  for (auto& x : host.node->registers().replica_set().all()) out.insert(x.name);
  return out;
}

// Whether every running node knows a set of n replicas, and each running replica votes.
bool settled(Scene& scene, size_t n) {
  for (auto& host : scene.fleet.hosts()) {
    if (!host->up()) continue;
    auto set = replicas_at(*host);
    if (set.size() != n) return false;
    if (set.count(host->name) && host->node->acceptor()->non_voting()) return false;
  }
  return true;
}

void all_know(Scene& scene, const Acked& acked) {
  for (auto& host : scene.fleet.hosts())
    if (host->up()) expect_releases(scene, *host, acked);
}

// One seed is killed at a random moment while the set forms, with or without loss of its disk, or all nodes
// are killed.
void forms(Scene& scene) {
  scene.duration = Duration(70000);
  scene.script = [&scene] {
    auto kind = scene.world.below(4);
    scene.fleet.sleep(Duration((kind == 3 ? 20 : 0) + scene.world.below(1500)));
    auto one = fmt::format("h{}", 1 + scene.world.below(3));
    if (kind == 1 || kind == 2) {
      scene.fleet.kill(one);
      if (kind == 2) scene.fleet.wipe(one);
      scene.fleet.sleep(Duration(2 + scene.world.below(1500)));
      scene.fleet.start(one);
    } else if (kind == 3) {
      // Not before the first sync of an empty disk: a replica without state cannot detect a loss.
      for (auto& host : scene.fleet.hosts()) scene.fleet.kill(host->name);
      scene.fleet.sleep(Duration(2 + scene.world.below(1500)));
      scene.fleet.start_all();
    }
    scene.figures[fmt::format("kind_{}", kind)] = 1;
    auto from = scene.world.now();
    if (!scene.fleet.wait_until(Duration(12000), [&] { return settled(scene, 3); }))
      scene.require(false, fmt::format("no replica set formed, kind {}", kind));
    scene.figures["formed_ms"] = static_cast<uint64_t>((scene.world.now() - from).count());
    if (!start_traffic(scene)) return;
    auto w = writer(scene, 400);
    scene.fleet.sleep(Duration(4000));
    // A replica that loses its disk later never forms a new set: its registers are restored from both other
    // replicas, never from one alone.
    scene.fleet.kill("h1");
    scene.fleet.wipe("h1");
    scene.fleet.kill("h2");
    scene.fleet.sleep(Duration(500));
    scene.fleet.start("h1");
    scene.fleet.sleep(Duration(6000));
    scene.require(scene.fleet.at("h1").node->acceptor()->non_voting(),
                  "a replica that lost its disk votes after contact with only one other");
    scene.fleet.start("h2");
    scene.fleet.event(R"("t":"returned")");
    scene.require(scene.fleet.wait_until(Duration(10000), [&] { return settled(scene, 3); }),
                  "the replica with the lost disk did not get its registers back");
    scene.fleet.sleep(Duration(2000));
    *w.stop = true;
    scene.fleet.sleep(Duration(6000));
    all_know(scene, *w.acked);
    scene.require(w.acked->size() > 5, "too few configurations were acknowledged");
  };
}

// A replica is lost permanently and replaced by a spare; then another one is lost.
void heals(Scene& scene) {
  scene.duration = Duration(110000);
  scene.required_faults = {"kill", "lost_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    // As many registers as a fleet has after a long time.
    auto pads = std::make_shared<int>(0);
    auto* any = &scene.fleet.at("h3");
    for (int k = 0; k < 8; ++k)
      scene.world.spawn(any->process, [any, pads, k] {
        for (int i = k; i < 400; i += 8)
          *pads += std::holds_alternative<consensus::VersionedValue>(
              any->node->registers().write(fmt::format("pad/{}", i), 0, std::string(400, 'x')));
      });
    scene.require(scene.fleet.wait_until(Duration(20000), [&] { return *pads == 400; }),
                  "the registers were not written");
    auto w = writer(scene, 600);
    scene.fleet.sleep(Duration(3000));
    auto out = fmt::format("h{}", 1 + scene.world.below(3));
    scene.fleet.kill(out);
    scene.fleet.wipe(out);
    auto from = scene.world.now();
    auto healed = [&] {
      for (auto& host : scene.fleet.hosts())
        if (host->up() && (!replicas_at(*host).count("x1") || replicas_at(*host).count(out))) return false;
      return settled(scene, 3);
    };
    uint64_t unready = 0;
    scene.require(scene.fleet.wait_until(Duration(45000),
                                         [&] {
                                           for (auto& host : scene.fleet.hosts())
                                             unready += host->up() && !host->node->ready();
                                           return healed();
                                         }),
                  "the spare did not replace " + out);
    // The requirement allows four seconds (two bounds) from the start of the successor, which
    // runs already here.
    scene.require(scene.world.now() - from <= Duration(4000),
                  fmt::format("the repair took {} ms", (scene.world.now() - from).count()));
    scene.figures["unready_looks"] = unready;
    scene.figures["healed_ms"] = static_cast<uint64_t>((scene.world.now() - from).count());
    scene.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    scene.fleet.sleep(Duration(2000));
    auto next = out == "h1" ? "h2" : "h1";
    scene.fleet.kill(next);
    scene.fleet.wipe(next);
    scene.fleet.sleep(Duration(1000));
    auto n = w.acked->size();
    scene.fleet.sleep(Duration(6000));
    scene.require(w.acked->size() > n,
                  "no configuration was recorded after the loss of one of the three current replicas");
    scene.fleet.start(next);
    scene.fleet.start(out);  // restarts with an empty disk, as a spare
    scene.require(scene.fleet.wait_until(Duration(15000), [&] { return settled(scene, 3); }),
                  "the second lost replica did not get its registers back");
    *w.stop = true;
    scene.fleet.sleep(Duration(6000));
    all_know(scene, *w.acked);
    scene.figures["layouts_acked"] = w.acked->size();
  };
}

// Whether every running node knows a complete set of three with `in` and without `out`.
bool replaced(Scene& scene, const std::string& out, const std::string& in) {
  for (auto& host : scene.fleet.hosts()) {
    if (!host->up()) continue;
    auto set = replicas_at(*host);
    if (host->node->registers().replica_set().joint() || !set.count(in) || set.count(out)) return false;
  }
  return settled(scene, 3);
}

// A replica shuts down and is replaced while it still votes. As soon as this no longer counts
// as a loss, another one is lost permanently, and then the disk of a third.
void second_loss(Scene& scene) {
  static constexpr Duration kCatchUp{4000};  // after which the requirement counts a loss as repaired
  scene.duration = Duration(110000);
  scene.required_faults = {"kill", "lost_disk"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    auto w = writer(scene, 400);
    scene.fleet.kill("x2");  // starts when the second replica is lost
    scene.fleet.sleep(Duration(2000));
    std::vector<std::string> seeds{"h1", "h2", "h3"};
    auto pick = [&] {
      auto i = scene.world.below(seeds.size());
      auto name = seeds[i];
      seeds.erase(seeds.begin() + static_cast<long>(i));
      return name;
    };
    auto leaver = pick();
    auto from = scene.world.now();
    scene.fleet.at(leaver).node->begin_shutdown();
    scene.require(scene.fleet.wait_until(kCatchUp, [&] { return replaced(scene, leaver, "x1"); }),
                  leaver + " was not replaced in time before its shutdown");
    scene.figures["planned_ms"] = static_cast<uint64_t>((scene.world.now() - from).count());
    scene.fleet.kill(leaver);
    scene.fleet.wipe(leaver);
    scene.fleet.sleep(kCatchUp);
    auto gone = pick();
    scene.fleet.kill(gone);
    scene.fleet.wipe(gone);
    scene.fleet.sleep(Duration(1000));
    scene.fleet.start("x2");
    from = scene.world.now();
    scene.require(scene.fleet.wait_until(kCatchUp, [&] { return replaced(scene, gone, "x2"); }),
                  gone + " was not replaced in time");
    scene.figures["lost_ms"] = static_cast<uint64_t>((scene.world.now() - from).count());
    scene.fleet.sleep(kCatchUp - std::min(kCatchUp, scene.world.now() - from));
    auto third = pick();
    scene.fleet.kill(third);
    scene.fleet.wipe(third);
    auto acked = w.acked->size();
    scene.fleet.sleep(Duration(1000));
    scene.fleet.start(third);
    scene.fleet.sleep(Duration(5000));
    scene.require(w.acked->size() > acked, "no configuration was recorded after the third loss");
    scene.require(settled(scene, 3), "the replica with the wiped disk did not get its registers back");
    scene.require(scene.fleet.at(third).node->acceptor()->refilled_registers().empty(),
                  "refilled registers were not rewritten");
    *w.stop = true;
    scene.fleet.sleep(Duration(6000));
    all_know(scene, *w.acked);
    scene.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    scene.figures["layouts_acked"] = w.acked->size();
  };
}

// A replica that was down while registers were written has them on its disk soon after its restart.
void catches_up(Scene& scene) {
  scene.duration = Duration(60000);
  scene.required_faults = {"kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    auto w = writer(scene, 100);
    scene.fleet.sleep(Duration(1000));
    auto away = fmt::format("h{}", 1 + scene.world.below(3));
    scene.fleet.kill(away);
    scene.fleet.sleep(Duration(6000));
    *w.stop = true;
    scene.fleet.sleep(Duration(1000));
    scene.fleet.start(away);
    auto& cache = scene.fleet.at(away).node->state_cache();
    scene.fleet.sleep(Duration(500));
    scene.require(cache.has_read_lease(), "the restarted replica has no read lease");
    scene.figures["behind_at_first"] = cache.registers_behind(away).size();
    scene.require(
        scene.fleet.wait_until(
            Duration(4000), [&] { return cache.has_read_lease() && cache.registers_behind(away).empty(); }),
        fmt::format("{} registers are still not on the disk", cache.registers_behind(away).size()));
    scene.require(w.acked->size() > 10, "too few configurations were acknowledged");
    scene.fleet.sleep(Duration(2000));
    all_know(scene, *w.acked);
  };
}

// The set grows from three seeds to five; then all nodes lose power and two of them their disks.
void grows(Scene& scene) {
  scene.duration = Duration(80000);
  scene.required_faults = {"kill", "lost_disk"};
  scene.script = [&scene] {
    auto from = scene.world.now();
    auto w = writer(scene, 300);
    if (!start_traffic(scene)) return;
    scene.require(scene.fleet.wait_until(Duration(20000), [&] { return settled(scene, 5); }),
                  "the replica set did not grow to five");
    scene.figures["grown_ms"] = static_cast<uint64_t>((scene.world.now() - from).count());
    scene.figures["longest_ack_gap_ms"] = static_cast<uint64_t>(w.gap->count());
    scene.fleet.sleep(Duration(2000 + scene.world.below(3000)));
    std::vector<std::string> disks{"h1", "h2", "h3", "x1", "x2"};
    for (auto& host : scene.fleet.hosts()) scene.fleet.kill(host->name);
    for (int k = 0; k < 2; ++k) {
      auto i = scene.world.below(disks.size());
      scene.fleet.wipe(disks[i]);
      disks.erase(disks.begin() + static_cast<long>(i));
    }
    scene.fleet.sleep(Duration(100 + scene.world.below(2000)));
    scene.fleet.start_all();
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)),
                  "not all nodes were ready 15 s after the power loss");
    scene.require(scene.fleet.wait_until(Duration(10000), [&] { return settled(scene, 5); }),
                  "the replicas with lost disks did not get their registers back");
    *w.stop = true;
    scene.fleet.sleep(Duration(6000));
    all_know(scene, *w.acked);
    scene.figures["layouts_acked"] = w.acked->size();
  };
}

auto seeded(int tolerate) {
  return [tolerate](simulation::FleetShape& f) {
    f.seeded = true;
    f.replicas = 3;
    f.tolerate = tolerate;
  };
}
}  // namespace

NamedCases replica_scenarios() {
  return {{"forms", SimCase(forms, 0, seeded(1))},
          {"heals", SimCase(heals, 1, seeded(1))},
          {"second_loss", SimCase(second_loss, 2, seeded(1))},
          {"catches_up", SimCase(catches_up, 0, seeded(1))},
          {"grows", SimCase(grows, 2, seeded(2))}};
}

}  // namespace dunlinwing::test
