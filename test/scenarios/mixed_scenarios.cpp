// Random combinations of all fault kinds, several at once, drawn from the seed, to find
// untested interactions. After all faults end, every node is ready within 15 seconds
// and has every acknowledged configuration.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

struct RandomFaults {
  Scene& scene;
  std::map<std::string, std::string> configurations;
  int turn = 0;

  simulation::Host& host() { return *scene.fleet.hosts()[scene.world.below(scene.fleet.hosts().size())]; }
  simulation::SimulatedBackend* worker() {
    auto& ws = scene.fleet.backends();
    auto* backend = ws[scene.world.below(ws.size())].get();
    return backend->alive && !backend->leaving && !backend->foreign ? backend : nullptr;
  }
  void count_fault(const char* what) { ++scene.world.fault_counts[what]; }

  void kill() {
    if (auto& h = host(); may_kill(scene, h)) scene.fleet.kill(h.name);
  }
  void kill_many() {
    count_fault("kill_many");
    for (auto& host : scene.fleet.hosts())
      if (scene.world.random(400)) scene.fleet.kill(host->name);
    scene.fleet.sleep(Duration(300));
    scene.fleet.start_all();
  }
  void lose_disk() {
    int out = 0;
    for (auto& x : scene.fleet.hosts()) out += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
    if (auto& h = host(); h.has_disk && !out) {
      scene.fleet.kill(h.name);
      scene.fleet.wipe(h.name);
    }
  }
  void freeze() { scene.world.freeze(host().name, scene.world.now() + Duration(scene.world.below(5000))); }
  void cut() {
    auto& h = host();
    for (auto& x : scene.fleet.hosts())
      if (x->name != h.name) scene.world.partition(h.name, x->name);
  }
  void split() {
    std::vector<std::string> left, right;
    for (auto& host : scene.fleet.hosts()) (scene.world.random(400) ? left : right).push_back(host->name);
    for (auto& a : left)
      for (auto& b : right) scene.world.partition(a, b), scene.world.partition(b, a);
  }
  void restart() {
    auto* h = &host();
    if (!h->up()) return;
    count_fault("restart");
    auto gone = std::make_shared<bool>(false);
    auto name = h->name;
    scene.world.spawn(h->process, [n = h->node.get(), gone] {
      n->begin_shutdown();
      *gone = true;
    });
    scene.fleet.wait_until(Duration(4000), [&] { return *gone || !h->up(); });
    scene.fleet.kill(name);
    scene.fleet.start(name);
  }
  void jump_clock() {
    count_fault("clock_jump");
    host().wall_offset_ms += static_cast<int64_t>(scene.world.below(4 * 86400000ull)) - 2 * 86400000ll;
  }
  void slow_disk() {
    auto& contents = host().disk_contents;
    contents.min_latency = Duration(200);
    contents.max_latency = Duration(1500);
  }
  void degrade_network() {
    scene.world.network = {static_cast<int>(scene.world.below(30)), static_cast<int>(scene.world.below(30)),
                           Duration(1), Duration(1 + scene.world.below(30))};
  }
  void worker_dies() {
    auto* backend = worker();
    if (!backend) return;
    count_fault("worker_died");
    auto service = backend->service, version = backend->version;
    auto age = backend->max_age;
    backend->alive = false;
    scene.fleet.add_backend(service, version, age);
  }
  void worker_leaves() {
    auto* backend = worker();
    if (!backend) return;
    count_fault("worker_left");
    scene.fleet.add_backend(backend->service, backend->version, backend->max_age);
    backend->leaving = true;
    scene.fleet.spawn_outside([this, backend] {
      scene.fleet.sleep(Duration(5000));
      backend->alive = false;
    });
  }
  void make_backend_faulty() {
    auto* backend = worker();
    if (!backend) return;
    count_fault("worker_ill");
    backend->lose_percent = static_cast<int>(scene.world.below(20));
    backend->wrong_percent = static_cast<int>(scene.world.below(10));
    backend->bad_percent = static_cast<int>(scene.world.below(10));
    backend->max_latency = Duration(8 + scene.world.below(1500));
  }
  void address_passes() {
    auto* backend = worker();
    if (!backend) return;
    count_fault("address_passed");
    auto service = backend->service, version = backend->version, address = backend->address;
    auto age = backend->max_age;
    backend->alive = false;
    auto& x = scene.fleet.add_backend(service == "app" ? "content" : "app", "1", service == "app" ? 3 : 0);
    x.address = address;
    x.foreign = scene.world.random(300);
    scene.fleet.add_backend(service, version, age);
  }
  void crowd() {
    count_fault("crowd");
    scene.fleet.generate_requests(150, scene.world.now() + Duration(2500), [this] {
      scene.fleet.call("GET", fmt::format("/a/{}", scene.world.below(100000)));
    });
  }
  void layout() {
    auto name = fmt::format("m{}", turn);
    auto doc = simulated_configuration("\"1\",\"2\"", 1 + static_cast<int>(scene.world.below(3)), 0,
                                       scene.world.random(300) ? R"(,"express":"mixed")" : "");
    if (scene.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
      configurations[name] = doc, count_fault("layout");
  }
  void invalid() {
    auto response = scene.fleet.operator_call("PUT", fmt::format("/v1/releases/layout/i{}", turn),
                                              R"({"content":{"services":{},"routes":7}})");
    scene.require(response.lost || response.status == 422 || response.status == 503,
                  "an invalid configuration got " + response.body);
    count_fault("invalid_layout");
  }
  void send_purge() {
    purge(scene, fmt::format("u{}", turn), scene.world.random(500) ? "prefix" : "path",
          scene.world.random(500) ? "/c/" : "/c/3"),
        count_fault("purge");
  }
  void storm() {
    count_fault("purge_storm");
    for (int k = 0; k < 30; ++k)
      scene.fleet.spawn_outside([this, k, t = turn] {
        purge(scene, fmt::format("w{}-{}", t, k), "path", fmt::format("/c/{}", k % 20));
      });
  }
  void move() {
    if (scene.fleet
            .operator_call("PUT", "/v1/services/app",
                           scene.world.random(500) ? R"({"version":"2"})" : R"({"version":"1"})")
            .status == 200)
      count_fault("move");
  }

  void inject_faults() {
    using Action = void (RandomFaults::*)();
    static const Action list[] = {&RandomFaults::kill,
                                  &RandomFaults::kill,
                                  &RandomFaults::kill_many,
                                  &RandomFaults::lose_disk,
                                  &RandomFaults::freeze,
                                  &RandomFaults::freeze,
                                  &RandomFaults::cut,
                                  &RandomFaults::split,
                                  &RandomFaults::restart,
                                  &RandomFaults::jump_clock,
                                  &RandomFaults::slow_disk,
                                  &RandomFaults::degrade_network,
                                  &RandomFaults::worker_dies,
                                  &RandomFaults::worker_leaves,
                                  &RandomFaults::make_backend_faulty,
                                  &RandomFaults::address_passes,
                                  &RandomFaults::crowd,
                                  &RandomFaults::layout,
                                  &RandomFaults::layout,
                                  &RandomFaults::invalid,
                                  &RandomFaults::send_purge,
                                  &RandomFaults::send_purge,
                                  &RandomFaults::storm,
                                  &RandomFaults::move};
    for (turn = 0; turn < 25; ++turn) {
      for (auto n = 1 + scene.world.below(3); n; --n) (this->*list[scene.world.below(std::size(list))])();
      scene.fleet.sleep(Duration(scene.world.below(2500)));
      if (scene.world.random(350)) scene.world.heal_all();
      for (auto& host : scene.fleet.hosts())
        if (!host->up() && scene.world.random(450)) scene.fleet.start(host->name);
    }
  }

  void recover_and_check() {
    scene.world.heal_all();
    scene.world.network = scene.fleet.normal_conditions();
    for (auto& host : scene.fleet.hosts())
      host->disk_contents.min_latency = Duration(1), host->disk_contents.max_latency = Duration(4);
    for (auto& w : scene.fleet.backends())
      w->lose_percent = w->wrong_percent = w->bad_percent = 0, w->max_latency = Duration(8);
    scene.fleet.sleep(Duration(5100));  // longer than the last freeze
    scene.fleet.start_all();
    scene.fleet.event(R"("t":"returned")");
    scene.require(await_all_ready(scene, Duration(15000)),
                  "not all nodes were ready 15 s after the hosts were restarted");
    scene.fleet.sleep(Duration(2000));
    for (auto& host : scene.fleet.hosts()) expect_releases(scene, *host, configurations);
    scene.fleet.sleep(Duration(20000));
  }
};

void mixed(Scene& scene) {
  scene.duration = Duration(170000);
  scene.required_faults = {"kill", "freeze", "cut"};
  scene.script = [&scene] {
    if (!start_traffic(scene, 50, simulated_configuration("\"1\",\"2\"", 3))) return;
    allow_version(scene, "2");
    for (int i = 0; i < 2; ++i) scene.fleet.add_backend("app", "2", 0);
    auto m = std::make_shared<RandomFaults>(RandomFaults{scene, {}, 0});
    m->inject_faults();
    m->recover_and_check();
    scene.figures = {{"layouts_read_back", m->configurations.size()}};
  };
}
}  // namespace

NamedCases mixed_scenarios() { return {{"mixed", mixed}}; }

}  // namespace dunlinwing::test
