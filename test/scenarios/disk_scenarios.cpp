// Disks of replicas that fail for some seconds and recover: full, failing every write, or
// stalled. The replica does not vote meanwhile, votes again within a second after the fault, and
// nothing acknowledged is lost, whichever other replica is killed at that moment.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kVotesAgain{1000};

enum class DiskFault { full, refusing, stalled };

using Acked = std::map<std::string, std::string>;

// Records configurations one after the other until it is stopped.
struct Writer {
  std::shared_ptr<bool> stop = std::make_shared<bool>(false);
  std::shared_ptr<Acked> acked = std::make_shared<Acked>();
};

Writer write_layouts(Scene& scene) {
  Writer w;
  scene.fleet.spawn_outside([&scene, w] {
    for (int i = 0; !*w.stop; ++i) {
      auto name = fmt::format("r{}", i);
      auto document = simulated_configuration("\"1\"", 1 + i % 9);
      if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, document).status == 202)
        (*w.acked)[name] = document;
      scene.fleet.sleep(Duration(1 + scene.world.below(300)));
    }
  });
  return w;
}

void begin_fault(Scene& scene, simulation::Host& host, DiskFault fault, Duration lasts) {
  if (fault == DiskFault::full) host.disk_contents.full = true;
  if (fault == DiskFault::refusing) host.disk_contents.failing = true;
  if (fault == DiskFault::stalled) host.disk_contents.stalled_until = scene.world.now() + lasts;
}

void end_fault(simulation::Host& host) {
  host.disk_contents.full = host.disk_contents.failing = false;
  host.disk_contents.stalled_until = TimePoint(0);
}

// Whether the replica grants a promise for a register that is not used otherwise.
bool votes(Scene& scene, simulation::Host& host) {
  struct Asked {
    bool yes = false, done = false;
  };
  auto asked = std::make_shared<Asked>();
  auto* node = host.node.get();
  pb::PeerRequest request;
  request.set_epoch(node->registers().replica_set().epoch());
  request.mutable_prepare()->set_name("test/disk");
  request.mutable_prepare()->mutable_ballot()->set_round(static_cast<uint64_t>(scene.world.now().count()));
  request.mutable_prepare()->mutable_ballot()->set_node("test");
  scene.world.spawn(host.process, [node, request, asked] {
    auto reply = node->acceptor()->handle(request);
    asked->yes = reply.vote().granted() && !reply.vote().non_voting();
    asked->done = true;
  });
  scene.fleet.wait_until(kVotesAgain, [&] { return asked->done; });
  return asked->yes;
}

void all_know(Scene& scene, const Acked& acked) {
  for (auto& host : scene.fleet.hosts())
    if (host->up()) expect_releases(scene, *host, acked);
}

std::vector<std::string> replicas_in_any_order(Scene& scene) {
  std::vector<std::string> names;
  for (auto& host : scene.fleet.hosts())
    if (host->has_disk) names.push_back(host->name);
  for (size_t i = names.size(); i > 1; --i) std::swap(names[i - 1], names[scene.world.below(i)]);
  return names;
}

// Whether a configuration sent now is recorded in time. Sends its own requests, since the writer may
// still wait for a response of a process that was killed.
bool records(Scene& scene, const Writer& w, Duration timeout) {
  return scene.fleet.wait_until(timeout, [&] {
    auto name = fmt::format("probe{}", scene.world.now().count());
    auto document = simulated_configuration("\"1\"", 1);
    if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, document).status != 202) return false;
    (*w.acked)[name] = document;
    return true;
  });
}

// One disk fails under traffic. Right after it recovers two other replicas are killed, so that its
// replica is needed for every majority; then it is restarted from its disk.
void one_disk(Scene& scene, DiskFault fault) {
  scene.duration = Duration(150000);
  scene.script = [&scene, fault] {
    if (!start_traffic(scene)) return;
    auto w = write_layouts(scene);
    scene.fleet.sleep(Duration(2000));
    Duration longest{0};
    for (int round = 0; round < 5; ++round) {
      auto names = replicas_in_any_order(scene);
      auto& host = scene.fleet.at(names[0]);
      Duration lasts(1000 + scene.world.below(4000));
      auto from = scene.world.now();
      begin_fault(scene, host, fault, lasts);
      scene.fleet.sleep(lasts / 2);
      // The process may be killed meanwhile and restarted on the failing disk.
      if (scene.world.random(300)) {
        scene.fleet.kill(host.name);
        scene.fleet.start(host.name);
      } else if (fault != DiskFault::stalled) {
        scene.require(host.node->acceptor()->non_voting(), host.name + " votes while its disk fails");
      }
      scene.require(records(scene, w, lasts - lasts / 2),
                    "no configuration was recorded while one of five disks failed");
      scene.fleet.sleep(std::max(Duration(0), from + lasts - scene.world.now()));
      end_fault(host);
      from = scene.world.now();
      scene.fleet.kill(names[1]);
      bool again = scene.fleet.wait_until(kVotesAgain, [&] { return votes(scene, host); });
      scene.require(again, host.name + " does not vote within a second after its disk recovered");
      longest = std::max<Duration>(longest, scene.world.now() - from);
      scene.fleet.kill(names[2]);
      scene.require(records(scene, w, Duration(5000)),
                    "no configuration was recorded though three of five replicas vote");
      scene.fleet.sleep(Duration(2000));
      scene.fleet.start(names[1]);
      scene.fleet.start(names[2]);
      scene.fleet.sleep(Duration(2500));
      scene.fleet.kill(host.name);
      scene.fleet.sleep(Duration(200));
      scene.fleet.start(host.name);
      scene.fleet.sleep(Duration(3000));
      scene.require(!host.node->acceptor()->non_voting(),
                    host.name + " does not vote after a restart on its recovered disk");
    }
    *w.stop = true;
    scene.fleet.sleep(Duration(8000));
    all_know(scene, *w.acked);
    scene.figures["longest_until_vote_ms"] = static_cast<uint64_t>(longest.count());
    scene.figures["layouts_acked"] = w.acked->size();
    scene.require(w.acked->size() > 20, "too few configurations were acknowledged");
  };
}

// All disks are full at once, as on one shared volume; processes are restarted meanwhile, and
// finally all nodes lose power.
void every_disk(Scene& scene) {
  scene.duration = Duration(120000);
  scene.required_faults = {"full_disk", "disk_back", "kill"};
  scene.script = [&scene] {
    if (!start_traffic(scene)) return;
    auto w = write_layouts(scene);
    for (int round = 0; round < 3; ++round) {
      scene.fleet.sleep(Duration(2000 + scene.world.below(1000)));
      auto names = replicas_in_any_order(scene);
      for (auto& n : names) {
        begin_fault(scene, scene.fleet.at(n), DiskFault::full, Duration(0));
        scene.fleet.sleep(Duration(scene.world.below(30)));
      }
      scene.fleet.sleep(Duration(500 + scene.world.below(2500)));
      for (int k = 0; k < 2; ++k) {
        scene.fleet.kill(names[static_cast<size_t>(k)]);
        scene.fleet.sleep(Duration(scene.world.below(200)));
        scene.fleet.start(names[static_cast<size_t>(k)]);
      }
      scene.fleet.sleep(Duration(scene.world.below(1000)));
      for (auto& n : names) end_fault(scene.fleet.at(n));
      for (auto& n : names)
        scene.require(scene.fleet.wait_until(kVotesAgain, [&] { return votes(scene, scene.fleet.at(n)); }),
                      n + " does not vote within a second after its disk recovered");
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(8000)),
                    "not all nodes were ready after their disks recovered");
      scene.require(records(scene, w, Duration(3000)), "nothing was recorded though all disks recovered");
      scene.fleet.sleep(Duration(2000));
      for (auto& host : scene.fleet.hosts()) scene.fleet.kill(host->name);
      scene.fleet.sleep(Duration(300));
      scene.fleet.start_all();
      scene.fleet.event(R"("t":"returned")");
      scene.require(await_all_ready(scene, Duration(15000)),
                    "not all nodes were ready 15 s after a restart of all nodes");
    }
    *w.stop = true;
    scene.fleet.sleep(Duration(8000));
    all_know(scene, *w.acked);
    scene.figures["layouts_acked"] = w.acked->size();
  };
}

auto one_disk_that(DiskFault fault, std::vector<std::string> meets) {
  return [fault, meets](Scene& scene) {
    one_disk(scene, fault);
    scene.required_faults = meets;
  };
}

}  // namespace

NamedCases disk_scenarios() {
  return {{"disk_full", one_disk_that(DiskFault::full, {"full_disk", "disk_back", "kill"})},
          {"disk_refuses", one_disk_that(DiskFault::refusing, {"refusing_disk", "disk_back", "kill"})},
          {"disk_stalls", one_disk_that(DiskFault::stalled, {"stalled_disk", "kill"})},
          {"disks_full_all", every_disk}};
}

}  // namespace dunlinwing::test
