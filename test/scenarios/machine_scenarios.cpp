// Stories. Each begins with a fleet that serves its first layout.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

void calm(Scene& s) {
  s.length = Duration(110000);
  s.story = [&s] {
    if (!begin(s, 60)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    s.want(reach(s, "second", "DONE", Duration(90000)),
           "the second layout did not run everywhere, it is " + phase(s, "second"));
    s.want(s.fleet.good * 100 > s.fleet.calls * 99,
           fmt::format("only {} of {} calls went well", s.fleet.good, s.fleet.calls));
  };
}

// ReplicaSetView and others are killed at random, also right after they acknowledged.
void kills(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 12; ++i) {
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      if (may_fall(s, *h)) s.fleet.kill(h->name);
      s.fleet.sleep(Duration(300 + s.world.below(2500)));
      for (auto& x : s.fleet.hosts())
        if (!x->up() && s.world.random(600)) s.fleet.start(x->name);
    }
    s.fleet.start_all();
    s.fleet.event(R"("t":"returned")");
    s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after the machines returned");
    s.want(s.fleet.operator_call("GET", "/v1/releases/layout/second", "").status == 200,
           "an acknowledged layout is gone");
    s.fleet.sleep(Duration(15000));
  };
}

void all_at_once(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"kill"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int k = 0; k < 2; ++k) {
      for (auto& h : s.fleet.hosts()) s.fleet.kill(h->name);
      s.fleet.sleep(Duration(500 + s.world.below(3000)));
      s.fleet.start_all();
      s.fleet.event(R"("t":"returned")");
      s.want(serves(s, Duration(15000)), "the fleet did not serve again 15 s after a restart of all");
      s.want(s.fleet.operator_call("GET", "/v1/releases/layout/second", "").status == 200,
             "an acknowledged layout is gone");
      s.fleet.sleep(Duration(1000 + s.world.below(12000)));
    }
  };
}

// One machine after the other loses its disk and comes back blank.
void lost_disks(Scene& s) {
  s.length = Duration(100000);
  s.must_meet = {"lost_disk"};
  s.story = [&s] {
    if (!begin(s)) return;
    for (int i = 0; i < 5; ++i) {
      auto name = fmt::format("h{}", 1 + s.world.below(5));
      put(s, fmt::format("r{}", i), sim_layout("\"1\"", 3 + i));
      s.fleet.kill(name);
      s.fleet.wipe(name);
      s.fleet.sleep(Duration(10 + s.world.below(3000)));
      s.fleet.start(name);
      bool back = s.fleet.wait_until(Duration(10000),
                                     [&] { return !s.fleet.at(name).node->acceptor()->non_voting(); });
      s.want(back, name + " was not refilled");
      for (int k = 0; k <= i; ++k)
        s.want(s.fleet.operator_call("GET", fmt::format("/v1/releases/layout/r{}", k), "").status == 200,
               "an acknowledged layout is gone");
    }
  };
}

void freezes(Scene& s) {
  s.length = Duration(80000);
  s.must_meet = {"freeze"};
  s.story = [&s] {
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      auto& h = s.fleet.hosts()[s.world.below(s.fleet.hosts().size())];
      s.world.freeze(h->name, s.world.now() + Duration(500 + s.world.below(8000)));
      if (s.world.random(500)) purge(s, fmt::format("p{}", i), "prefix", "/c/");
      s.fleet.sleep(Duration(500 + s.world.below(5000)));
    }
    s.want(serves(s, Duration(20000)), "the fleet did not serve again after the freezes");
  };
}

// The core is split, one way and both; the small side must turn away.
void splits(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"cut"};
  s.story = [&s] {
    if (!begin(s)) return;
    for (int i = 0; i < 5; ++i) {
      std::vector<std::string> left, right;
      for (auto& h : s.fleet.hosts()) (s.world.random(400) ? left : right).push_back(h->name);
      bool one_way = s.world.random(300);
      for (auto& a : left)
        for (auto& b : right) {
          s.world.partition(a, b);
          if (!one_way) s.world.partition(b, a);
        }
      auto name = fmt::format("p{}", i);
      s.fleet.sleep(Duration(500 + s.world.below(2000)));
      purge(s, name, "service", "");
      s.fleet.sleep(Duration(1000 + s.world.below(6000)));
      s.world.heal_all();
      s.fleet.event(R"("t":"returned")");
      s.want(serves(s, Duration(15000)), "the fleet did not serve again after a split");
      s.fleet.sleep(Duration(1000));
    }
  };
}

void bad_network(Scene& s) {
  s.length = Duration(70000);
  s.must_meet = {"loss", "twice"};
  s.story = [&s] {
    s.world.weather = {30, 30, Duration(1), Duration(40)};
    if (!begin(s)) return;
    put(s, "second", sim_layout("\"1\"", 3));
    for (int i = 0; i < 10; ++i) {
      purge(s, fmt::format("p{}", i), "prefix", "/c/1");
      s.fleet.sleep(Duration(3000));
    }
  };
}
}  // namespace

namespace {
// Two machines that hold state are replaced by two others, one after the other,
// while layouts are recorded and machines fail; nothing acknowledged is lost.
void replaced_holders(Scene& s) {
  s.length = Duration(120000);
  s.must_meet = {"kill", "loss"};
  s.story = [&s] {
    if (!begin(s)) return;
    s.world.weather = {10, 10, Duration(1), Duration(15)};
    auto stop = std::make_shared<bool>(false);
    auto acked = std::make_shared<std::map<std::string, std::string>>();
    s.fleet.spawn_outside([&s, stop, acked] {
      for (int i = 0; !*stop; ++i) {
        auto name = fmt::format("r{}", i);
        auto doc = sim_layout("\"1\"", 1 + i % 9);
        if (s.fleet.operator_call("PUT", "/v1/releases/layout/" + name, doc).status == 202)
          (*acked)[name] = doc;
        s.fleet.sleep(Duration(300 + s.world.below(700)));
      }
    });
    for (int k = 1; k <= 2; ++k) {
      auto in = fmt::format("x{}", k), out = fmt::format("h{}", k);
      auto state = [&](const std::string& n, bool on) {
        auto body = on ? fmt::format(R"({{"holder":true,"address":"peer:{}"}})", n)
                       : std::string(R"({"holder":false})");
        bool ok = s.fleet.wait_until(Duration(20000), [&] {
          return s.fleet.operator_call("PUT", "/v1/holders/" + n, body).status == 200;
        });
        s.want(ok, "the set of holders could not be changed for " + n);
      };
      s.fleet.kill(out);  // the machine is gone for good
      state(in, true);
      s.want(
          s.fleet.wait_until(Duration(15000), [&] { return !s.fleet.at(in).node->acceptor()->non_voting(); }),
          in + " was not filled");
      state(out, false);
      s.fleet.sleep(Duration(1000 + s.world.below(2000)));
    }
    s.fleet.start("h1");  // the old machine comes back, and nobody counts its votes
    // Three of the five of now; without the two new ones there would be no majority.
    s.fleet.kill("h3");
    s.fleet.kill("h4");
    s.fleet.sleep(Duration(5000));
    auto n = acked->size();
    s.fleet.sleep(Duration(6000));
    s.want(acked->size() > n, "two of the five present holders lost, and control stood still");
    *stop = true;
    s.fleet.sleep(Duration(6000));
    s.world.weather = s.fleet.normal_conditions();
    s.fleet.start("h3");
    s.fleet.start("h4");
    s.fleet.sleep(Duration(6000));
    for (auto& h : s.fleet.hosts())
      if (h->up()) knows(s, *h, *acked);
    auto p = base::Json::parse(s.fleet.operator_call("GET", "/v1/holders", "").body);
    auto* j = std::get_if<base::Json>(&p);
    // Four changes of two steps each, the last one finished.
    s.want(j && j->at("epoch").string_or() == "8" && j->at("holders").items().size() == 5 &&
               j->at("previous").items().empty(),
           "the set is not what was stated");
    s.figures = {{"layouts_acked", acked->size()}};
  };
}

// A relay that missed every change of the set writes with the holders it still
// knows, two of which are long removed and come back just then.
void stale_set(Scene& s) {
  s.length = Duration(90000);
  s.must_meet = {"kill", "cut"};
  s.story = [&s] {
    if (!begin(s)) return;
    s.fleet.isolate("e4");
    for (int k = 1; k <= 2; ++k) {
      auto in = fmt::format("x{}", k), out = fmt::format("h{}", k);
      auto state = [&](const std::string& n, const std::string& body) {
        bool ok = s.fleet.wait_until(Duration(20000), [&] {
          return s.fleet.operator_call("PUT", "/v1/holders/" + n, body).status == 200;
        });
        s.want(ok, "the set of holders could not be changed for " + n);
      };
      s.fleet.kill(out);
      state(in, fmt::format(R"({{"holder":true,"address":"peer:{}"}})", in));
      s.want(
          s.fleet.wait_until(Duration(15000), [&] { return !s.fleet.at(in).node->acceptor()->non_voting(); }),
          in + " was not filled");
      state(out, R"({"holder":false})");
    }
    s.fleet.sleep(Duration(3000));
    auto wins = std::make_shared<std::vector<std::string>>();
    auto ends = std::make_shared<int>(0);
    auto write = [&](const std::string& host) {
      auto* h = &s.fleet.at(host);
      s.world.spawn(h->process, [h, wins, ends] {
        auto r = h->node->registers().write("contested", 0, h->name);
        if (std::holds_alternative<consensus::VersionedValue>(r)) wins->push_back(h->name);
        ++*ends;
      });
    };
    // e4 hears h1, h2 and h3 only, a majority of the set it knows; e1 hears all but h3.
    s.world.heal_all();
    s.fleet.isolate("e4");
    s.fleet.start("h1");
    s.fleet.start("h2");
    for (auto* h : {"h1", "h2"})
      for (auto& x : s.fleet.hosts())
        if (x->name != h) s.world.partition(h, x->name), s.world.partition(x->name, h);
    s.fleet.sleep(Duration(300));
    s.world.partition("e1", "h3");
    s.world.partition("h3", "e1");
    for (auto* h : {"h1", "h2", "h3"}) s.world.heal("e4", h);
    write("e4");
    write("e1");
    s.want(s.fleet.wait_until(Duration(10000), [&] { return *ends == 2; }), "a write did not come back");
    s.want(wins->size() <= 1, "two writers won the same version, one with a set long gone");
    s.world.heal_all();
    s.fleet.sleep(Duration(5000));
  };
}
}  // namespace

NamedCases machine_cases() {
  return {{"calm", calm},
          {"kills", kills},
          {"all_at_once", all_at_once},
          {"lost_disks", lost_disks},
          {"freezes", freezes},
          {"splits", splits},
          {"bad_network", bad_network},
          {"replaced_holders", SimCase(replaced_holders, 2)},
          {"stale_set", SimCase(stale_set, 2)}};
}

}  // namespace dunlinwing::test
