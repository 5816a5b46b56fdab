// The rollout reducer on invented fleets: its order, its holds, its checks.
#include "rollout/release_state_machine.hpp"

#include "rollout/version_rollout.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using namespace rollout;

// A fleet that does as it is told, and the events fed to the reducer.
struct Bench {
  pb::RolloutState state;
  RolloutRules rules;
  FleetObservation observation;
  std::string log;
  std::vector<std::pair<Duration, std::string>> assigned;  // when a node first got release "new"
  Duration clock{0};
  std::set<std::string> on;

  explicit Bench(int zones = 3, int per = 4) {
    for (int z = 0; z < zones; ++z)
      for (int i = 0; i < per; ++i) {
        NodeObservation n;
        n.zone = std::string(1, static_cast<char>('a' + z));
        n.name = n.zone + std::to_string(i);
        n.present = true;
        n.keeps_state = i == 0;
        observation.nodes.push_back(n);
      }
    record("base");
    tick(Duration(0));
  }
  void record(const std::string& name, const std::string& more = "") {
    auto g = config::parse_release("layout", name,
                                   R"({"content":{"services":{"a":{"versions":["1"]}},
      "routes":[{"prefix":"/","service":"a"}]})" +
                                       more + "}");
    auto& rel = std::get<config::Release>(g);
    observation.releases[config::release_key("layout", name)] = rel;
    feed(ReleaseRecorded{rel});
  }
  void feed(const Event& event) {
    auto result = step(state, event, rules);
    expect(result.state.generation() >= state.generation(), "the generation fell");
    for (auto& [n, a] : result.state.nodes()) {
      auto f = state.nodes().find(n);
      if (f != state.nodes().end()) {
        expect(a.generation() >= f->second.generation(), "a node's generation fell");
        bool changed = a.releases().at("layout") != f->second.releases().at("layout");
        expect(!changed || a.generation() > f->second.generation(),
               "an assignment changed without a higher generation");
      }
      if (a.releases().count("layout") && a.releases().at("layout") == "new" && on.insert(n).second)
        assigned.emplace_back(clock, n);
    }
    state = result.state;
    for (auto& x : result.effects)
      if (auto* t = as<LogEffect>(x)) log += t->message + "\n";
  }
  void tick(Duration dt) {
    clock += dt;
    observation.elapsed = dt;
    for (auto& n : observation.nodes) {
      auto f = state.nodes().find(n.name);
      if (f != state.nodes().end() && n.present && n.load_error.empty())
        n.running = {f->second.releases().begin(), f->second.releases().end()};
    }
    feed(observation);
  }
  void pass(Duration t, Duration by = Duration(1000)) {
    for (Duration d{0}; d < t; d += by) tick(by);
  }
  const pb::ReleaseProgress& course(const std::string& name) {
    for (auto& progress : state.releases())
      if (progress.release() == name) return progress;
    throw Failed("no course " + name);
  }
  void traffic(uint64_t rq, uint64_t on_df = 0, uint64_t off_df = 0) {
    for (auto& n : observation.nodes) {
      bool o = state.nodes().count(n.name) && state.nodes().at(n.name).releases().at("layout") == "new";
      n.requests = rq;
      n.checks_passed = rq > 0;
      n.failures = o ? on_df : off_df;
    }
  }
  NodeObservation& node(const std::string& n) {
    for (auto& x : observation.nodes)
      if (x.name == n) return x;
    throw Failed("no node " + n);
  }
};

using std::chrono::minutes;

// Probes and workers' beats stop a release only when they fare better elsewhere.
void blind_checks() {
  for (bool beats : {true, false})
    for (bool all : {true, false}) {
      Bench b;
      b.traffic(10);
      for (auto& n : b.observation.nodes) n.heartbeats = 4, n.heartbeats_usual = 4000;
      b.record("new");
      b.tick(Duration(1000));
      for (int i = 0; i < 30; ++i) {
        for (auto& n : b.observation.nodes) {
          bool on = all || b.state.nodes().at(n.name).releases().at("layout") == "new";
          if (beats) n.heartbeats = on ? 0 : 4;
          if (!beats) n.checks_passed = !on, n.checks_failed = on;
        }
        b.tick(Duration(1000));
      }
      auto ph = b.course("new").phase();
      expect((ph == pb::STOPPED) == !all,
             fmt::format("beats {}, all {}: it is {}", beats, all, pb::Phase_Name(ph)));
      if (!all)
        expect(b.course("new").reason().find(beats ? "check worker-beats" : "check probes") == 0,
               b.course("new").reason());
    }
}

void ordinary() {
  Bench b;
  b.traffic(10);
  b.record("new");
  b.pass(minutes(200));
  expect(b.course("new").phase() == pb::DONE, "it did not finish: " + b.course("new").reason());
  same(b.assigned.size(), size_t(12), "nodes that got it");
  auto home = b.node(b.assigned[0].second).zone;
  expect(!b.node(b.assigned[0].second).keeps_state, "the phase-one machine keeps state");
  expect(b.assigned[1].first - b.assigned[0].first >= minutes(15), "phase one was shorter than 15 minutes");
  auto zone = b.node(b.assigned[1].second).zone;
  expect(zone != home, "phase two took the zone of the phase-one machine");
  Duration last{0};
  for (size_t i = 1; i <= 4; ++i) {
    same(b.node(b.assigned[i].second).zone, zone, "the zone of phase two");
    last = b.assigned[i].first;
  }
  expect(b.assigned[5].first - last >= minutes(20), "phase two was shorter than 20 minutes");
  std::set<std::string> rest;
  for (size_t i = 5; i < 12; ++i) rest.insert(b.node(b.assigned[i].second).zone);
  same(b.node(b.assigned.back().second).zone, home, "the last zone");
  same(rest.size(), size_t(2), "zones of phase three");
}

void keepers_one_by_one() {
  Bench b(3, 4);
  for (auto& n : b.observation.nodes) n.keeps_state = n.name.back() < '2';
  b.traffic(10);
  b.record("new");
  b.pass(minutes(200));
  std::map<Duration, int> at;
  for (auto& [t, n] : b.assigned)
    if (b.node(n).keeps_state) same(++at[t], 1, "replica_repair changed together");
  expect(b.course("new").phase() == pb::DONE, "it did not finish");
}

// In each phase a release that answers badly stops and goes no further.
void bad_in(pb::Phase p) {
  Bench b;
  b.traffic(10);
  b.record("new");
  for (int i = 0; i < 20000 && b.course("new").phase() != p; ++i) b.tick(Duration(1000));
  expect(b.course("new").phase() == p, "the phase was not reached");
  auto had = b.assigned.size();
  auto gen = b.state.generation();
  b.traffic(10, 3, 0);
  b.pass(minutes(5));
  expect(b.course("new").phase() == pb::STOPPED, "a bad release went on");
  expect(b.course("new").reason().find("check defects") == 0, b.course("new").reason());
  expect(b.state.generation() > gen, "no higher generation took it back");
  expect(b.assigned.size() <= had + 4, "it spread while it was bad");
  for (auto& [n, a] : b.state.nodes())
    same(a.releases().at("layout"), std::string("base"), n + " after the stop");
  b.traffic(10);
  b.pass(minutes(100));
  expect(b.course("new").phase() == pb::STOPPED, "a stopped release came back");
}

void too_little_evidence() {
  Bench b;
  b.traffic(0);
  b.record("new");
  b.pass(minutes(300));
  expect(b.course("new").phase() == pb::ONE, "it went on without evidence");
  expect(b.course("new").reason().find("too little evidence") == 0, b.course("new").reason());
  (*b.observation.operator_actions["release/layout/new"].mutable_waived())["evidence"] = "a quiet night";
  b.pass(minutes(200));
  expect(b.course("new").phase() == pb::DONE, "a waived check still held it");
}

void lost_machine() {
  Bench b;
  b.traffic(10);
  b.record("new");
  b.pass(minutes(5));
  b.node(b.assigned[0].second).present = false;
  b.tick(Duration(1000));
  expect(b.course("new").phase() == pb::STOPPED, "the loss of the phase-one machine went unnoticed");
}

void refused_load() {
  Bench b;
  b.traffic(10);
  b.record("new");
  b.tick(Duration(1000));
  b.node(b.assigned[0].second).load_error = "layout/new: unreadable";
  b.tick(Duration(1000));
  expect(b.course("new").phase() == pb::STOPPED, "a release that does not load went on");
}

void quiet_hours() {
  Bench b;
  b.traffic(10);
  b.observation.in_quiet_hours = false;
  b.record("new");
  b.pass(minutes(60));
  expect(b.course("new").phase() == pb::WAITING, "it started in the busy hours");
  b.observation.in_quiet_hours = true;
  b.tick(Duration(1000));
  b.observation.in_quiet_hours = false;
  b.pass(minutes(60));
  expect(b.course("new").phase() == pb::ONE, "phase two started in the busy hours");
  same(b.assigned.size(), size_t(1), "nodes that got it");
}

void bad_hour_for_all() {
  Bench b;
  b.traffic(10, 3, 3);
  b.record("new");
  b.pass(minutes(200));
  expect(b.course("new").phase() == pb::DONE,
         "a bad hour for all stopped a release: " + b.course("new").reason());
}

void one_after_the_other() {
  Bench b;
  b.traffic(10);
  b.record("new");
  b.record("next");
  b.pass(minutes(10));
  expect(b.course("next").phase() == pb::WAITING, "two of a kind at once");
  b.record("urgent", R"(,"supersedes":"new")");
  b.tick(Duration(1000));
  b.tick(Duration(1000));
  expect(b.course("new").phase() == pb::WITHDRAWN, "it was not superseded");
  expect(b.course("urgent").phase() == pb::ONE, "the superseding one did not start");
  b.observation.operator_actions["release/layout/next"].set_withdrawn("no need");
  b.tick(Duration(1000));
  expect(b.course("next").phase() == pb::WITHDRAWN, "a waiting release was not withdrawn");
}

void express() {
  Bench b;
  b.traffic(10);
  b.record("new", R"(,"express":"an origin is on fire")");
  b.tick(Duration(1000));
  same(b.assigned.size(), size_t(12), "nodes that got it at once");
}

// Whatever happens, phases come in order, no hold is cut short, and what
// failed never spreads; the leadership may pass on at any moment.
void any_history() {
  Bench b(*rc::gen::inRange(2, 5), *rc::gen::inRange(1, 5));
  b.record("new");
  Duration held{0};
  auto was = pb::WAITING;
  uint64_t term = 0;
  auto moves = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 100));
  for (int m : moves) {
    b.traffic(static_cast<uint64_t>(m % 7), m > 95 ? 3 : 0, 0);
    if (m % 11 == 0) {
      auto& n = b.observation.nodes[static_cast<size_t>(m) % b.observation.nodes.size()];
      n.present = !n.present;
    }
    if (m % 13 == 0) b.feed(LeadershipAcquired{++term});
    b.observation.in_quiet_hours = m % 5 != 0;
    b.tick(minutes(m % 4));
    auto now = b.course("new").phase();
    if (is_finished(was)) RC_ASSERT(now == was);
    if (was == pb::ONE && now == pb::TWO) RC_ASSERT(held >= minutes(15) - minutes(4));
    if (was == pb::TWO && now == pb::THREE) RC_ASSERT(held >= minutes(20) - minutes(4));
    RC_ASSERT(!(was == pb::WAITING && (now == pb::TWO || now == pb::THREE)));
    RC_ASSERT(!(was == pb::ONE && now == pb::THREE));
    held = Duration(static_cast<int64_t>(b.course("new").held_ms()));
    if (now == pb::ONE) RC_ASSERT(b.assigned.size() == 1u);
    was = now;
  }
}

void quarantine() {
  RolloutRules rules;
  pb::ServiceState state;
  state.set_current("1");
  state.set_canary("2");
  VersionRolloutObservation observation;
  observation.elapsed = Duration(500);
  for (int i = 0; i < 9; ++i) {
    observation.delta = {{"1", {500, 0}}, {"2", {20, 5}}};
    state = step("app", state, observation, rules).state;
  }
  expect(state.quarantined().empty(), "quarantined after 45 bad answers");
  state = step("app", state, observation, rules).state;
  expect(state.quarantined().count("2") && state.canary().empty(), "50 bad answers did not quarantine it");
}

void promotion() {
  RolloutRules rules;
  pb::ServiceState state;
  state.set_current("1");
  state.set_canary("2");
  VersionRolloutObservation observation;
  observation.elapsed = Duration(1000);
  observation.delta = {{"1", {90, 1}}, {"2", {10, 0}}};
  for (int i = 0; i < 59; ++i) state = step("app", state, observation, rules).state;
  same(state.current(), std::string("1"), "the version before a minute of trial");
  state = step("app", state, observation, rules).state;
  same(state.current(), std::string("2"), "the version after it");
  expect(state.previous_versions_size() == 1 && state.previous_versions(0) == "1", "the old version is kept");
  observation.delta.clear();
  observation.recent = {{"2", {10, 60}}};
  observation.instances = {{"1", 2}};
  state = step("app", state, observation, rules).state;
  same(state.current(), std::string("1"), "the version after the new one turned bad");
  expect(state.quarantined().count("2") == 1, "the bad one is in quarantine");
}

// Hundreds of releases have come and gone; the state of the rollout is no larger for it.
void history_leaves_little() {
  constexpr int kReleases = 400;
  constexpr int kKept = 65;  // ended ones, and the latest
  Bench b;
  size_t bytes_early = 0;
  for (int i = 0; i < kReleases; ++i) {
    b.record(fmt::format("past{:03}", i), R"(,"express":"a trial of many")");
    b.tick(Duration(250));
    for (int k = 0; k < 2; ++k) {  // as the conductor does: marked, and known to all a while later
      auto names = b.state.forgotten();
      b.observation.forgotten_everywhere.clear();
      for (auto& name : names) {
        auto& action = b.observation.operator_actions["release/" + name];
        if (action.forgotten()) b.observation.forgotten_everywhere.insert(name);
        action.set_forgotten(true);
      }
      b.tick(Duration(250));
    }
    expect(b.state.releases_size() <= kKept, "courses that have ended pile up");
    expect(b.state.forgotten_size() <= 2, "names of past releases pile up");
    if (i == kReleases / 2) bytes_early = b.state.ByteSizeLong();
  }
  expect(b.state.ByteSizeLong() < bytes_early + 64, "the state of the rollout grows with its history");
}

// A leader whose program does not know the mark meets a release that is in no list any more.
void withdrawn_stays_past() {
  Bench b;
  b.record("past", R"(,"express":"a trial")");
  b.tick(Duration(250));
  auto* courses = b.state.mutable_releases();  // as if it had been forgotten, and its name dropped
  courses->erase(
      std::remove_if(courses->begin(), courses->end(), [](auto& c) { return c.release() == "past"; }),
      courses->end());
  b.observation.operator_actions["release/layout/past"].set_withdrawn(
      "its course has ended and is no longer kept");
  auto generation = b.state.generation();
  b.feed(ReleaseRecorded{b.observation.releases.at("release/layout/past")});
  b.tick(Duration(250));
  for (auto& progress : b.state.releases())
    if (progress.release() == "past") expect(progress.phase() == pb::WITHDRAWN, "a past release began anew");
  expect(b.state.generation() == generation, "a past release was assigned anew");
}

// Versions come and go; a service remembers its latest forerunners, and all that still have workers.
void forerunners_are_bounded() {
  pb::ServiceState state;
  for (int i = 0; i < 1000; ++i) {
    state.add_previous_versions(fmt::format("v{}", i));
    prune_previous_versions(state, {{"v3", 2}, {"v500", 1}, {"v999", 0}});
  }
  expect(state.previous_versions_size() == 18,
         fmt::format("{} forerunners are kept", state.previous_versions_size()));
  expect(state.previous_versions(0) == "v3" && state.previous_versions(1) == "v500",
         "a version with workers was dropped");
  expect(state.previous_versions(17) == "v999", "the latest forerunner was dropped");
}

// Until its mark is known everywhere a past release is not taken for a new one.
void unmarked_stays_past() {
  Bench b;
  for (int i = 0; i < 70; ++i) {
    b.record(fmt::format("past{:03}", i), R"(,"express":"a trial of many")");
    b.tick(Duration(250));
  }
  expect(b.state.forgotten_size() > 0, "nothing was forgotten");
  auto courses = b.state.releases_size();
  for (auto& [key, release] : b.observation.releases) b.feed(ReleaseRecorded{release});
  expect(b.state.releases_size() == courses, "a past release began anew");
}
}  // namespace

std::vector<Case> rollout_cases() {
  return {
      {"rollout: one machine, one zone without it, then the rest zone by zone", ordinary},
      {"rollout: those that keep state or a leadership change one by one", keepers_one_by_one},
      {"rollout: a bad release stops in phase one", [] { bad_in(pb::ONE); }},
      {"rollout: a bad release stops in phase two", [] { bad_in(pb::TWO); }},
      {"rollout: a bad release stops in phase three", [] { bad_in(pb::THREE); }},
      {"rollout: too little evidence holds until waived", too_little_evidence},
      {"rollout: the phase-one machine lost is a failed check", lost_machine},
      {"rollout: a release that does not load is stopped", refused_load},
      {"rollout: probes and workers' beats, against the others", blind_checks},
      {"rollout: quiet hours gate the start of each phase", quiet_hours},
      {"rollout: a bad hour for all stops nothing", bad_hour_for_all},
      {"rollout: a second of a kind waits, supersedes or is withdrawn", one_after_the_other},
      {"rollout: express goes to all at once", express},
      {"rollout: past releases leave little behind", history_leaves_little},
      {"rollout: a past release does not begin anew", unmarked_stays_past},
      {"rollout: a past release is withdrawn for older leaders", withdrawn_stays_past},
      {"moves: forerunners without workers are bounded", forerunners_are_bounded},
      property("rollout: order and holds under any history", any_history),
      {"moves: fifty bad answers on trial are the end", quarantine},
      {"moves: promotion on evidence, and back when it turns bad", promotion},
  };
}

}  // namespace dunlinwing::test
