// The fault kinds of a scenario, with the names that the users' platform gives them. Each function also
// states the requirements of its kind beyond the rules.
#include <fmt/format.h>

#include "platform/platform_scenario.hpp"

namespace dunlinwing::test {
std::map<std::string, FaultKind> machine_kinds();

namespace {

void config_change(PlatformScenario& scenario) {
  for (int i = 0; i < 7; ++i) {
    scenario.require(scenario.send_next_configuration(scenario.world.draw() % 1000000),
                     "a configuration was not acknowledged");
    scenario.fleet.sleep(Duration(300 + scenario.below(2000)));
  }
}

// Two operators send different configurations under one number at once: one is acknowledged and the other
// gets no definite response. An older configuration is sent again at the same time.
void config_race(PlatformScenario& scenario) {
  for (int i = 0; i < 3; ++i) {
    auto n = scenario.configuration.revision + 2;
    auto a = next_configuration(scenario.configuration, n, 3 + 5 * scenario.below(80)),
         b = next_configuration(scenario.configuration, n, 4 + 5 * scenario.below(9));
    auto old = scenario.configuration;
    int left = 3, confirmed = 0;
    for (auto* p : {&a, &b})
      scenario.fleet.spawn_outside([&scenario, p = *p, &left, &confirmed] {
        auto what = fmt::format("configuration {} in a race", p.revision);
        confirmed += scenario.operator_stub.put_text(what, p, p.text(), true, Duration(2500)) == 200;
        --left;
      });
    scenario.fleet.spawn_outside([&scenario, old, &left] {
      scenario.require(scenario.operator_stub.put(old),
                       "an older configuration sent again was not acknowledged");
      --left;
    });
    scenario.fleet.wait_until(Duration(25000), [&] { return left == 0; });
    scenario.require(confirmed == 1,
                     fmt::format("{} of two configurations under one number were acknowledged", confirmed));
    scenario.operator_stub.read_back(Duration(100));
    scenario.configuration = scenario.journal.read_back.back().text == b.text() ? b : a;
    scenario.fleet.sleep(Duration(500));
  }
}

void bad_config(PlatformScenario& scenario) {
  auto all = invalid_texts(scenario.configuration, scenario.configuration.revision + 50);
  for (auto& [what, text] : all) {
    OperatorConfiguration configuration;
    configuration.revision = scenario.configuration.revision + 50;
    int st = scenario.operator_stub.put_text(what, configuration, text, false);
    scenario.require(st / 100 == 4, fmt::format("{} got status {}", what, st));
    scenario.clients.probe("bad.example", "/bad/x");
    scenario.fleet.sleep(Duration(150));
  }
  scenario.operator_stub.read_back(Duration(100));
  scenario.fleet.sleep(Duration(2500));
  scenario.clients.probe("bad.example", "/bad/x");
  scenario.require(scenario.send_next_configuration(0),
                   "a valid configuration was not acknowledged after invalid ones");
}

std::string object(PlatformScenario& scenario) { return fmt::format("/obj/{:x}", scenario.below(40)); }

void purge(PlatformScenario& scenario) {
  for (int i = 0; i < 12; ++i) {
    auto o = object(scenario);
    scenario.platform_stub.replace_object(o);
    bool tag = scenario.below(3) == 0;
    if (tag)  // changes every object with this tag
      for (auto& [k, t] : scenario.journal.tags)
        if (t == scenario.journal.tags[o] && k != o) scenario.platform_stub.replace_object(k);
    scenario.require(
        scenario.operator_stub.purge("a.example", tag ? "" : o, tag ? scenario.journal.tags[o] : ""),
        "a purge was not acknowledged");
    scenario.fleet.sleep(Duration(600 + scenario.below(500)));
  }
}

void purge_storm(PlatformScenario& scenario) {
  auto end = scenario.world.now() + Duration(6000);
  while (scenario.world.now() < end) {
    scenario.fleet.spawn_outside([&scenario] {
      auto o = object(scenario);
      scenario.platform_stub.replace_object(o);
      scenario.require(scenario.operator_stub.purge("a.example", o, ""), "a purge was not acknowledged");
    });
    scenario.fleet.sleep(Duration(60));
  }
  scenario.fleet.sleep(Duration(3000));
}

void release(PlatformScenario& scenario) {
  for (auto* service : {"wuno", "huvo"})
    for (auto* instance : scenario.platform_stub.instances_of(service)) {
      if (scenario.below(2)) continue;
      scenario.platform_stub.add(service, "v1", Duration(2000));
      scenario.fleet.sleep(Duration(1000));
      scenario.fleet.spawn_outside([&scenario, instance] { scenario.platform_stub.drain(*instance); });
    }
  scenario.fleet.sleep(Duration(3500));
}

// The addresses of removed instances are reused by instances of the other service.
void replace_with_reuse(PlatformScenario& scenario) {
  bool drained = scenario.below(2);
  auto v = scenario.platform_stub.instances_of("wuno");
  for (int i = 0; i < 2; ++i) {
    auto* instance = v[i];
    scenario.fleet.spawn_outside([&scenario, instance, drained] {
      drained ? scenario.platform_stub.drain(*instance) : scenario.platform_stub.crash(*instance);
      scenario.fleet.sleep(Duration(2000 + scenario.below(500)));
      scenario.platform_stub.add("huvo", "v1", Duration(1000), instance->address);
    });
  }
  scenario.fleet.sleep(Duration(9000));
}

void scale_in(PlatformScenario& scenario) {
  auto v = scenario.platform_stub.instances_of("wuno");
  for (size_t i = 0; i < 3; ++i)
    scenario.fleet.spawn_outside([&scenario, s = v[i]] { scenario.platform_stub.drain(*s); });
  scenario.fleet.sleep(Duration(4000));
}

void srv_crash(PlatformScenario& scenario) {
  auto v = scenario.platform_stub.instances_of("wuno"), u = scenario.platform_stub.instances_of("huvo");
  bool dark = scenario.below(2);
  for (auto* instance : {v[0], u[0]}) scenario.platform_stub.crash(*instance, dark);
  scenario.fleet.sleep(Duration(5000));
  for (auto* instance : {v[0], u[0]}) {
    if (dark)
      instance->unreachable = false;
    else
      scenario.platform_stub.add(instance->service, "v1", Duration(2000));
  }
  scenario.fleet.sleep(Duration(3000));
  scenario.min_served_share = 0.85;
}

void srv_slow(PlatformScenario& scenario) {
  for (auto* n : {"wuno", "huvo"}) {
    auto v = scenario.platform_stub.instances_of(n);
    for (size_t i = 0; i < v.size(); ++i)
      if (i == 0 || scenario.below(3) == 0) v[i]->slowdown = 4;
  }
  scenario.fleet.sleep(Duration(5000));
  for (auto* n : {"wuno", "huvo"})
    for (auto* instance : scenario.platform_stub.instances_of(n)) instance->slowdown = 1;
  scenario.fleet.sleep(Duration(2000));
}

// Every instance of one service is slow, and clients ignore Retry-After.
void crowd(PlatformScenario& scenario) {
  scenario.clients.impatient = true;
  for (auto* instance : scenario.platform_stub.instances_of("wuno")) instance->slowdown = 24;
  scenario.fleet.sleep(Duration(8000));
  for (auto* instance : scenario.platform_stub.instances_of("wuno")) instance->slowdown = 1;
  scenario.fleet.sleep(Duration(3000));
  scenario.min_served_share = 0.3;
}

void misbehave(PlatformScenario& scenario, int StubInstance::*how, int permille) {
  scenario.journal.origin_faults.push_back(scenario.world.now());
  for (auto* n : {"wuno", "huvo"}) {
    auto v = scenario.platform_stub.instances_of(n);
    for (size_t i = 0; i < v.size(); i += 2) v[i]->*how = permille;
  }
  scenario.fleet.sleep(Duration(9000));
}

// The origin of the objects is rate limited, and the objects have a short cache lifetime.
void ceiling(PlatformScenario& scenario) {
  auto configuration = scenario.configuration;
  configuration.revision += 1;
  configuration.routes[0].cache_ttl_s = 0.5;
  scenario.require(scenario.operator_stub.put(configuration), "a configuration was not acknowledged");
  scenario.configuration = configuration;
  scenario.fleet.sleep(Duration(5000));
  scenario.kill_for(scenario.running_host(false).name, Duration(500));
  scenario.fleet.sleep(Duration(5000));
  scenario.min_served_share = 0.3;
}

void rollout(PlatformScenario& scenario, bool bad) {
  std::string service = scenario.below(2) ? "wuno" : "huvo";
  auto old = scenario.platform_stub.instances_of(service);
  std::vector<StubInstance*> fresh;
  for (size_t i = 0; i < old.size(); ++i)
    fresh.push_back(&scenario.platform_stub.add(service, "v2", Duration(2000)));
  auto how = scenario.below(4);
  auto from = scenario.world.now() + Duration(5000);
  for (auto* instance : fresh) {
    auto& world = scenario.world;
    auto hit = [&world] { return world.below(2) == 0; };
    if (!bad) continue;
    if (how == 0) instance->work_factor = [hit](auto&) { return hit() ? 0 : 1; };
    if (how == 1) instance->work_factor = [hit](auto&) { return hit() ? 8 : 1; };
    if (how == 2)
      instance->work_factor = [hit, &world, from](auto&) { return world.now() > from && hit() ? 0 : 1; };
    if (how == 3)
      instance->work_factor = [hit](auto& t) {
        return t.starts_with("/post/") || t.starts_with("/obj/") ? hit() ? 0 : 1 : 1;
      };
  }
  scenario.fleet.sleep(Duration(1700));
  Duration within(12000);
  scenario.require(scenario.operator_stub.roll_out_version(service, "v2", within, bad),
                   "a rollout was not acknowledged");
  auto& m = scenario.journal.version_rollouts.back();
  while (scenario.world.now() < m.deadline) {
    auto st = scenario.operator_stub.rollout_state(service);
    if (st == "completed" || st == "rolled_back") {
      m.state = st;
      m.ended = scenario.world.now();
      break;
    }
    scenario.fleet.sleep(Duration(250));
  }
  scenario.require(
      m.state == (bad ? "rolled_back" : "completed"),
      fmt::format("{} v2 of {} ended in state {}, defect {}", bad ? "bad" : "good", service, m.state, how));
  if (m.state == "completed")
    for (auto* instance : old) instance->alive = false;
  if (m.state == "rolled_back") {
    scenario.fleet.sleep(Duration(2000));
    for (auto* instance : fresh)
      scenario.fleet.spawn_outside([&scenario, instance] { scenario.platform_stub.drain(*instance); });
  }
  scenario.fleet.sleep(Duration(4000));
}
// Half of the acknowledgements to the operator are lost, and it sends the same requests again. The rollout
// runs alone, because a change of routes removes the traffic that a good version is judged by.
void ack_lost(PlatformScenario& scenario) {
  scenario.operator_stub.lost_permille = 500;
  int left = 2;
  for (auto* n : {"config_change", "purge"})
    scenario.fleet.spawn_outside([&scenario, n, &left] {
      fault_kinds().at(n).run(scenario);
      --left;
    });
  scenario.require(scenario.fleet.wait_until(Duration(40000), [&] { return left == 0; }),
                   "the operator actions did not finish");
  rollout(scenario, false);
  scenario.operator_stub.lost_permille = 0;
}

// Runs an operator action, a machine fault and a backend fault at the same time.
void mix(PlatformScenario& scenario) {
  static const char* const orders[] = {"config_change", "purge", "release", "rollout_bad", "scale_in"};
  static const char* const machines[] = {"node_kill", "herd_kill", "roll_term", "srv_crash"};
  static const char* const backends[] = {"answer_lost", "garble_cut", "garble_extra", "srv_slow"};
  int left = 3;
  for (auto* n : {orders[scenario.below(5)], machines[scenario.below(4)], backends[scenario.below(4)]})
    scenario.fleet.spawn_outside([&scenario, n, &left] {
      fault_kinds().at(n).run(scenario);
      --left;
    });
  scenario.require(scenario.fleet.wait_until(Duration(50000), [&] { return left == 0; }),
                   "the mixed faults did not finish");
  scenario.min_served_share = 0.5;
}
}  // namespace

const std::map<std::string, FaultKind>& fault_kinds() {
  static const auto all = [] {
    std::map<std::string, FaultKind> m{
        {"config_change", {config_change}},
        {"config_race", {config_race}},
        {"bad_config", {bad_config}},
        {"purge", {purge}},
        {"purge_storm", {purge_storm}},
        {"release", {release}},
        {"replace_with_reuse", {replace_with_reuse, 200}},
        {"scale_in", {scale_in}},
        {"srv_crash", {srv_crash}},
        {"srv_slow", {srv_slow, 120}},
        {"crowd", {crowd, 200, 0, {"not_run_503", "reset_when_full"}}},
        {"ceiling", {ceiling, 90, 20}},
        {"answer_lost",
         {[](PlatformScenario& scenario) { misbehave(scenario, &StubInstance::lose_permille, 30); },
          60,
          0,
          {"answer_lost"}}},
        {"garble_cut",
         {[](PlatformScenario& scenario) { misbehave(scenario, &StubInstance::cut_permille, 20); },
          60,
          0,
          {"answer_cut"}}},
        {"garble_spoilt",
         {[](PlatformScenario& scenario) { misbehave(scenario, &StubInstance::spoil_permille, 20); },
          60,
          0,
          {"answer_spoilt"}}},
        {"garble_extra",
         {[](PlatformScenario& scenario) { misbehave(scenario, &StubInstance::extra_permille, 30); },
          60,
          0,
          {"answer_extra"}}},
        {"ack_lost", {ack_lost, 240, 0, {"ack_lost"}}},
        {"mix", {mix}},
        {"rollout_good", {[](PlatformScenario& scenario) { rollout(scenario, false); }, 240}},
        {"rollout_bad", {[](PlatformScenario& scenario) { rollout(scenario, true); }, 240}}};
    m.merge(machine_kinds());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
