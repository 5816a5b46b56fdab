// Any faults of the brief's list, several at once, drawn from the seed: what a day
// could bring that nobody thought of. Then all is mended, and within fifteen seconds
// the fleet serves and every acknowledged statement is there.
#include "story.hpp"

namespace dunlinwing::test {
namespace {

struct Mix {
  Scene& s;
  std::map<std::string, std::string> layouts;
  int turn = 0;

  simulation::Host& host() { return *s.f.hosts()[s.w.below(s.f.hosts().size())]; }
  simulation::Worker* worker() {
    auto& ws = s.f.workers();
    auto* w = ws[s.w.below(ws.size())].get();
    return w->alive && !w->leaving && !w->foreign ? w : nullptr;
  }
  void met(const char* what) { ++s.w.met[what]; }

  void kill() {
    if (auto& h = host(); may_fall(s, h)) s.f.kill(h.name);
  }
  void kill_many() {
    met("kill_many");
    for (auto& h : s.f.hosts())
      if (s.w.random(400)) s.f.kill(h->name);
    s.f.sleep(Duration(300));
    s.f.start_all();
  }
  void lose_disk() {
    int out = 0;
    for (auto& x : s.f.hosts()) out += x->holder && (!x->up() || x->node->acceptor()->mute());
    if (auto& h = host(); h.holder && !out) {
      s.f.kill(h.name);
      s.f.wipe(h.name);
    }
  }
  void freeze() { s.w.freeze(host().name, s.w.now() + Duration(s.w.below(5000))); }
  void cut() {
    auto& h = host();
    for (auto& x : s.f.hosts())
      if (x->name != h.name) s.w.cut(h.name, x->name);
  }
  void split() {
    std::vector<std::string> left, right;
    for (auto& h : s.f.hosts()) (s.w.random(400) ? left : right).push_back(h->name);
    for (auto& a : left)
      for (auto& b : right) s.w.cut(a, b), s.w.cut(b, a);
  }
  void restart() {
    auto* h = &host();
    if (!h->up()) return;
    met("restart");
    auto gone = std::make_shared<bool>(false);
    auto name = h->name;
    s.w.spawn(h->life, [n = h->node.get(), gone] {
      n->leave();
      *gone = true;
    });
    s.f.until(Duration(4000), [&] { return *gone || !h->up(); });
    s.f.kill(name);
    s.f.start(name);
  }
  void jump() {
    met("clock_jump");
    host().wall += static_cast<int64_t>(s.w.below(4 * 86400000ull)) - 2 * 86400000ll;
  }
  void slow_disk() {
    auto& p = host().platter;
    p.least = Duration(200);
    p.most = Duration(1500);
  }
  void weather() {
    s.w.weather = {static_cast<int>(s.w.below(30)), static_cast<int>(s.w.below(30)), Duration(1),
                   Duration(1 + s.w.below(30))};
  }
  void worker_dies() {
    auto* w = worker();
    if (!w) return;
    met("worker_died");
    auto service = w->service, version = w->version;
    auto age = w->max_age;
    w->alive = false;
    s.f.add_worker(service, version, age);
  }
  void worker_leaves() {
    auto* w = worker();
    if (!w) return;
    met("worker_left");
    s.f.add_worker(w->service, w->version, w->max_age);
    w->leaving = true;
    s.f.outside([this, w] {
      s.f.sleep(Duration(5000));
      w->alive = false;
    });
  }
  void worker_ill() {
    auto* w = worker();
    if (!w) return;
    met("worker_ill");
    w->lose_percent = static_cast<int>(s.w.below(20));
    w->wrong_percent = static_cast<int>(s.w.below(10));
    w->bad_percent = static_cast<int>(s.w.below(10));
    w->most = Duration(8 + s.w.below(1500));
  }
  void address_passes() {
    auto* w = worker();
    if (!w) return;
    met("address_passed");
    auto service = w->service, version = w->version, address = w->address;
    auto age = w->max_age;
    w->alive = false;
    auto& x = s.f.add_worker(service == "app" ? "content" : "app", "1", service == "app" ? 3 : 0);
    x.address = address;
    x.foreign = s.w.random(300);
    s.f.add_worker(service, version, age);
  }
  void crowd() {
    met("crowd");
    s.f.callers(150, s.w.now() + Duration(2500),
                [this] { s.f.call("GET", fmt::format("/a/{}", s.w.below(100000))); });
  }
  void layout() {
    auto name = fmt::format("m{}", turn);
    auto doc = sim_layout("\"1\",\"2\"", 1 + static_cast<int>(s.w.below(3)), 0,
                          s.w.random(300) ? R"(,"express":"mixed")" : "");
    if (s.f.tell("PUT", "/v1/releases/layout/" + name, doc).status == 202) layouts[name] = doc, met("layout");
  }
  void invalid() {
    auto t = s.f.tell("PUT", fmt::format("/v1/releases/layout/i{}", turn),
                      R"({"content":{"services":{},"routes":7}})");
    s.want(t.lost || t.status == 422 || t.status == 503, "an invalid layout gave " + t.body);
    met("invalid_layout");
  }
  void clear() {
    purge(s, fmt::format("u{}", turn), s.w.random(500) ? "prefix" : "path", s.w.random(500) ? "/c/" : "/c/3"),
        met("purge");
  }
  void storm() {
    met("purge_storm");
    for (int k = 0; k < 30; ++k)
      s.f.outside([this, k, t = turn] {
        purge(s, fmt::format("w{}-{}", t, k), "path", fmt::format("/c/{}", k % 20));
      });
  }
  void move() {
    if (s.f.tell("PUT", "/v1/services/app", s.w.random(500) ? R"({"version":"2"})" : R"({"version":"1"})")
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
      for (auto n = 1 + s.w.below(3); n; --n) (this->*list[s.w.below(std::size(list))])();
      s.f.sleep(Duration(s.w.below(2500)));
      if (s.w.random(350)) s.w.mend();
      for (auto& x : s.f.hosts())
        if (!x->up() && s.w.random(450)) s.f.start(x->name);
    }
  }

  void mend() {
    s.w.mend();
    s.w.weather = s.f.calm();
    for (auto& h : s.f.hosts()) h->platter.least = Duration(1), h->platter.most = Duration(4);
    for (auto& w : s.f.workers())
      w->lose_percent = w->wrong_percent = w->bad_percent = 0, w->most = Duration(8);
    s.f.sleep(Duration(5100));  // the last freeze is over
    s.f.start_all();
    s.f.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the machines returned");
    s.f.sleep(Duration(2000));
    for (auto& h : s.f.hosts()) knows(s, *h, layouts);
    s.f.sleep(Duration(20000));
  }
};

void mixed(Scene& s) {
  s.length = Duration(170000);
  s.must_meet = {"kill", "freeze", "cut"};
  s.story = [&s] {
    if (!begin(s, 50, sim_layout("\"1\",\"2\"", 3))) return;
    allow(s, "2");
    for (int i = 0; i < 2; ++i) s.f.add_worker("app", "2", 0);
    auto m = std::make_shared<Mix>(Mix{s, {}, 0});
    m->all();
    m->mend();
    s.figures = {{"layouts_read_back", m->layouts.size()}};
  };
}
}  // namespace

NamedCases mixed_stories() { return {{"mixed", mixed}}; }

}  // namespace dunlinwing::test
