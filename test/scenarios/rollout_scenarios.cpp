// Rollout, registers and duties under failure, on a simulated fleet.
#include "rollout/rollout_controller.hpp"
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

// The duty's primary is killed in each phase. Hold time once recorded stays,
// and the release still runs its course, each node being moved once.
void duty_dies(Scene& s) {
  s.length = Duration(200000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 80)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (std::string ph : {"ONE", "TWO", "THREE"}) {
      if (!reach(s, "second", ph, Duration(60000))) return s.want(false, "phase " + ph + " was not reached");
      s.fleet.sleep(Duration(s.world.below(1500)));
      auto* host = duty_holder(s);
      if (!host) continue;
      pb::RolloutState before;
      rollout_seen(s, before);
      auto name = host->name;
      s.fleet.kill(name);
      bool taken = s.fleet.wait_until(Duration(15000), [&] { return duty_holder(s) != nullptr; });
      s.want(taken, "nobody took the leadership up");
      pb::RolloutState after;
      rollout_seen(s, after);
      for (auto& progress : before.releases())
        for (auto& d : after.releases())
          if (progress.release() == d.release() && progress.phase() == d.phase() &&
              progress.zone() == d.zone())
            s.want(d.held_ms() >= progress.held_ms(), "hold time was lost");
      s.fleet.start(name);
    }
    s.want(reach(s, "second", "DONE", Duration(100000)),
           "the release did not finish: " + release_state(s, "second").text());
  };
}

// A release that takes requests to a new service, whose workers turn bad once it has
// reached a phase.
void bad_release_in(Scene& s, const std::string& ph) {
  s.length = Duration(120000);
  s.must_meet = {"bad_answer"};
  s.story = [&s, ph] {
    if (!begin(s, 80)) return;
    std::vector<simulation::SimulatedBackend*> two;
    for (int i = 0; i < 3; ++i) two.push_back(&s.fleet.add_backend("fresh", "1", 0));
    s.fleet.event(R"("t":"allowed","service":"fresh","version":"1","prefix":"/a/")");
    s.fleet.sleep(Duration(2500));
    auto doc = sim_layout("\"1\"", 3);
    doc.replace(doc.find(R"("service":"app","methods":["GET"])"), 15, R"("service":"fresh")");
    doc.insert(doc.find("\"app\""), R"("fresh":{"versions":["1"],"deadline_ms":2000},)");
    put(s, "second", doc);
    if (!reach(s, "second", ph, Duration(80000))) return s.want(false, "phase " + ph + " was not reached");
    for (auto* x : two) x->bad_percent = 60;
    s.want(reach(s, "second", "STOPPED", Duration(20000)), "a bad release was not stopped in phase " + ph);
    s.fleet.sleep(Duration(2000));
    uint64_t top = 0;
    for (auto& h : s.fleet.hosts()) {
      s.want(h->node->configuration_name() == "first", h->name + " did not go back");
      top = std::max(top, h->node->generation());
    }
    pb::RolloutState r;
    rollout_seen(s, r);
    s.want(top == r.generation(), "the way back was not under the highest generation");
  };
}

// A layout that leaves the version in place out, or names a new one first, would take
// a service to a version that was never on trial.
void version_by_layout(Scene& s) {
  s.length = Duration(80000);
  s.story = [&s] {
    if (!begin(s, 80)) return;
    for (int i = 0; i < 3; ++i) s.fleet.add_backend("app", "2", 0).bad_percent = 60;
    for (int i = 0; i < 3; ++i) s.fleet.add_backend("content", "2", 3);
    allow(s, "2");
    s.fleet.sleep(Duration(3000));
    s.fleet.event(R"("t":"bad_version","service":"app","version":"2")");
    for (auto* vs : {"\"2\"", "\"2\",\"1\""}) {
      auto name = fmt::format("v{}", std::string(vs).size());
      auto t = s.fleet.operator_call("PUT", "/v1/releases/layout/" + name,
                                     sim_layout(vs, 3, 0, R"(,"express":"in a hurry")"));
      s.want(t.lost || t.status == 409 || t.status == 202, "the layout gave " + t.body);
      s.fleet.sleep(Duration(12000));
    }
    // What was recorded before a version came into place may still be stated again.
    auto again = s.fleet.operator_call("PUT", "/v1/releases/layout/first", sim_layout());
    s.want(again.lost || again.status == 200, "a known layout stated again gave " + again.body);
    s.want(s.fleet.good * 10 > s.fleet.calls * 9,
           fmt::format("only {} of {} calls went well", s.fleet.good, s.fleet.calls));
  };
}

// Quiet hours are the fleet's, not a machine's: whoever holds the leadership waits for them.
void quiet_hours(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s, 60)) return;
    auto from = s.fleet.hosts()[0]->wall_offset_ms + s.world.now().count();
    auto hour = [&](int64_t plus_min) {
      auto m = (from / 60000 + plus_min) % 1440;
      return fmt::format("{:02}:{:02}", m / 60, m % 60);
    };
    auto sys =
        fmt::format(R"({{"express":"hours for all","content":{{"quiet_hours":{{"from":"{}","to":"{}"}}}}}})",
                    hour(60), hour(120));
    s.want(s.fleet.wait_until(
               Duration(8000),
               [&] { return s.fleet.operator_call("PUT", "/v1/releases/system/hours", sys).status == 202; }),
           "quiet hours were not taken");
    s.fleet.sleep(Duration(3000));
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 2; ++i) {
      s.fleet.sleep(Duration(3000));
      s.want(phase(s, "second") == "WAITING", "a phase started in the busy hours");
      auto* host = duty_holder(s);
      if (!host) continue;
      auto name = host->name;
      s.fleet.kill(name);
      s.want(s.fleet.wait_until(Duration(15000), [&] { return duty_holder(s) != nullptr; }),
             "nobody took the leadership up");
      s.fleet.start(name);
    }
    s.fleet.sleep(Duration(2000));
    s.want(phase(s, "second") == "WAITING", "another holder of the leadership did not wait");
    for (auto& h : s.fleet.hosts()) h->wall_offset_ms += 70 * 60000;
    s.want(reach(s, "second", "ONE", Duration(6000)), "no phase started in the quiet hours");
    for (auto& h : s.fleet.hosts()) h->wall_offset_ms -= 70 * 60000;
    s.fleet.sleep(Duration(9000));
    s.want(phase(s, "second") == "ONE", "a phase started after the quiet hours");
    s.want(s.fleet.operator_call("PUT", "/v1/releases/system/odd",
                                 R"({"content":{"quiet_hours":{"from":"27:00","to":"01:00"}}})")
                   .status == 422,
           "27:00 was taken");
  };
}

// Requests wait for seconds, for a place or for the origin's pace, while one layout
// after the other comes in force everywhere; a relay is cut off now and then.
void old_layout(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"cut"};
  s.story = [&s] {
    auto doc = [](int life) {
      auto d = sim_layout("\"1\"", life, 8, R"(,"express":"the story changes layouts often")");
      auto at = d.find("\"app\"");
      d.replace(d.find("\"deadline_ms\":2000", at), 18, R"("deadline_ms":9000,"inflight":8)");
      return d;
    };
    if (!begin(s, 40, doc(3))) return;
    s.fleet.event(R"("t":"rate","service":"app","n":8)");
    for (int i = 0; i < 8; ++i) {
      s.fleet.sleep(Duration(3000 + s.world.below(3000)));
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      s.fleet.isolate(h->name);
      s.fleet.sleep(Duration(s.world.below(500)));
      put(s, fmt::format("r{}", i), doc(1 + i));
      s.fleet.sleep(Duration(s.world.below(1500)));
      s.world.heal_all();
    }
    s.fleet.sleep(Duration(9000));
  };
}

// A release that breaks only what callers do not see: the workers' beats through its
// nodes, or their way to a service that nobody asks just then.
void blind_release_in(Scene& s, const std::string& ph, const std::string& what) {
  s.length = Duration(470000);
  s.must_meet = {what == "beats" ? "beat_unheard" : "unreachable"};
  s.story = [&s, ph, what] {
    if (!begin(s, 80)) return;
    s.fleet.sleep(Duration(65000));  // so that it is known which beats are usual
    put(s, "second", sim_layout("\"1\"", 3, 0, R"(,"holds":{"one_min":900,"two_min":1600})"));
    if (!reach(s, "second", ph, Duration(280000))) return s.want(false, "phase " + ph + " was not reached");
    s.fleet.faults().broken = "second";
    s.fleet.faults().breaks = what;
    std::string now = ph;
    s.fleet.wait_until(Duration(100000), [&] { return (now = phase(s, "second")) != ph; });
    s.want(now == "STOPPED", "it was not stopped in phase " + ph + ": " + release_state(s, "second").text());
    auto why = release_state(s, "second").at("course").at("why").string_or();
    s.want(why.find(what == "beats" ? "check worker-beats" : "check probes") == 0,
           "it was stopped for another reason: " + why);
  };
}

// Without traffic there is no evidence, and no release goes on.
void too_little(Scene& s) {
  s.length = Duration(60000);
  s.story = [&s] {
    if (!begin(s, 1)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    s.fleet.sleep(Duration(25000));
    s.want(phase(s, "second") == "ONE", "it went on without evidence");
    auto why = release_state(s, "second").at("course").at("why").string_or();
    s.want(why.find("too little evidence") == 0, "it does not say why it holds: " + why);
    auto t = s.fleet.operator_call("PUT", "/v1/releases/layout/second/waivers/evidence",
                                   R"({"reason":"a quiet night"})");
    s.want(t.status == 200, "the waiver was not taken");
    s.want(reach(s, "second", "TWO", Duration(10000)), "a waived check still held it");
  };
}

// Compare-and-set by everybody at once while machines fail: for each version
// one winner, and no read ever older than what was acknowledged before it.
void races(Scene& s) {
  s.length = Duration(60000);
  s.must_meet = {"kill", "loss", "freeze"};
  struct State {
    std::map<uint64_t, std::string> won;
    uint64_t acked = 0, writes = 0, reads = 0, stale = 0, unsure = 0;
  };
  auto st = std::make_shared<State>();
  s.story = [&s, st] {
    if (!begin(s, 5)) return;
    s.world.weather = {20, 20, Duration(1), Duration(25)};
    auto end = s.world.now() + Duration(30000);
    for (auto& h : s.fleet.hosts())
      for (int k = 0; k < 2; ++k)
        s.fleet.spawn_outside([&s, st, end, host = h.get(), k] {
          for (int i = 0; s.world.now() < end; ++i) {
            s.fleet.sleep(Duration(s.world.below(1000)));
            if (!host->up()) continue;
            // The work runs in the host's own life and dies with it.
            s.world.spawn(host->process, [&s, st, host, k, i] {
              auto& registers = host->node->registers();
              auto floor = st->acked;
              auto g = registers.read("race");
              auto* h = std::get_if<consensus::VersionedValue>(&g);
              if (!h) return;
              ++st->reads;
              s.want(h->version >= floor,
                     fmt::format("a read gave version {} after {} was acknowledged", h->version, floor));
              if (auto f = st->won.find(h->version); f != st->won.end())
                s.want(f->second == h->data, "a read gave another value than was acknowledged");
              auto mine = fmt::format("{}/{}/{}", host->name, k, i);
              auto w = registers.write("race", h->version, mine);
              if (auto* d = std::get_if<consensus::VersionedValue>(&w)) {
                ++st->writes;
                auto [f, fresh] = st->won.emplace(d->version, mine);
                s.want(fresh || f->second == mine, fmt::format("two writers won version {}", d->version));
                st->acked = std::max(st->acked, d->version);
              } else if (std::holds_alternative<consensus::VersionConflict>(w)) {
                ++st->stale;
              } else {
                ++st->unsure;
              }
            });
          }
        });
    while (s.world.now() < end) {
      s.fleet.sleep(Duration(500 + s.world.below(1500)));
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      if (s.world.random(400)) {
        if (may_fall(s, *h)) s.fleet.kill(h->name);
      } else if (s.world.random(500)) {
        s.world.freeze(h->name, s.world.now() + Duration(s.world.below(3000)));
      }
      for (auto& x : s.fleet.hosts())
        if (!x->up() && s.world.random(500)) s.fleet.start(x->name);
    }
    s.fleet.start_all();
    s.fleet.sleep(Duration(6000));
    s.figures = {{"race_writes", st->writes},
                 {"race_reads", st->reads},
                 {"race_stale", st->stale},
                 {"race_unsure", st->unsure}};
    s.want(st->writes > 20 && st->stale > 0,
           fmt::format("there was no race: {} writes, {} stale, {} unsure, {} reads", st->writes, st->stale,
                       st->unsure, st->reads));
  };
}

// Operators race each other and send nonsense; one wins, the rest are told.
void operators_race(Scene& s) {
  s.length = Duration(60000);
  s.story = [&s] {
    if (!begin(s)) return;
    auto won = std::make_shared<int>(0), lost = std::make_shared<int>(0), odd = std::make_shared<int>(0);
    for (int i = 0; i < 6; ++i)
      s.fleet.spawn_outside([&s, i, won, lost, odd] {
        auto t = s.fleet.operator_call("PUT", "/v1/releases/layout/contested", sim_layout("\"1\"", 1 + i));
        (t.status == 202 ? *won : t.status == 409 ? *lost : *odd)++;
      });
    s.fleet.sleep(Duration(6000));
    s.want(*won == 1, fmt::format("{} operators won, {} lost, {} other", *won, *lost, *odd));
    for (auto* bad :
         {"{", "[]", R"({"content":{}})", R"({"content":{"services":{"x":{"versions":[]}},"routes":[]}})"}) {
      auto t = s.fleet.operator_call("PUT", "/v1/releases/layout/bad", bad);
      s.want(t.status == 422 && t.body.find("\"defects\":[{\"at\":") != t.body.npos,
             "an invalid layout gave " + t.body);
    }
    s.want(s.fleet.operator_call("GET", "/v1/releases/layout/bad", "").status == 404,
           "an invalid layout was recorded");
    auto a = s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"1"})");
    s.want(a.status == 200 && a.etag == "\"1\"", "the first statement of a service gave " + a.body);
    auto b = s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"1"})", {{"If-Match", "\"7\""}});
    s.want(b.status == 412 && b.etag == "\"1\"", "a stale If-Match was not told the version in force");
    s.want(purge(s, "once", "path", "/c/1") && purge(s, "once", "path", "/c/1"),
           "a purge stated twice was not taken as one");
    s.want(s.fleet.operator_call("PUT", "/v1/purges/once",
                                 R"({"service":"content","kind":"path","path":"/c/2"})")
                   .status == 409,
           "another purge under a known name was acknowledged");
    s.fleet.sleep(Duration(500));
    s.want(s.fleet.operator_call("PUT", "/v1/purges/once", R"({"service":"app","kind":"path","path":"/c/1"})")
                   .status == 409,
           "another service's purge under a known name was acknowledged");
    s.want(s.fleet.operator_call("PUT", "/v1/services/app", R"({"version":"9"})").status == 422,
           "a version that no layout allows was taken");
  };
}

// A watch returns when what it watches has changed, and not before.
void watch(Scene& s) {
  s.length = Duration(60000);
  s.story = [&s] {
    if (!begin(s)) return;
    auto t = s.fleet.operator_call("GET", "/v1/assignments", "");
    auto v = t.etag.substr(1, t.etag.size() - 2);
    auto none = s.fleet.operator_call("GET", "/v1/services/none?after=0&wait_ms=100", "");
    s.want(none.status == 404, "a watch of nothing did not say 404");
    auto from = s.world.now();
    auto same = s.fleet.operator_call("GET", "/v1/assignments?wait_ms=1500&after=" + v, "");
    s.want(same.status == 304 && s.world.now() - from >= Duration(1500),
           fmt::format("a watch of what does not change gave {}", same.status));
    s.fleet.spawn_outside([&s] {
      s.fleet.sleep(Duration(1000));
      put(s, "second", sim_layout("\"1\"", 3));
    });
    from = s.world.now();
    auto next = s.fleet.operator_call("GET", "/v1/assignments?wait_ms=4500&after=" + v, "");
    s.want(next.status == 200 && s.world.now() - from >= Duration(1000), "a watch missed a change");
  };
}

// A split that leaves the duty's holder on the small side: it stops before its
// read_lease ends, and the other side goes on.
void split_duty(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"cut"};
  s.story = [&s] {
    if (!begin(s, 40)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 3; ++i) {
      auto* host = duty_holder(s);
      if (!host) return s.want(false, "nobody holds the duty");
      s.fleet.isolate(host->name);
      bool passed = s.fleet.wait_until(Duration(15000), [&] {
        auto* n = duty_holder(s);
        return n && n != host;
      });
      s.want(passed, "the leadership did not pass on");
      s.world.heal_all();
      s.fleet.sleep(Duration(2000 + s.world.below(3000)));
    }
  };
}

// Each machine in turn is stopped with a warning and started again.
void rolling_restart(Scene& s) {
  s.length = Duration(120000);
  s.story = [&s] {
    if (!begin(s, 40)) return;
    auto calls = s.fleet.calls, good = s.fleet.good;
    for (auto& h : s.fleet.hosts()) {
      bool gone = false;
      auto name = h->name;
      s.world.spawn(h->process, [&gone, n = h->node.get()] {
        n->begin_shutdown();
        gone = true;
      });
      s.want(s.fleet.wait_until(Duration(5000),
                                [&] { return gone && h->node->request_handler().running_requests() == 0; }),
             name + " did not leave within five seconds");
      s.fleet.kill(name);
      s.fleet.sleep(Duration(200));
      s.fleet.start(name);
      s.want(serves(s, Duration(10000)), name + " did not come back");
    }
    calls = s.fleet.calls - calls;
    good = s.fleet.good - good;
    s.figures = {{"restart_calls", calls}, {"restart_not_good", calls - good}};
    s.want(good * 100 >= calls * 99, fmt::format("only {} of {} calls went well", good, calls));
  };
}
}  // namespace

NamedCases rollout_stories() {
  return {{"duty_dies", duty_dies},
          {"bad_release_one", [](Scene& s) { bad_release_in(s, "ONE"); }},
          {"bad_release_two", [](Scene& s) { bad_release_in(s, "TWO"); }},
          {"bad_release_three", [](Scene& s) { bad_release_in(s, "THREE"); }},
          {"version_by_layout", version_by_layout},
          {"quiet_hours", quiet_hours},
          {"old_layout", old_layout},
          {"blind_beats_one", [](Scene& s) { blind_release_in(s, "ONE", "beats"); }},
          {"blind_beats_two", [](Scene& s) { blind_release_in(s, "TWO", "beats"); }},
          {"blind_beats_three", [](Scene& s) { blind_release_in(s, "THREE", "beats"); }},
          {"blind_reach_one", [](Scene& s) { blind_release_in(s, "ONE", "reach"); }},
          {"blind_reach_two", [](Scene& s) { blind_release_in(s, "TWO", "reach"); }},
          {"blind_reach_three", [](Scene& s) { blind_release_in(s, "THREE", "reach"); }},
          {"too_little", too_little},
          {"races", races},
          {"operators_race", operators_race},
          {"watch", watch},
          {"split_duty", split_duty},
          {"rolling_restart", rolling_restart}};
}

}  // namespace dunlinwing::test
