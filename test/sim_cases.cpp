// Stories. Each begins with a fleet that serves its first layout.
#include "sim_cases.hpp"

namespace dunlinwing::test {
namespace {

std::string layout(const std::string& versions = "\"1\"", int lifetime = 4, int rate = 0) {
  return fmt::format(R"({{"content":{{"services":{{
"content":{{"versions":[{0}],"deadline_ms":2000,"cache":{{"lifetime_s":{1}}}}},
"app":{{"versions":[{0}],"deadline_ms":2000,"rate":{2}}}}},
"routes":[{{"prefix":"/c/","service":"content","methods":["GET","HEAD"]}},{{"prefix":"/a/","service":"app","methods":["GET"]}},
{{"prefix":"/pay","service":"app","methods":["POST"]}}]}}}})",
                     versions, lifetime, rate);
}

void mix(Scene& s) {
  auto& w = s.w;
  auto d = w.below(100);
  if (d < 50)
    s.f.call("GET", fmt::format("/c/{}", w.below(20)));
  else if (d < 80)
    s.f.call("GET", fmt::format("/a/{}", w.below(1000)));
  else
    s.f.call("POST", "/pay", fmt::format("{{\"n\":{}}}", w.draw()));
}

std::string phase(Scene& s, const std::string& name) {
  auto t = s.f.tell("GET", "/v1/releases/layout/" + name, "");
  if (t.status != 200) return "?";
  auto p = base::Json::parse(t.body);
  auto* j = std::get_if<base::Json>(&p);
  return j ? j->at("course").at("phase").str() : "?";
}

// Starts the workers, records the first layout, waits until it serves, and
// lets callers call for the rest of the run.
bool begin(Scene& s, int rate = 20, const std::string& doc = layout()) {
  for (int i = 0; i < 3; ++i) s.f.add_worker("content", "1", 3);
  for (int i = 0; i < 3; ++i) s.f.add_worker("app", "1", 0);
  bool ok = s.f.until(Span(15000), [&] {
    auto t = s.f.tell("PUT", "/v1/releases/layout/first", doc);
    return t.status == 202 || t.status == 200;
  });
  s.want(ok, "the first layout was not taken");
  ok = ok && s.f.until(Span(10000), [&] {
    for (auto& h : s.f.hosts())
      if (h->up() && !h->node->ready()) return false;
    return true;
  });
  s.want(ok, "not all relays became ready");
  s.f.event(R"("t":"lifetime","ms":3000)");
  for (auto* p : {"/c/"}) s.f.event(fmt::format(R"("t":"allowed","service":"content","version":"1","prefix":"{}")", p));
  for (auto* p : {"/a/", "/pay"}) s.f.event(fmt::format(R"("t":"allowed","service":"app","version":"1","prefix":"{}")", p));
  s.f.callers(rate, s.w.now() + Span(600000), [&s] { mix(s); });
  return ok;
}

bool serves(Scene& s, Span most) {
  return s.f.until(most, [&] {
    int ready = 0, up = 0;
    for (auto& h : s.f.hosts()) {
      up += h->up();
      ready += h->up() && h->node->ready();
    }
    return up > 0 && ready == up;
  });
}

void put(Scene& s, const std::string& name, const std::string& doc) {
  bool ok = s.f.until(Span(20000), [&] {
    auto st = s.f.tell("PUT", "/v1/releases/layout/" + name, doc).status;
    return st == 202 || st == 200;
  });
  s.want(ok, "layout " + name + " was not taken");
}

void calm(Scene& s) {
  s.length = Span(110000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    put(s, "second", layout("\"1\"", 3));
    bool done = s.f.until(Span(90000), [&] { return phase(s, "second") == "DONE"; });
    s.want(done, "the second layout did not run everywhere, it is " + phase(s, "second"));
    s.want(s.f.good * 100 > s.f.calls * 99, fmt::format("only {} of {} calls went well", s.f.good, s.f.calls));
  };
}

// Holders and others are killed at random, also right after they acknowledged.
void kills(Scene& s) {
  s.length = Span(80000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", layout("\"1\"", 3));
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
    put(s, "second", layout("\"1\"", 3));
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
      put(s, fmt::format("r{}", i), layout("\"1\"", 3 + i));
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
    put(s, "second", layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      auto& h = s.f.hosts()[s.w.below(s.f.hosts().size())];
      s.w.freeze(h->name, s.w.now() + Span(500 + s.w.below(8000)));
      if (s.w.chance(500)) s.f.tell("PUT", fmt::format("/v1/purges/p{}", i), R"({"service":"content","kind":"prefix","path":"/c/"})");
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
      auto t = s.f.tell("PUT", "/v1/purges/" + name, R"({"service":"content","kind":"service"})");
      if (t.status == 200) s.f.event(R"("t":"purged","path":"/c/","prefix":true)");
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
    put(s, "second", layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      auto t = s.f.tell("PUT", fmt::format("/v1/purges/p{}", i), R"({"service":"content","kind":"prefix","path":"/c/1"})");
      if (t.status == 200) s.f.event(R"("t":"purged","path":"/c/1","prefix":true)");
      s.f.nap(Span(3000));
    }
  };
}
}  // namespace

const std::map<std::string, SimCase>& sim_cases() {
  static const std::map<std::string, SimCase> all{{"calm", calm},         {"kills", kills},     {"all_at_once", all_at_once},
                                                  {"lost_disks", lost_disks}, {"freezes", freezes}, {"splits", splits},
                                                  {"bad_network", bad_network}};
  return all;
}

}  // namespace dunlinwing::test
