// Moves with a term: the docket, the share, and the pure step under noise.
#include <random>

#include "rollout/moves.hpp"
#include "traffic/budget.hpp"
#include "traffic/jury.hpp"
#include "traffic/trial.hpp"
#include "unit.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kLook{250};

// A fleet in miniature: each look brings answers by route, drawn with the given rates.
struct Bench {
  rollout::Rules r;
  pb::ServiceState s;
  std::mt19937_64 rng;
  std::map<std::string, double> fails;  // of the version on trial, by route
  std::map<std::string, double> slow;
  double old_fails = 0;
  int per_second = 300, warm = 4, bad_from_ms = 0;
  Duration now{0}, switched{-1}, warm_at{4000};
  traffic::Seen seen;
  uint64_t to_trial = 0, all = 0;

  explicit Bench(uint64_t seed, Duration term = Duration(14000)) : rng(seed) {
    s.set_current("1");
    rollout::open_trial(s, "2", term, Duration(500));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(rng); }

  void answer(const std::string& route, bool mine, bool is_warm) {
    auto rate = [&](const std::map<std::string, double>& m) {
      auto f = m.find(route);
      return f == m.end() || now < Duration(bad_from_ms) ? 0.0 : f->second;
    };
    traffic::Tally t;
    bool bad = draw() < (mine ? rate(fails) : old_fails), late = mine && draw() < rate(slow);
    (bad ? t.bad : t.good) = 1;
    t.slow = late && !bad;
    t.took_ms = late ? 80 : 10 + static_cast<uint64_t>(draw() * 10);
    (mine ? seen.trial : seen.old)[route] += t;
    if (is_warm) (mine ? seen.warm_trial : seen.warm_old)[route] += t;
    ++all;
    to_trial += mine;
  }

  void look(const std::vector<std::string>& routes) {
    bool is_warm = now >= warm_at;
    for (int i = 0; i < per_second * kLook.count() / 1000; ++i) {
      bool mine = s.switching() || (!s.trial().empty() && draw() * 100 < s.percent());
      answer(routes[static_cast<size_t>(draw() * static_cast<double>(routes.size()))], mine, is_warm);
    }
    now += kLook;
    rollout::MoveSight v;
    v.dt = kLook;
    v.asked = now;
    v.workers = {{"1", 4}, {"2", 4}};
    v.warm = {{"1", 4}, {"2", is_warm ? warm : 0}};
    v.all_warm = is_warm;
    v.seen = seen;
    if (s.switching() && switched < Duration(0)) switched = now;
    v.switching = s.switching() ? now - switched : Duration(0);
    s = rollout::step("app", s, v, r).state;
  }
  void run(const std::vector<std::string>& routes) {
    while (!s.trial().empty() && now < Duration(30000)) look(routes);
  }
  bool promoted() const { return s.current() == "2"; }
};

void good_in_time() {
  Bench b(1);
  b.run({"a", "b"});
  expect(b.promoted() && b.s.outcome() == "completed", "a good version was not promoted: " + b.s.why());
  expect(b.now <= Duration(13500), fmt::format("it was completed only at {} ms", b.now.count()));
  expect(b.s.kept().empty(), "the old version is still open");
}

void few_workers() {
  Bench b(1);
  b.warm = 2;
  b.run({"a"});
  expect(b.s.outcome() == "rolled_back" && b.s.why().find("no verdict in time: 2 warm workers for 4") == 0,
         b.s.why());
}

void switch_lasts() {
  Bench b(1);
  while (!b.s.switching()) b.look({"a"});
  auto from = b.now;
  traffic::Service svc;
  auto v = traffic::versions(svc, &b.s);
  expect(v.open == std::vector<std::string>{"2"} && v.trial.empty(), "another version is open in the switch");
  b.run({"a"});
  expect(b.now - from >= Duration(2500), "completed before all permits had turned over");
}

// In the switch a version that is bad under the whole load is noticed by a relay alone.
void relay_goes_back() {
  traffic::Jury j;
  pb::ServiceState st;
  st.set_current("1");
  rollout::open_trial(st, "2", Duration(14000), Duration(500));
  st.set_switching(true);
  pb::NodeStatus n;
  n.mutable_mark()->set_incarnation(1);
  auto* x = n.add_bad();
  x->set_service("s");
  x->set_version("2");
  auto* o = n.add_bad();
  o->set_service("s");
  o->set_version("1");
  o->set_good(1000);
  j.hear({{"s", st}}, {{"r", n}}, 50);
  expect(!j.stopped("s"), "it was given up without answers");
  x->set_good(12);
  x->set_bad(8);
  j.hear({{"s", st}}, {{"r", n}}, 50);
  expect(j.stopped("s"), "eight of twenty bad were not plain");
  traffic::Table t;
  t.states["s"] = st;
  t.given_up = j.all_stopped();
  traffic::settle(t);
  auto v = traffic::versions({}, &t.states["s"]);
  expect(v.open == std::vector<std::string>{"1"}, "it did not go back");
}

void any_version() {
  traffic::Service svc;
  traffic::Table t;
  t.workers["s"] = {{"i1", "s", "1", "", "", 1}, {"i2", "s", "2", "", "", 1}};
  traffic::settle(t);
  expect(traffic::versions(svc, &t.states["s"]).open.size() == 2, "not all are open before one is in place");
  t.states["s"].Clear();  // each table has its states read anew
  t.states["s"].set_current("1");
  traffic::settle(t);
  expect(traffic::versions(svc, &t.states["s"]).open == std::vector<std::string>{"1"},
         "a version that no move asked for is open");
}

void rare_routes() {
  traffic::Trials t;
  std::map<bool, int> got;
  int all = 0;
  for (int i = 0; i < 1000; ++i) {
    bool rare = i % 50 == 0;
    got[rare] += t.grant("s", 1, "2", rare ? "rare" : "often", {8, 8, 0});
    ++all;
    RC_ASSERT((got[true] + got[false]) * 100 <= all * 8);
  }
  expect(got[true] >= 15, fmt::format("a rare route had {} of its 20 requests on trial", got[true]));
  expect(got[true] + got[false] >= 76, "the share was not used");
}

void spared() {
  traffic::Trials t;
  int got = 0;
  for (int i = 0; i < 1000; ++i) got += t.grant("s", 1, "2", "r", {8, 3, 0});
  same(got, 30, "requests while it is cold");
  for (int i = 1; i <= 100; ++i) {
    got += t.grant("s", 1, "2", "r", {8, 8, 5});
    expect(got * 100 <= (1000 + i) * 8 + 500, "over the share");
  }
  same(got, 93, "requests with what was spared and what is spent ahead");
}

// 88 relays of a few requests a second each, and 12 of more.
void many_relays() {
  for (int n : {12, 88}) {
    std::vector<std::unique_ptr<traffic::Trials>> relays;
    for (int i = 0; i < n; ++i) relays.push_back(std::make_unique<traffic::Trials>());
    std::mt19937_64 rng(7);
    int mine = 0, all = 0;
    std::map<std::string, int> by;
    for (int i = 0; i < 360 * 6; ++i) {
      auto k = rng() % relays.size();
      std::string route = rng() % 3 ? "a" : "b";
      bool g = relays[k]->grant("s", 1, "2", route,
                                {8, 8, traffic::repeat_part(traffic::kAhead, n, static_cast<int>(k))});
      mine += g;
      by[route] += g;
      expect(mine * 100 <= ++all * 8 + 100 * traffic::kAhead, "over the share");
    }
    expect(by["a"] >= 40 && by["b"] >= 40,
           fmt::format("{} relays: {} and {} requests on trial", n, by["a"], by["b"]));
  }
}
}  // namespace

std::vector<Case> move_cases() {
  auto bad = [](auto set) {
    return [set] {
      int rate = *rc::gen::inRange(35, 61);
      Bench b(*rc::gen::arbitrary<uint64_t>(), Duration(*rc::gen::inRange(12, 17) * 1000));
      b.per_second = *rc::gen::inRange(100, 601);
      b.old_fails = *rc::gen::inRange(0, 6) / 100.0;
      set(b, rate / 100.0);
      b.run({"a", "b", "c"});
      RC_ASSERT(!b.promoted());
      RC_ASSERT(b.s.outcome() == "rolled_back");
      RC_ASSERT(b.s.quarantined().count("2") == 1u);
      RC_ASSERT(b.to_trial * 10 <= b.all + 500);
    };
  };
  return {
      {"moves: a good version is completed within its term", good_in_time},
      {"moves: too few new workers end in a roll-back", few_workers},
      {"moves: the switch lasts until nothing can reach the old version", switch_lasts},
      {"moves: a relay goes back by itself in the switch", relay_goes_back},
      {"moves: a layout that names no version", any_version},
      property("moves: a version that fails is never promoted", bad([](Bench& b, double x) {
                 b.fails = {{"a", x}, {"b", x}, {"c", x}};
               })),
      property("moves: nor one that fails on one route of three", bad([](Bench& b, double x) {
                 b.fails = {{"b", x}};
               })),
      property("moves: nor one that is slow", bad([](Bench& b, double x) {
                 b.slow = {{"a", x}, {"b", x}, {"c", x}};
               })),
      property("moves: nor one that is slow on one route", bad([](Bench& b, double x) {
                 b.slow = {{"c", x}};
               })),
      property("moves: nor one that turns bad when it is warm", bad([](Bench& b, double x) {
                 b.fails = {{"a", x}, {"b", x}, {"c", x}};
                 b.bad_from_ms = 3000;
               })),
      {"trial: rare routes have their evidence first", rare_routes},
      {"trial: what is spared while workers are cold is spent once they are warm", spared},
      {"trial: twelve relays and eighty-eight keep the share and give evidence", many_relays},
  };
}

}  // namespace dunlinwing::test
