// Moves with a term: the docket, the share, and the pure step under noise.
#include "rollout/version_rollout.hpp"

#include <random>

#include "canary/canary_statistics.hpp"
#include "limits/retry_budget.hpp"
#include "proxy/canary_admission.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kLook{250};

// A fleet in miniature: each look brings answers by route, drawn with the given rates.
struct Bench {
  rollout::RolloutRules rules;
  pb::ServiceState state;
  std::mt19937_64 rng;
  std::map<std::string, double> fails;  // of the version on trial, by route
  std::map<std::string, double> slow;
  double old_fails = 0;
  int per_second = 300, warm = 4, bad_from_ms = 0;
  proxy::CanaryAdmission trials;
  bool by_count = false;  // the share is kept as relays keep it: by exact count, rarest routes first
  std::vector<std::string> routes{"a", "b", "c"};
  Duration now{0}, switched{-1}, warm_at{4000};
  canary::CanarySample seen;
  uint64_t to_trial = 0, all = 0;

  explicit Bench(uint64_t seed, Duration term = Duration(14000)) : rng(seed) {
    state.set_current("1");
    rollout::start_canary(state, "2", term, Duration(500));
  }
  double draw() { return std::uniform_real_distribution<>(0, 1)(rng); }

  void answer(const std::string& route, bool mine, bool is_warm) {
    auto rate = [&](const std::map<std::string, double>& m) {
      auto f = m.find(route);
      return f == m.end() || now < Duration(bad_from_ms) ? 0.0 : f->second;
    };
    canary::OutcomeCounts t;
    bool bad = draw() < (mine ? rate(fails) : old_fails), late = mine && draw() < rate(slow);
    (bad ? t.bad : t.good) = 1;
    t.slow = late && !bad;
    t.total_ms = late ? 80 : 10 + static_cast<uint64_t>(draw() * 10);
    (mine ? seen.canary : seen.baseline)[route] += t;
    if (is_warm) (mine ? seen.warm_canary : seen.warm_baseline)[route] += t;
    ++all;
    to_trial += mine;
  }

  bool goes_to_trial(const std::string& route) {
    if (state.switching()) return true;
    if (state.canary().empty()) return false;
    if (!by_count) return draw() * 100 < state.percent();
    int percent = static_cast<int>(state.percent());
    bool whole = percent >= canary::kDeadlinePercent;
    return trials.admit("app", 1, "2", route,
                        {canary::kDeadlinePercent, percent, whole ? canary::kInitialCredit : 0});
  }

  void look(const std::vector<std::string>& routes) {
    bool is_warm = now >= warm_at;
    for (int i = 0; i < per_second * kLook.count() / 1000; ++i) {
      auto& route = routes[static_cast<size_t>(draw() * static_cast<double>(routes.size()))];
      answer(route, goes_to_trial(route), is_warm);
    }
    now += kLook;
    rollout::VersionRolloutObservation observation;
    observation.elapsed = kLook;
    observation.since_requested = now;
    observation.instances = {{"1", 4}, {"2", 4}};
    observation.warm_instances = {{"1", 4}, {"2", is_warm ? warm : 0}};
    observation.all_warm = is_warm;
    observation.sample = seen;
    if (state.switching() && switched < Duration(0)) switched = now;
    observation.since_switch = state.switching() ? now - switched : Duration(0);
    state = rollout::step("app", state, observation, rules).state;
  }
  void run(const std::vector<std::string>& routes) {
    while (!state.canary().empty() && now < Duration(30000)) look(routes);
  }
  bool promoted() const { return state.current() == "2"; }
};

void good_in_time() {
  Bench b(1);
  b.run({"a", "b"});
  expect(b.promoted() && b.state.outcome() == "completed",
         "a good version was not promoted: " + b.state.reason());
  expect(b.now <= Duration(13500), fmt::format("it was completed only at {} ms", b.now.count()));
  expect(b.state.previous_versions().empty(), "the old version is still open");
}

/// A busy route with `weight` times the requests of each of `rare` rare ones.
std::vector<std::string> busy_and_rare(int weight, int rare) {
  std::vector<std::string> routes(static_cast<size_t>(weight), "busy");
  for (int i = 0; i < rare; ++i) routes.push_back(fmt::format("rare-{}", i));
  return routes;
}

void good_with_rare_routes() {
  for (int rare : {1, 3, 12})
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      Bench b(seed);
      b.by_count = true;
      b.run(busy_and_rare(400, rare));
      expect(b.promoted(),
             fmt::format("{} rare routes held a good version back: {}", rare, b.state.reason()));
    }
}

// Each warm worker gets its turn once what had been saved is spent; a cold one gets none.
void workers_in_turn() {
  proxy::RoutingSnapshot table;
  for (auto* name : {"i1", "i2", "i3", "i4", "i5"})
    table.backend_instances["s"].push_back({name, "s", "2", "", "", 1});
  table.backend_instances["s"].back().cold_until = TimePoint(1000);
  rollout::start_canary(table.service_states["s"], "2", Duration(14000), Duration(500));
  table.service_states["s"].set_current("1");
  table.service_states["s"].set_percent(canary::kDeadlinePercent);
  proxy::CanaryAdmission trials;
  std::map<std::string, int> asked;
  int granted = 0, burst = 0;
  for (int i = 0; i < 2000; ++i) {
    auto among = trials.admit(table, "s", "2", "r");
    if (among.empty()) continue;
    ++granted;
    if (among.size() == 2) {
      ++burst;
      expect(asked.empty(), "what was saved was spent twice");
    } else {
      same(among.size(), size_t{1}, "workers asked in turn");
      ++asked[among[0].instance];
    }
  }
  expect(burst > 0 && burst <= canary::kInitialCredit, fmt::format("{} requests in the burst", burst));
  same(asked.size(), size_t{4}, "workers in turn");
  for (auto& [name, times] : asked)
    expect(times >= 35, fmt::format("{} was asked {} times of {}", name, times, granted));
}

void few_workers() {
  Bench b(1);
  b.warm = 2;
  b.run({"a"});
  expect(b.state.outcome() == "rolled_back" &&
             b.state.reason().find("no verdict in time: 2 warm workers for 4") == 0,
         b.state.reason());
}

void switch_lasts() {
  Bench b(1);
  while (!b.state.switching()) b.look({"a"});
  auto from = b.now;
  config::ServiceConfiguration svc;
  auto v = proxy::eligible_versions(svc, &b.state);
  expect(v.open == std::vector<std::string>{"2"} && v.canary.empty(),
         "another version is open in the switch");
  b.run({"a"});
  expect(b.now - from >= Duration(2500), "completed before all permits had turned over");
}

void any_version() {
  config::ServiceConfiguration svc;
  proxy::RoutingSnapshot t;
  t.backend_instances["s"] = {{"i1", "s", "1", "", "", 1}, {"i2", "s", "2", "", "", 1}};
  proxy::finalize_snapshot(t);
  expect(proxy::eligible_versions(svc, &t.service_states["s"]).open.size() == 2,
         "not all are open before one is in place");
  t.service_states["s"].Clear();  // each table has its states read anew
  t.service_states["s"].set_current("1");
  proxy::finalize_snapshot(t);
  expect(proxy::eligible_versions(svc, &t.service_states["s"]).open == std::vector<std::string>{"1"},
         "a version that no move asked for is open");
}

void rare_routes() {
  proxy::CanaryAdmission t;
  std::map<bool, int> got;
  int all = 0;
  for (int i = 0; i < 1000; ++i) {
    bool rare = i % 50 == 0;
    got[rare] += t.admit("s", 1, "2", rare ? "rare" : "often", {8, 8, 0});
    ++all;
    RC_ASSERT((got[true] + got[false]) * 100 <= all * 8);
  }
  expect(got[true] >= 15, fmt::format("a rare route had {} of its 20 requests on trial", got[true]));
  expect(got[true] + got[false] >= 76, "the share was not used");
}

void spared() {
  proxy::CanaryAdmission t;
  int got = 0;
  for (int i = 0; i < 1000; ++i) got += t.admit("s", 1, "2", "r", {8, 3, 0});
  same(got, 30, "requests while it is cold");
  for (int i = 1; i <= 100; ++i) {
    got += t.admit("s", 1, "2", "r", {8, 8, 5});
    expect(got * 100 <= (1000 + i) * 8 + 500, "over the share");
  }
  same(got, 93, "requests with what was spared and what is spent ahead");
}

// 88 relays of a few requests a second each, and 12 of more.
void many_relays() {
  for (int n : {12, 88}) {
    std::vector<std::unique_ptr<proxy::CanaryAdmission>> relays;
    for (int i = 0; i < n; ++i) relays.push_back(std::make_unique<proxy::CanaryAdmission>());
    std::mt19937_64 rng(7);
    int mine = 0, all = 0;
    std::map<std::string, int> by;
    for (int i = 0; i < 360 * 6; ++i) {
      auto k = rng() % relays.size();
      std::string route = rng() % 3 ? "a" : "b";
      bool g = relays[k]->admit(
          "s", 1, "2", route,
          {8, 8, limits::retry_allowance_of_node(canary::kInitialCredit, n, static_cast<int>(k))});
      mine += g;
      by[route] += g;
      expect(mine * 100 <= ++all * 8 + 100 * canary::kInitialCredit, "over the share");
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
      b.run(b.routes);
      RC_ASSERT(!b.promoted());
      RC_ASSERT(b.state.outcome() == "rolled_back");
      RC_ASSERT(b.state.quarantined().count("2") == 1u);
      RC_ASSERT(b.to_trial * 10 <= b.all + 500);
    };
  };
  return {
      {"moves: a good version is completed within its term", good_in_time},
      {"moves: rare routes don't hold a good version back", good_with_rare_routes},
      {"moves: too few new workers end in a roll-back", few_workers},
      {"moves: the switch lasts until nothing can reach the old version", switch_lasts},
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
      property("moves: nor one that fails on the rare routes alone", bad([](Bench& b, double x) {
                 b.by_count = true;
                 b.old_fails = 0;
                 b.routes = busy_and_rare(100, 10);
                 for (int i = 0; i < 10; ++i) b.fails[fmt::format("rare-{}", i)] = x;
               })),
      {"trial: every warm worker has its turn", workers_in_turn},
      {"trial: rare routes have their evidence first", rare_routes},
      {"trial: what is spared while workers are cold is spent once they are warm", spared},
      {"trial: twelve relays and eighty-eight keep the share and give evidence", many_relays},
  };
}

}  // namespace dunlinwing::test
