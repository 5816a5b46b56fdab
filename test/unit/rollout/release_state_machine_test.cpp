/// @file
/// The state machine of releases on simulated fleets: the order of phases, hold times and checks; and the
/// step of version rollouts without a deadline.
#include "rollout/release_state_machine.hpp"

#include "rollout/version_rollout.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
using namespace rollout;

constexpr Duration kTick{1000};

// The first assignment of a release to a node.
struct Assigned {
  Duration at;
  std::string node;
};

// A simulated fleet whose nodes run their assigned releases, and the source of the state machine's events.
struct TestFleet {
  pb::RolloutState state;
  RolloutRules rules;
  FleetObservation observation;
  std::string log;
  std::vector<Assigned> assigned;  // the first assignments of release "new", by node
  Duration clock{0};
  std::set<std::string> had_new;  // the names of the nodes in `assigned`

  explicit TestFleet(int zones = 3, int nodes_per_zone = 4) {
    for (int zone = 0; zone < zones; ++zone)
      for (int i = 0; i < nodes_per_zone; ++i) {
        NodeObservation node;
        node.zone = std::string(1, static_cast<char>('a' + zone));
        node.name = node.zone + std::to_string(i);
        node.present = true;
        node.is_stateful = i == 0;
        observation.nodes.push_back(node);
      }
    record("base");
    tick(Duration(0));
  }
  void record(const std::string& name, const std::string& more = "") {
    auto result = config::parse_release("layout", name,
                                        R"({"content":{"services":{"a":{"versions":["1"]}},
      "routes":[{"prefix":"/","service":"a"}]})" +
                                            more + "}");
    auto& release = std::get<config::Release>(result);
    observation.releases[config::release_key("layout", name)] = release;
    feed(ReleaseRecorded{release});
  }
  void feed(const Event& event) {
    auto result = step(state, event, rules);
    expect(result.state.generation() >= state.generation(), "the generation decreased");
    for (auto& [name, assignment] : result.state.nodes()) check_assignment(name, assignment);
    state = result.state;
    for (auto& effect : result.effects)
      if (const auto* line = as<LogEffect>(effect)) log += line->message + "\n";
  }
  void check_assignment(const std::string& name, const pb::NodeAssignment& assignment) {
    auto before = state.nodes().find(name);
    if (before != state.nodes().end()) {
      expect(assignment.generation() >= before->second.generation(), "a node's generation decreased");
      bool changed = assignment.releases().at("layout") != before->second.releases().at("layout");
      expect(!changed || assignment.generation() > before->second.generation(),
             "an assignment changed without a higher generation");
    }
    if (assignment.releases().count("layout") && assignment.releases().at("layout") == "new" &&
        had_new.insert(name).second)
      assigned.push_back({clock, name});
  }
  void tick(Duration elapsed) {
    clock += elapsed;
    observation.elapsed = elapsed;
    for (auto& node : observation.nodes) {
      auto found = state.nodes().find(node.name);
      if (found != state.nodes().end() && node.present && node.load_error.empty())
        node.running = {found->second.releases().begin(), found->second.releases().end()};
    }
    feed(observation);
  }
  void run(Duration length) {
    for (Duration passed{0}; passed < length; passed += kTick) tick(kTick);
  }
  const pb::ReleaseProgress& progress(const std::string& name) const {
    if (const auto* found = find_progress(state, "layout", name)) return *found;
    throw Failed("no progress of release " + name);
  }
  bool is_on_new(const std::string& node) const { return assigned_release(state, node, "layout") == "new"; }
  // Sets the requests of each node in a tick, and how many of them fail with release "new" and without it.
  void set_traffic(uint64_t requests, uint64_t failures = 0, uint64_t baseline_failures = 0) {
    for (auto& node : observation.nodes) {
      node.requests = requests;
      node.checks_passed = requests > 0;
      node.failures = is_on_new(node.name) ? failures : baseline_failures;
    }
  }
  NodeObservation& node(const std::string& name) {
    for (auto& node : observation.nodes)
      if (node.name == name) return node;
    throw Failed("no node " + name);
  }
};

using std::chrono::minutes;

// Makes heartbeats or health checks fail, on all nodes or only on those with release "new".
void fail_silently(TestFleet& fleet, bool heartbeats, bool everywhere) {
  for (auto& node : fleet.observation.nodes) {
    bool fails = everywhere || fleet.is_on_new(node.name);
    if (heartbeats) {
      node.heartbeats = fails ? 0 : 4;
    } else {
      node.checks_passed = !fails;
      node.checks_failed = fails;
    }
  }
}

// Failed health checks and missing backend heartbeats stop a release only if the other nodes are better off.
void silent_failures(bool heartbeats, bool everywhere) {
  TestFleet fleet;
  fleet.set_traffic(10);
  for (auto& node : fleet.observation.nodes) {
    node.heartbeats = 4;
    node.heartbeats_usual = 4000;
  }
  fleet.record("new");
  fleet.tick(kTick);
  for (int i = 0; i < 30; ++i) {
    fail_silently(fleet, heartbeats, everywhere);
    fleet.tick(kTick);
  }
  const auto& progress = fleet.progress("new");
  expect((progress.phase() == pb::STOPPED) == !everywhere,
         fmt::format("heartbeats {}, everywhere {}: the phase is {}", heartbeats, everywhere,
                     pb::Phase_Name(progress.phase())));
  if (!everywhere)
    expect(progress.reason().find(heartbeats ? "check worker-beats" : "check probes") == 0,
           progress.reason());
}

void compared_checks() {
  for (bool heartbeats : {true, false})
    for (bool everywhere : {true, false}) silent_failures(heartbeats, everywhere);
}

void ordinary() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new");
  fleet.run(minutes(200));
  expect(fleet.progress("new").phase() == pb::DONE,
         "the release did not finish: " + fleet.progress("new").reason());
  same(fleet.assigned.size(), size_t(12), "nodes with the release");
  auto home = fleet.node(fleet.assigned[0].node).zone;
  expect(!fleet.node(fleet.assigned[0].node).is_stateful, "the phase-one node is stateful");
  expect(fleet.assigned[1].at - fleet.assigned[0].at >= minutes(15), "phase one was shorter than 15 minutes");
  auto zone = fleet.node(fleet.assigned[1].node).zone;
  expect(zone != home, "phase two is in the zone of the phase-one node");
  Duration last{0};
  for (size_t i = 1; i <= 4; ++i) {
    same(fleet.node(fleet.assigned[i].node).zone, zone, "the zone of phase two");
    last = fleet.assigned[i].at;
  }
  expect(fleet.assigned[5].at - last >= minutes(20), "phase two was shorter than 20 minutes");
  std::set<std::string> rest;
  for (size_t i = 5; i < 12; ++i) rest.insert(fleet.node(fleet.assigned[i].node).zone);
  same(fleet.node(fleet.assigned.back().node).zone, home, "the last zone");
  same(rest.size(), size_t(2), "zones of phase three");
}

void stateful_one_by_one() {
  TestFleet fleet(3, 4);
  for (auto& node : fleet.observation.nodes) node.is_stateful = node.name.back() < '2';
  fleet.set_traffic(10);
  fleet.record("new");
  fleet.run(minutes(200));
  std::map<Duration, int> changed_at;
  for (auto& [at, name] : fleet.assigned)
    if (fleet.node(name).is_stateful) same(++changed_at[at], 1, "stateful nodes changed at the same time");
  expect(fleet.progress("new").phase() == pb::DONE, "the release did not finish");
}

// In each phase, a release whose requests fail is stopped and assigned to no more nodes.
void bad_in(pb::Phase phase) {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new");
  for (int i = 0; i < 20000 && fleet.progress("new").phase() != phase; ++i) fleet.tick(kTick);
  expect(fleet.progress("new").phase() == phase, "the phase was not reached");
  auto assigned_before = fleet.assigned.size();
  auto generation = fleet.state.generation();
  fleet.set_traffic(10, 3, 0);
  fleet.run(minutes(5));
  expect(fleet.progress("new").phase() == pb::STOPPED, "a bad release was not stopped");
  expect(fleet.progress("new").reason().find("check defects") == 0, fleet.progress("new").reason());
  expect(fleet.state.generation() > generation, "the rollback has no higher generation");
  expect(fleet.assigned.size() <= assigned_before + 4, "a bad release was assigned to more nodes");
  for (auto& [name, assignment] : fleet.state.nodes())
    same(assignment.releases().at("layout"), std::string("base"), name + " after the stop");
  fleet.set_traffic(10);
  fleet.run(minutes(100));
  expect(fleet.progress("new").phase() == pb::STOPPED, "a stopped release was restarted");
}

void too_little_evidence() {
  TestFleet fleet;
  fleet.set_traffic(0);
  fleet.record("new");
  fleet.run(minutes(300));
  expect(fleet.progress("new").phase() == pb::ONE, "the release left phase one without evidence");
  expect(fleet.progress("new").reason().find("too little evidence") == 0, fleet.progress("new").reason());
  (*fleet.observation.operator_actions["release/layout/new"].mutable_waived())["evidence"] = "a quiet night";
  fleet.run(minutes(200));
  expect(fleet.progress("new").phase() == pb::DONE, "a waived check still blocked the release");
}

void lost_machine() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new");
  fleet.run(minutes(5));
  fleet.node(fleet.assigned[0].node).present = false;
  fleet.tick(Duration(1000));
  expect(fleet.progress("new").phase() == pb::STOPPED, "the loss of the phase-one node was not detected");
}

void refused_load() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new");
  fleet.tick(Duration(1000));
  fleet.node(fleet.assigned[0].node).load_error = "layout/new: unreadable";
  fleet.tick(Duration(1000));
  expect(fleet.progress("new").phase() == pb::STOPPED, "a release that does not load was not stopped");
}

void quiet_hours() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.observation.in_quiet_hours = false;
  fleet.record("new");
  fleet.run(minutes(60));
  expect(fleet.progress("new").phase() == pb::WAITING, "the release started outside the quiet hours");
  fleet.observation.in_quiet_hours = true;
  fleet.tick(Duration(1000));
  fleet.observation.in_quiet_hours = false;
  fleet.run(minutes(60));
  expect(fleet.progress("new").phase() == pb::ONE, "phase two started outside the quiet hours");
  same(fleet.assigned.size(), size_t(1), "nodes with the release");
}

void fleet_wide_failures() {
  TestFleet fleet;
  fleet.set_traffic(10, 3, 3);
  fleet.record("new");
  fleet.run(minutes(200));
  expect(fleet.progress("new").phase() == pb::DONE,
         "failures on all nodes stopped a release: " + fleet.progress("new").reason());
}

void second_release_of_kind() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new");
  fleet.record("next");
  fleet.run(minutes(10));
  expect(fleet.progress("next").phase() == pb::WAITING, "two releases of a kind are active");
  fleet.record("urgent", R"(,"supersedes":"new")");
  fleet.tick(Duration(1000));
  fleet.tick(Duration(1000));
  expect(fleet.progress("new").phase() == pb::WITHDRAWN, "the release was not superseded");
  expect(fleet.progress("urgent").phase() == pb::ONE, "the superseding release did not start");
  fleet.observation.operator_actions["release/layout/next"].set_withdrawn("no need");
  fleet.tick(Duration(1000));
  expect(fleet.progress("next").phase() == pb::WITHDRAWN, "a waiting release was not withdrawn");
}

void express() {
  TestFleet fleet;
  fleet.set_traffic(10);
  fleet.record("new", R"(,"express":"an origin is on fire")");
  fleet.tick(Duration(1000));
  same(fleet.assigned.size(), size_t(12), "nodes with the release at once");
}

// Under any sequence of events, including changes of leadership, phases occur in order, no hold time is
// shortened, and a finished release stays finished.
struct History {
  TestFleet fleet;
  pb::Phase phase = pb::WAITING;
  Duration held{0};
  uint64_t term = 0;

  // One tick; the random number selects the other events of the tick.
  void step(int number) {
    fleet.set_traffic(static_cast<uint64_t>(number % 7), number > 95 ? 3 : 0, 0);
    if (number % 11 == 0) {
      auto& nodes = fleet.observation.nodes;
      auto& node = nodes[static_cast<size_t>(number) % nodes.size()];
      node.present = !node.present;
    }
    if (number % 13 == 0) fleet.feed(LeadershipAcquired{++term});
    fleet.observation.in_quiet_hours = number % 5 != 0;
    fleet.tick(minutes(number % 4));
    check(fleet.progress("new").phase());
  }
  void check(pb::Phase next) {
    if (is_finished(phase)) RC_ASSERT(next == phase);
    if (phase == pb::ONE && next == pb::TWO) RC_ASSERT(held >= minutes(15) - minutes(4));
    if (phase == pb::TWO && next == pb::THREE) RC_ASSERT(held >= minutes(20) - minutes(4));
    RC_ASSERT(!(phase == pb::WAITING && (next == pb::TWO || next == pb::THREE)));
    RC_ASSERT(!(phase == pb::ONE && next == pb::THREE));
    held = Duration(static_cast<int64_t>(fleet.progress("new").held_ms()));
    if (next == pb::ONE) RC_ASSERT(fleet.assigned.size() == 1u);
    phase = next;
  }
};

void any_history() {
  int zones = *rc::gen::inRange(2, 5);
  int nodes_per_zone = *rc::gen::inRange(1, 5);
  History history{TestFleet(zones, nodes_per_zone)};
  history.fleet.record("new");
  auto numbers = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 100));
  for (int number : numbers) history.step(number);
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
  same(state.current(), std::string("1"), "the version in place before one minute of the canary");
  state = step("app", state, observation, rules).state;
  same(state.current(), std::string("2"), "the version in place after one minute of the canary");
  expect(state.previous_versions_size() == 1 && state.previous_versions(0) == "1",
         "the old version is not among the previous ones");
  observation.delta.clear();
  observation.recent = {{"2", {10, 60}}};
  observation.instances = {{"1", 2}};
  state = step("app", state, observation, rules).state;
  same(state.current(), std::string("1"), "the version in place after the new one turned bad");
  expect(state.quarantined().count("2") == 1, "the bad version is not in quarantine");
}

// The rollout state stays bounded after hundreds of finished releases.
void state_stays_bounded() {
  constexpr int kReleases = 400;
  constexpr int kRemembered = 65;  // 64 finished releases, and the latest one
  TestFleet fleet;
  size_t bytes_early = 0;
  for (int i = 0; i < kReleases; ++i) {
    fleet.record(fmt::format("past{:03}", i), R"(,"express":"a trial of many")");
    fleet.tick(Duration(250));
    for (int j = 0; j < 2; ++j) {  // like the controller: sets the marker, later reports it as known
      auto names = fleet.state.forgotten();
      fleet.observation.removable_forgotten.clear();
      for (auto& name : names) {
        auto& action = fleet.observation.operator_actions["release/" + name];
        if (action.forgotten()) fleet.observation.removable_forgotten.insert(name);
        action.set_forgotten(true);
      }
      fleet.tick(Duration(250));
    }
    expect(fleet.state.releases_size() <= kRemembered, "finished releases accumulate");
    expect(fleet.state.forgotten_size() <= 2, "names of forgotten releases accumulate");
    if (i == kReleases / 2) bytes_early = fleet.state.ByteSizeLong();
  }
  expect(fleet.state.ByteSizeLong() < bytes_early + 64,
         "the rollout state grows with the number of past releases");
}

// A leader with older software, which ignores the marker, does not restart a release that is in no list.
void withdrawn_stays_past() {
  TestFleet fleet;
  fleet.record("past", R"(,"express":"a trial")");
  fleet.tick(Duration(250));
  auto* releases = fleet.state.mutable_releases();  // as if its progress and its name had been deleted
  releases->erase(std::remove_if(releases->begin(), releases->end(),
                                 [](auto& progress) { return progress.release() == "past"; }),
                  releases->end());
  fleet.observation.operator_actions["release/layout/past"].set_withdrawn(
      "its course has ended and is no longer kept");
  auto generation = fleet.state.generation();
  fleet.feed(ReleaseRecorded{fleet.observation.releases.at("release/layout/past")});
  fleet.tick(Duration(250));
  for (auto& progress : fleet.state.releases())
    if (progress.release() == "past")
      expect(progress.phase() == pb::WITHDRAWN, "a past release was restarted");
  expect(fleet.state.generation() == generation, "a past release was assigned again");
}

// A service keeps only its latest previous versions, and all that have backend instances.
void previous_versions_are_bounded() {
  pb::ServiceState state;
  for (int i = 0; i < 1000; ++i) {
    state.add_previous_versions(fmt::format("v{}", i));
    prune_previous_versions(state, {{"v3", 2}, {"v500", 1}, {"v999", 0}});
  }
  expect(state.previous_versions_size() == 18,
         fmt::format("{} previous versions are kept", state.previous_versions_size()));
  expect(state.previous_versions(0) == "v3" && state.previous_versions(1) == "v500",
         "a version with backend instances was dropped");
  expect(state.previous_versions(17) == "v999", "the latest previous version was dropped");
}

// A past release is not treated as a new one while its marker is not known to all leaders yet.
void unmarked_stays_past() {
  TestFleet fleet;
  for (int i = 0; i < 70; ++i) {
    fleet.record(fmt::format("past{:03}", i), R"(,"express":"a trial of many")");
    fleet.tick(Duration(250));
  }
  expect(fleet.state.forgotten_size() > 0, "nothing was forgotten");
  auto known = fleet.state.releases_size();
  for (auto& [key, release] : fleet.observation.releases) fleet.feed(ReleaseRecorded{release});
  expect(fleet.state.releases_size() == known, "a past release was restarted");
}
}  // namespace

std::vector<Case> rollout_cases() {
  return {
      {"rollout: one node, then another zone, then the remaining zones one by one", ordinary},
      {"rollout: stateful nodes change one by one", stateful_one_by_one},
      {"rollout: a bad release stops in phase one", [] { bad_in(pb::ONE); }},
      {"rollout: a bad release stops in phase two", [] { bad_in(pb::TWO); }},
      {"rollout: a bad release stops in phase three", [] { bad_in(pb::THREE); }},
      {"rollout: too little evidence blocks a release until waived", too_little_evidence},
      {"rollout: the loss of the phase-one node is a failed check", lost_machine},
      {"rollout: a release that does not load is stopped", refused_load},
      {"rollout: health checks and backend heartbeats are compared with those of other nodes",
       compared_checks},
      {"rollout: quiet hours gate the start of each phase", quiet_hours},
      {"rollout: failures on all nodes stop no release", fleet_wide_failures},
      {"rollout: a second release of a kind waits, supersedes or is withdrawn", second_release_of_kind},
      {"rollout: an express release is assigned to all nodes at once", express},
      {"rollout: the state stays bounded after many releases", state_stays_bounded},
      {"rollout: a past release is not restarted", unmarked_stays_past},
      {"rollout: a past release is withdrawn for older leaders", withdrawn_stays_past},
      {"moves: previous versions without backend instances are bounded", previous_versions_are_bounded},
      property("rollout: order and holds under any history", any_history),
      {"moves: fifty bad responses put a canary into quarantine", quarantine},
      {"moves: promotion on evidence, and return to the previous version when it turns bad", promotion},
  };
}

}  // namespace dunlinwing::test
