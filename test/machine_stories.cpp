// Stories. Each begins with a fleet that serves its first layout.
#include "story.hpp"

namespace dunlinwing::test {
namespace {

void calm(Scene& s) {
  s.length = Span(110000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    s.want(reach(s, "second", "DONE", Span(90000)), "the second layout did not run everywhere, it is " + phase(s, "second"));
    s.want(s.f.good * 100 > s.f.calls * 99, fmt::format("only {} of {} calls went well", s.f.good, s.f.calls));
  };
}

// Holders and others are killed at random, also right after they acknowledged.
void kills(Scene& s) {
  s.length = Span(80000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 12; ++i) {
      auto& h = s.f.hosts()[s.w.below(s.f.hosts().size())];
      int down = 0;
      for (auto& x : s.f.hosts()) down += x->holder && !x->up();
      if (h->up() && !(h->holder && down >= 2)) s.f.kill(h->name);
      s.f.nap(Span(300 + s.w.below(2500)));
      for (auto& x : s.f.hosts())
        if (!x->up() && s.w.chance(600)) s.f.start(x->name);
    }
    s.f.start_all();
    s.f.event(R"("t":"returned")");
    s.want(serves(s, Span(15000)), "the fleet did not serve again 15 s after the machines returned");
    s.want(s.f.tell("GET", "/v1/releases/layout/second", "").status == 200, "an acknowledged layout is gone");
    s.f.nap(Span(15000));
  };
}

void all_at_once(Scene& s) {
  s.length = Span(80000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int k = 0; k < 2; ++k) {
      for (auto& h : s.f.hosts()) s.f.kill(h->name);
      s.f.nap(Span(500 + s.w.below(3000)));
      s.f.start_all();
      s.f.event(R"("t":"returned")");
      s.want(serves(s, Span(15000)), "the fleet did not serve again 15 s after a restart of all");
      s.want(s.f.tell("GET", "/v1/releases/layout/second", "").status == 200, "an acknowledged layout is gone");
      s.f.nap(Span(1000 + s.w.below(12000)));
    }
  };
}

// One machine after the other loses its disk and comes back blank.
void lost_disks(Scene& s) {
  s.length = Span(100000);
  s.must_meet = {"lost_disk"};
  s.story = [&s] {
    if (!begin(s)) return;
    for (int i = 0; i < 5; ++i) {
      auto name = fmt::format("h{}", 1 + s.w.below(5));
      put(s, fmt::format("r{}", i), sim_layout("\"1\"", 3 + i));
      s.f.kill(name);
      s.f.wipe(name);
      s.f.nap(Span(10 + s.w.below(3000)));
      s.f.start(name);
      bool back = s.f.until(Span(10000), [&] { return !s.f.at(name).node->acceptor()->mute(); });
      s.want(back, name + " was not refilled");
      for (int k = 0; k <= i; ++k)
        s.want(s.f.tell("GET", fmt::format("/v1/releases/layout/r{}", k), "").status == 200, "an acknowledged layout is gone");
    }
  };
}

void freezes(Scene& s) {
  s.length = Span(80000);
  s.must_meet = {"freeze"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      auto& h = s.f.hosts()[s.w.below(s.f.hosts().size())];
      s.w.freeze(h->name, s.w.now() + Span(500 + s.w.below(8000)));
      if (s.w.chance(500)) purge(s, fmt::format("p{}", i), "prefix", "/c/");
      s.f.nap(Span(500 + s.w.below(5000)));
    }
    s.want(serves(s, Span(20000)), "the fleet did not serve again after the freezes");
  };
}

// The core is split, one way and both; the small side must turn away.
void splits(Scene& s) {
  s.length = Span(90000);
  s.must_meet = {"cut"};
  s.story = [&s] {
    if (!begin(s)) return;
    for (int i = 0; i < 5; ++i) {
      std::vector<std::string> left, right;
      for (auto& h : s.f.hosts()) (s.w.chance(400) ? left : right).push_back(h->name);
      bool one_way = s.w.chance(300);
      for (auto& a : left)
        for (auto& b : right) {
          s.w.cut(a, b);
          if (!one_way) s.w.cut(b, a);
        }
      auto name = fmt::format("p{}", i);
      s.f.nap(Span(500 + s.w.below(2000)));
      purge(s, name, "service", "");
      s.f.nap(Span(1000 + s.w.below(6000)));
      s.w.mend();
      s.f.event(R"("t":"returned")");
      s.want(serves(s, Span(15000)), "the fleet did not serve again after a split");
      s.f.nap(Span(1000));
    }
  };
}

void bad_network(Scene& s) {
  s.length = Span(70000);
  s.must_meet = {"loss", "twice"};
  s.story = [&s] {
    s.w.weather = {30, 30, Span(1), Span(40)};
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      purge(s, fmt::format("p{}", i), "prefix", "/c/1");
      s.f.nap(Span(3000));
    }
  };
}
}  // namespace

NamedCases machine_cases() {
  return {{"calm", calm},       {"kills", kills},   {"all_at_once", all_at_once}, {"lost_disks", lost_disks},
          {"freezes", freezes}, {"splits", splits}, {"bad_network", bad_network}};
}

}  // namespace dunlinwing::test
