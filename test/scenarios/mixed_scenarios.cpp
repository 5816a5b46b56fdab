// Any faults of the brief's list, several at once, drawn from the seed: what a day
// could bring that nobody thought of. Then all is mended, and within fifteen seconds
// the fleet serves and every acknowledged statement is there.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

struct Mix {
  Scene& s;
  std::map<std::string, std::string> layouts;
  int turn = 0;

  simulation::Host& host() { return *s.fleet.hosts()[s.world.below(s.fleet.hosts().size())]; }
  simulation::SimulatedBackend* worker() {
    auto& ws = s.fleet.backends();
    auto* backend = ws[s.world.below(ws.size())].get();
    return backend->alive && !backend->leaving && !backend->foreign ? backend : nullptr;
  }
  void met(const char* what) { ++s.world.faults_met[what]; }

  void kill() {
    if (auto& h = host(); may_fall(s, h)) s.fleet.kill(h.name);
  }
  void kill_many() {
    met("kill_many");
    for (auto& h : s.fleet.hosts())
      if (s.world.random(400)) s.fleet.kill(h->name);
    s.fleet.sleep(Duration(300));
    s.fleet.start_all();
  }
  void lose_disk() {
    int out = 0;
    for (auto& x : s.fleet.hosts()) out += x->has_disk && (!x->up() || x->node->acceptor()->non_voting());
    if (auto& h = host(); h.has_disk && !out) {
      s.fleet.kill(h.name);
      s.fleet.wipe(h.name);
    }
  }
  void freeze() { s.world.freeze(host().name, s.world.now() + Duration(s.world.below(5000))); }
  void cut() {
    auto& h = host();
    for (auto& x : s.fleet.hosts())
      if (x->name != h.name) s.world.partition(h.name, x->name);
  }
  void split() {
    std::vector<std::string> left, right;
    for (auto& h : s.fleet.hosts()) (s.world.random(400) ? left : right).push_back(h->name);
    for (auto& a : left)
      for (auto& b : right) s.world.partition(a, b), s.world.partition(b, a);
  }
  void restart() {
    auto* h = &host();
    if (!h->up()) return;
    met("restart");
    auto gone = std::make_shared<bool>(false);
    auto name = h->name;
    s.world.spawn(h->process, [n = h->node.get(), gone] {
      n->begin_shutdown();
      *gone = true;
    });
    s.fleet.wait_until(Duration(4000), [&] { return *gone || !h->up(); });
    s.fleet.kill(name);
    s.fleet.start(name);
  }
  void jump() {
    met("clock_jump");
    host().wall_offset_ms += static_cast<int64_t>(s.world.below(4 * 86400000ull)) - 2 * 86400000ll;
  }
  void slow_disk() {
    auto& contents = host().disk_contents;
    contents.min_latency = Duration(200);
    contents.max_latency = Duration(1500);
  }
  void weather() {
    s.world.weather = {static_cast<int>(s.world.below(30)), static_cast<int>(s.world.below(30)), Duration(1),
                       Duration(1 + s.world.below(30))};
  }
  void worker_dies() {
    auto* backend = worker();
    if (!backend) return;
    met("worker_died");
    auto service = backend->service, version = backend->version;
    auto age = backend->max_age;
    backend->alive = false;
    s.fleet.add_backend(service, version, age);
  }
  void worker_leaves() {
    auto* backend = worker();
    if (!backend) return;
    met("worker_left");
    s.fleet.add_backend(backend->service, backend->version, backend->max_age);
    backend->leaving = true;
    s.fleet.spawn_outside([this, backend] {
      s.fleet.sleep(Duration(5000));
      backend->alive = false;
    });
  }
  void worker_ill() {
    auto* backend = worker();
    if (!backend) return;
    met("worker_ill");
    backend->lose_percent = static_cast<int>(s.world.below(20));
    backend->wrong_percent = static_cast<int>(s.world.below(10));
    backend->bad_percent = static_cast<int>(s.world.below(10));
    backend->max_latency = Duration(8 + s.world.below(1500));
  }
  void address_passes() {
    auto* backend = worker();
    if (!backend) return;
    met("address_passed");
    auto service = backend->service, version = backend->version, address = backend->address;
    auto age = backend->max_age;
    backend->alive = false;
    auto& x = s.fleet.add_backend(service == "app" ? "content" : "app", "1", service == "app" ? 3 : 0);
    x.address = address;
    x.foreign = s.world.random(300);
    s.fleet.add_backend(service, version, age);
  }
  void crowd() {
    met("crowd");
    s.fleet.generate_requests(150, s.world.now() + Duration(2500),
                              [this] { s.fleet.call("GET", fmt::format("/a/{}", s.world.below(100000))); });
  }
  void layout() {
    auto name = fmt::format("m{}", turn);
    auto doc = sim_layout("\"1\",\"2\"", 1 + static_cast<int>(s.world.below(3)), 0,
                          s.world.random(300) ? R"(,"express":"mixed")" : "");
    if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
      layouts[name] = doc, met("layout");
  }
  void invalid() {
    auto t = s.fleet.operator_call("PUT", fmt::format("/v1/releases/layout/i{}", turn),
                                   R"({"content":{"services":{},"routes":7}})");
    s.want(t.lost || t.status == 422 || t.status == 503, "an invalid layout gave " + t.body);
    met("invalid_layout");
  }
  void clear() {
    purge(s, fmt::format("u{}", turn), s.world.random(500) ? "prefix" : "path",
          s.world.random(500) ? "/c/" : "/c/3"),
        met("purge");
  }
  void storm() {
    met("purge_storm");
    for (int k = 0; k < 30; ++k)
      s.fleet.spawn_outside([this, k, t = turn] {
        purge(s, fmt::format("w{}-{}", t, k), "path", fmt::format("/c/{}", k % 20));
      });
  }
  void move() {
    if (s.fleet
            .operator_call("PUT", "/v1/services/app",
                           s.world.random(500) ? R"({"version":"2"})" : R"({"version":"1"})")
            .status == 200)
      met("move");
  }

  void all() {
    using Do = void (Mix::*)();
    static const Do list[] = {&Mix::kill,        &Mix::kill,          &Mix::kill_many,  &Mix::lose_disk,
                              &Mix::freeze,      &Mix::freeze,        &Mix::cut,        &Mix::split,
                              &Mix::restart,     &Mix::jump,          &Mix::slow_disk,  &Mix::weather,
                              &Mix::worker_dies, &Mix::worker_leaves, &Mix::worker_ill, &Mix::address_passes,
                              &Mix::crowd,       &Mix::layout,        &Mix::layout,     &Mix::invalid,
                              &Mix::clear,       &Mix::clear,         &Mix::storm,      &Mix::move};
    for (turn = 0; turn < 25; ++turn) {
      for (auto n = 1 + s.world.below(3); n; --n) (this->*list[s.world.below(std::size(list))])();
      s.fleet.sleep(Duration(s.world.below(2500)));
      if (s.world.random(350)) s.world.heal_all();
      for (auto& x : s.fleet.hosts())
        if (!x->up() && s.world.random(450)) s.fleet.start(x->name);
    }
  }

  void mend() {
    s.world.heal_all();
    s.world.weather = s.fleet.normal_conditions();
    for (auto& h : s.fleet.hosts())
      h->disk_contents.min_latency = Duration(1), h->disk_contents.max_latency = Duration(4);
    for (auto& w : s.fleet.backends())
      w->lose_percent = w->wrong_percent = w->bad_percent = 0, w->max_latency = Duration(8);
    s.fleet.sleep(Duration(5100));  // the last freeze is over
    s.fleet.start_all();
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the machines returned");
    s.fleet.sleep(Duration(2000));
    for (auto& h : s.fleet.hosts()) knows(s, *h, layouts);
    s.fleet.sleep(Duration(20000));
  }
};

void mixed(Scene& s) {
  s.length = Duration(170000);
  s.must_meet = {"kill", "freeze", "cut"};
  s.story = [&s] {
    if (!begin(s, 50, sim_layout("\"1\",\"2\"", 3))) return;
    allow(s, "2");
    for (int i = 0; i < 2; ++i) s.fleet.add_backend("app", "2", 0);
    auto m = std::make_shared<Mix>(Mix{s, {}, 0});
    m->all();
    m->mend();
    s.figures = {{"layouts_read_back", m->layouts.size()}};
  };
}
}  // namespace

NamedCases mixed_stories() { return {{"mixed", mixed}}; }

}  // namespace dunlinwing::test
