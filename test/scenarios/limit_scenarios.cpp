// What holds over the whole fleet in figures: a trial's share and its end, repeats,
// a stated rate, and how early those who are turned away are told.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// Around the fiftieth bad answer the duty's holder and its understudy are killed,
// frozen or cut off, and relays restart; the verdict may not wait for them.
void trouble_in_trial(Scene& s) {
  s.fleet.spawn_outside([&s] {
    auto how = s.world.below(4);
    if (!s.fleet.wait_until(Duration(40000),
                            [&] { return s.world.faults_met["bad_answer"] >= 30 + s.world.below(20); }))
      return;
    std::vector<std::string> pair;
    if (auto* host = duty_holder(s)) pair = {host->name, host->node->leadership().known_lease().standby()};
    for (auto& n : pair) {
      if (n.empty()) continue;
      if (how == 0) s.fleet.kill(n);
      if (how == 1) s.world.freeze(n, s.world.now() + Duration(20000));
      if (how == 2) s.fleet.isolate(n);
    }
    if (how == 3)
      for (auto& h : s.fleet.hosts())
        if (!h->has_disk) {
          s.fleet.kill(h->name);
          s.fleet.start(h->name);
        }
    s.fleet.sleep(Duration(15000));
    s.world.heal_all();
    s.fleet.start_all();
  });
}

void move_to(Scene& s, int bad, bool trouble = false, int old_bad = 0) {
  s.length = Duration(110000);
  s.story = [&s, bad, trouble, old_bad] {
    if (!begin(s, 150, sim_layout("\"1\",\"2\"", 4))) return;
    allow(s, "2");
    for (int i = 0; i < 2; ++i) s.fleet.add_backend("app", "2", 0).bad_percent = bad;
    s.fleet.sleep(Duration(2500));
    bool took = s.fleet.wait_until(Duration(10000), [&] {
      return s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 200;
    });
    s.want(took, "the move was not taken");
    for (auto& x : s.fleet.backends())
      if (x->service == "app" && x->version == "1") x->bad_percent = old_bad;
    if (trouble) trouble_in_trial(s);
    if (bad) s.fleet.event(R"("t":"bad_version","service":"app","version":"2")");
    auto state = [&] {
      auto p = base::Json::parse(s.fleet.operator_call("GET", "/v1/services/app", "").body);
      auto* j = std::get_if<base::Json>(&p);
      return j ? *j : base::Json();
    };
    bool end = s.fleet.wait_until(Duration(60000), [&] {
      auto json = state();
      return bad ? !json.at("quarantined").at("2").string_or().empty()
                 : json.at("current").string_or() == "2";
    });
    s.want(end, "the move did not come to its end: " + state().text());
    if (bad) s.fleet.sleep(Duration(10000));
    if (bad)
      s.want(s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"2"})").status == 409,
             "a quarantined version came back unasked");
  };
}

// Workers lose half their answers while relays are restarted again and again.
void repeat_storm(Scene& s) {
  s.length = Duration(40000);
  s.must_meet = {"bad_answer", "kill"};
  s.story = [&s] {
    auto doc = sim_layout("\"1\"", 1);
    doc.replace(doc.find("\"deadline_ms\":2000"), 18, R"("deadline_ms":700)");
    doc.replace(doc.rfind("\"deadline_ms\":2000"), 18, R"("deadline_ms":700)");
    if (!begin(s, 60, doc)) return;
    for (auto& x : s.fleet.backends()) x->bad_percent = 100;
    s.fleet.sleep(Duration(6000));
    if (s.fleet.hosts().size() > 20) return;
    for (int round = 0; round < 4; ++round) {
      for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
      s.fleet.start_all();
      s.fleet.sleep(Duration(2200));
    }
    s.fleet.sleep(Duration(6000));
  };
}

// Whoever is turned away is told so early: behind workers that hang, behind another's
// fetch that hangs, on a waitlist that stops moving, at an origin's pace.
void given_up(Scene& s) {
  s.length = Duration(60000);
  s.away_within = Duration(1200);  // of a deadline of 2000
  s.story = [&s] {
    auto doc = sim_layout("\"1\"", 1, 20);
    for (auto at : {doc.rfind("\"deadline_ms\""), doc.find("\"deadline_ms\"")})
      doc.insert(at, R"("inflight":3,"waitlist":40,)");
    if (!begin(s, 100, doc)) return;
    s.fleet.sleep(Duration(3000));
    for (int round = 0; round < 5; ++round) {
      for (auto& x : s.fleet.backends()) x->min_latency = Duration(9000), x->max_latency = Duration(9500);
      s.fleet.sleep(Duration(1500 + s.world.below(3000)));
      for (auto& x : s.fleet.backends()) x->min_latency = Duration(200), x->max_latency = Duration(500);
      s.fleet.sleep(Duration(3000));
    }
  };
}

// Callers crowd one relay, then another; the origin's rate holds over all, and
// the share follows the demand.
void slow_origin(Scene& s) {
  s.length = Duration(80000);
  s.away_within = Duration(1200);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 20, sim_layout("\"1\"", 4, 30))) return;
    s.fleet.event(R"("t":"rate","service":"app","n":30)");
    auto at = std::make_shared<std::string>("e1");
    auto n = std::make_shared<std::pair<uint64_t, uint64_t>>();
    s.fleet.generate_requests(60, s.world.now() + Duration(60000), [&s, at, n] {
      auto& host = s.fleet.at(*at);
      if (!host.up() || !host.node->ready()) return;
      ++n->first;
      n->second += s.fleet.call("GET", fmt::format("/a/{}", s.world.below(10000)), "", &host) == 200;
    });
    s.fleet.sleep(Duration(15000));
    n->first = n->second = 0;
    s.fleet.sleep(Duration(10000));
    // The crowd alone asks 60 a second of 30; an even split would give it 3.
    s.want(n->second > 120,
           fmt::format("only {} of {} got through where the demand is", n->second, n->first));
    s.figures["through_in_10s"] = n->second;
    *at = "e3";
    s.fleet.kill("e1");
    s.fleet.sleep(Duration(15000));
    n->first = n->second = 0;
    s.fleet.sleep(Duration(10000));
    s.figures["followed_in_10s"] = n->second;
    s.want(n->second > 120, fmt::format("the share did not follow: {} of {}", n->second, n->first));
  };
}

// What could make the sends at a paced origin bunch: relays that freeze and thaw with
// many naps due, all relays restarted at once, cuts, the leadership changing hands, and a
// layout that lowers the rate to a third.
void pace_faults(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"kill", "freeze", "cut"};
  s.story = [&s] {
    auto doc = [](int rate, const char* more) {
      auto d = sim_layout("\"1\"", 4, rate, more);
      d.replace(d.rfind("\"deadline_ms\":2000"), 18, R"("deadline_ms":6000)");
      return d;
    };
    if (!begin(s, 20, doc(30, ""))) return;
    s.fleet.event(R"("t":"rate","service":"app","n":30)");
    s.fleet.generate_requests(60, s.world.now() + Duration(75000),
                              [&s] { s.fleet.call("GET", fmt::format("/a/{}", s.world.below(10000))); });
    s.fleet.sleep(Duration(8000));
    for (int i = 0; i < 8; ++i) {
      for (auto& h : s.fleet.hosts())
        if (s.world.random(500)) s.world.freeze(h->name, s.world.now() + Duration(300 + s.world.below(1000)));
      s.fleet.sleep(Duration(1000 + s.world.below(1500)));
    }
    for (int i = 0; i < 4; ++i) {
      for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
      s.fleet.start_all();
      s.fleet.sleep(Duration(1800));
    }
    s.fleet.sleep(Duration(6000));
    for (int i = 0; i < 3; ++i) {
      if (auto* host = duty_holder(s)) s.fleet.isolate(host->name);
      s.fleet.sleep(Duration(6000));
      s.world.heal_all();
      s.fleet.sleep(Duration(1500));
    }
    put(s, "slower", doc(10, R"(,"express":"the origin is in trouble")"));
    pb::RolloutState r;
    s.want(s.fleet.wait_until(Duration(8000),
                              [&] { return rollout_seen(s, r) && r.in_force().at("layout") == "slower"; }),
           "the lower rate did not come in force");
    s.fleet.sleep(Duration(2000));
    s.fleet.event(R"("t":"rate","service":"app","n":10)");
    s.fleet.sleep(Duration(12000));
  };
}

// A relay is away for longer than its session stands, under a stated rate far above what
// is asked. Once it is back its requests go on as before: its share waited for it.
void share_waits(Scene& s) {
  struct Seen {
    int early = 0, refused = 0;
    Duration longest{0};
    TimePoint back{0};  // requests within a second of it count
  };
  s.length = Duration(75000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 10, sim_layout("\"1\"", 4, 300))) return;
    s.fleet.event(R"("t":"rate","service":"app","n":300)");
    auto x = std::make_shared<Seen>();
    for (std::string e : {"e1", "e2", "e3", "e4"})
      s.fleet.generate_requests(25, s.world.now() + Duration(60000), [&s, x, e] {
        auto& host = s.fleet.at(e);
        if (!host.up() || !host.node->ready()) return;
        auto at = s.world.now();
        bool counts = e == "e1" && x->back > TimePoint(0) && at - x->back < Duration(1000);
        int got = s.fleet.call("GET", fmt::format("/a/{}", s.world.below(10000)), "", &host);
        if (!counts) return;
        ++x->early;
        x->refused += got != 200;
        x->longest = std::max(x->longest, Duration(s.world.now() - at));
      });
    s.fleet.sleep(Duration(15000));
    for (int i = 0; i < 3; ++i) {
      s.fleet.kill("e1");
      s.fleet.sleep(Duration(6000 + s.world.below(3000)));
      s.fleet.start("e1");
      s.want(s.fleet.wait_until(Duration(8000), [&] { return s.fleet.at("e1").node->ready(); }),
             "the relay did not come back");
      x->back = s.world.now();
      s.fleet.sleep(Duration(4000));
      x->back = TimePoint(0);
    }
    s.figures["early"] = static_cast<uint64_t>(x->early);
    s.figures["refused"] = static_cast<uint64_t>(x->refused);
    s.figures["longest_ms"] = static_cast<uint64_t>(x->longest.count());
    s.want(x->early >= 60, fmt::format("only {} requests came in the first seconds", x->early));
    s.want(!x->refused,
           fmt::format("{} of {} requests right after a restart were turned away", x->refused, x->early));
    s.want(x->longest < Duration(150),
           fmt::format("a request waited {} ms right after a restart", x->longest.count()));
  };
}

// Most of what is asked comes to one relay, and the leadership changes hands while all relays
// stand. Who takes it up has looked at no demand yet, and may not lower a share for that.
void share_and_duty(Scene& s) {
  struct Seen {
    int asked = 0, refused = 0;
  };
  s.length = Duration(75000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 20, sim_layout("\"1\"", 4, 150))) return;
    s.fleet.event(R"("t":"rate","service":"app","n":150)");
    auto x = std::make_shared<Seen>();
    s.fleet.generate_requests(70, s.world.now() + Duration(60000), [&s, x] {
      auto& host = s.fleet.at("e1");
      if (!host.node->ready()) return;
      ++x->asked;
      x->refused += s.fleet.call("GET", fmt::format("/a/{}", s.world.below(10000)), "", &host) != 200;
    });
    s.fleet.sleep(Duration(20000));
    *x = {};
    for (int i = 0; i < 3; ++i) {
      auto* host = duty_holder(s);
      if (!host) continue;
      auto name = host->name;
      s.fleet.kill(name);
      s.fleet.sleep(Duration(2000 + s.world.below(3000)));
      s.fleet.start(name);
      s.fleet.sleep(Duration(8000));
    }
    s.figures["asked"] = static_cast<uint64_t>(x->asked);
    s.figures["refused"] = static_cast<uint64_t>(x->refused);
    s.want(x->asked > 1500, fmt::format("only {} were asked", x->asked));
    s.want(x->refused * 50 < x->asked,
           fmt::format("{} of {} requests where the demand is were turned away", x->refused, x->asked));
  };
}

}  // namespace

NamedCases limit_stories() {
  return {{"bad_version", [](Scene& s) { move_to(s, 50); }},
          {"bad_version_trouble", [](Scene& s) { move_to(s, 50, true); }},
          {"bad_version_lone",
           [](Scene& s) {
             s.only = "e2";
             move_to(s, 50, true);
           }},
          {"bad_both", [](Scene& s) { move_to(s, 50, false, 50); }},
          {"good_version", [](Scene& s) { move_to(s, 0); }},
          {"given_up", given_up},
          {"repeat_storm", repeat_storm},
          {"slow_origin", slow_origin},
          {"share_waits", share_waits},
          {"share_and_duty", share_and_duty},
          {"pace_faults", pace_faults}};
}

}  // namespace dunlinwing::test
