// The fault kinds of a scenario, with the names that the users' platform gives them. Each function also
// states the requirements of its kind beyond the rules.
#include <fmt/format.h>

#include "platform/day.hpp"

namespace dunlinwing::test {
std::map<std::string, FaultKind> machine_kinds();

namespace {

void config_change(PlatformScenario& y) {
  for (int i = 0; i < 7; ++i) {
    y.require(y.change(y.world.draw() % 1000000), "a configuration was not acknowledged");
    y.fleet.sleep(Duration(300 + y.below(2000)));
  }
}

// Two operators send different configurations under one number at once: one is acknowledged and the other
// gets no definite response. An older configuration is sent again at the same time.
void config_race(PlatformScenario& y) {
  for (int i = 0; i < 3; ++i) {
    auto n = y.configuration.revision + 2;
    auto a = next_configuration(y.configuration, n, 3 + 5 * y.below(80)),
         b = next_configuration(y.configuration, n, 4 + 5 * y.below(9));
    auto old = y.configuration;
    int left = 3, confirmed = 0;
    for (auto* p : {&a, &b})
      y.fleet.spawn_outside([&y, p = *p, &left, &confirmed] {
        auto what = fmt::format("configuration {} in a race", p.revision);
        confirmed += y.operator_stub.put_text(what, p, p.text(), true, Duration(2500)) == 200;
        --left;
      });
    y.fleet.spawn_outside([&y, old, &left] {
      y.require(y.operator_stub.put(old), "an older configuration sent again was not acknowledged");
      --left;
    });
    y.fleet.wait_until(Duration(25000), [&] { return left == 0; });
    y.require(confirmed == 1,
              fmt::format("{} of two configurations under one number were acknowledged", confirmed));
    y.operator_stub.read_back(Duration(100));
    y.configuration = y.journal.read_back.back().text == b.text() ? b : a;
    y.fleet.sleep(Duration(500));
  }
}

void bad_config(PlatformScenario& y) {
  auto all = invalid_texts(y.configuration, y.configuration.revision + 50);
  for (auto& [what, text] : all) {
    OperatorConfiguration configuration;
    configuration.revision = y.configuration.revision + 50;
    int st = y.operator_stub.put_text(what, configuration, text, false);
    y.require(st / 100 == 4, fmt::format("{} got status {}", what, st));
    y.clients.probe("bad.example", "/bad/x");
    y.fleet.sleep(Duration(150));
  }
  y.operator_stub.read_back(Duration(100));
  y.fleet.sleep(Duration(2500));
  y.clients.probe("bad.example", "/bad/x");
  y.require(y.change(0), "a valid configuration was not acknowledged after invalid ones");
}

std::string object(PlatformScenario& y) { return fmt::format("/obj/{:x}", y.below(40)); }

void purge(PlatformScenario& y) {
  for (int i = 0; i < 12; ++i) {
    auto o = object(y);
    y.platform_stub.change(o);
    bool tag = y.below(3) == 0;
    if (tag)  // changes every object with this tag
      for (auto& [k, t] : y.journal.tags)
        if (t == y.journal.tags[o] && k != o) y.platform_stub.change(k);
    y.require(y.operator_stub.purge("a.example", tag ? "" : o, tag ? y.journal.tags[o] : ""),
              "a purge was not acknowledged");
    y.fleet.sleep(Duration(600 + y.below(500)));
  }
}

void purge_storm(PlatformScenario& y) {
  auto end = y.world.now() + Duration(6000);
  while (y.world.now() < end) {
    y.fleet.spawn_outside([&y] {
      auto o = object(y);
      y.platform_stub.change(o);
      y.require(y.operator_stub.purge("a.example", o, ""), "a purge was not acknowledged");
    });
    y.fleet.sleep(Duration(60));
  }
  y.fleet.sleep(Duration(3000));
}

void release(PlatformScenario& y) {
  for (auto* service : {"wuno", "huvo"})
    for (auto* instance : y.platform_stub.of(service)) {
      if (y.below(2)) continue;
      y.platform_stub.add(service, "v1", Duration(2000));
      y.fleet.sleep(Duration(1000));
      y.fleet.spawn_outside([&y, instance] { y.platform_stub.drain(*instance); });
    }
  y.fleet.sleep(Duration(3500));
}

// The addresses of removed instances are reused by instances of the other service.
void replace_with_reuse(PlatformScenario& y) {
  bool drained = y.below(2);
  auto v = y.platform_stub.of("wuno");
  for (int i = 0; i < 2; ++i) {
    auto* instance = v[i];
    y.fleet.spawn_outside([&y, instance, drained] {
      drained ? y.platform_stub.drain(*instance) : y.platform_stub.crash(*instance);
      y.fleet.sleep(Duration(2000 + y.below(500)));
      y.platform_stub.add("huvo", "v1", Duration(1000), instance->address);
    });
  }
  y.fleet.sleep(Duration(9000));
}

void scale_in(PlatformScenario& y) {
  auto v = y.platform_stub.of("wuno");
  for (size_t i = 0; i < 3; ++i) y.fleet.spawn_outside([&y, s = v[i]] { y.platform_stub.drain(*s); });
  y.fleet.sleep(Duration(4000));
}

void srv_crash(PlatformScenario& y) {
  auto v = y.platform_stub.of("wuno"), u = y.platform_stub.of("huvo");
  bool dark = y.below(2);
  for (auto* instance : {v[0], u[0]}) y.platform_stub.crash(*instance, dark);
  y.fleet.sleep(Duration(5000));
  for (auto* instance : {v[0], u[0]}) {
    if (dark)
      instance->unreachable = false;
    else
      y.platform_stub.add(instance->service, "v1", Duration(2000));
  }
  y.fleet.sleep(Duration(3000));
  y.min_served_share = 0.85;
}

void srv_slow(PlatformScenario& y) {
  for (auto* n : {"wuno", "huvo"}) {
    auto v = y.platform_stub.of(n);
    for (size_t i = 0; i < v.size(); ++i)
      if (i == 0 || y.below(3) == 0) v[i]->slowdown = 4;
  }
  y.fleet.sleep(Duration(5000));
  for (auto* n : {"wuno", "huvo"})
    for (auto* instance : y.platform_stub.of(n)) instance->slowdown = 1;
  y.fleet.sleep(Duration(2000));
}

// Every instance of one service is slow, and clients ignore Retry-After.
void crowd(PlatformScenario& y) {
  y.clients.impatient = true;
  for (auto* instance : y.platform_stub.of("wuno")) instance->slowdown = 24;
  y.fleet.sleep(Duration(8000));
  for (auto* instance : y.platform_stub.of("wuno")) instance->slowdown = 1;
  y.fleet.sleep(Duration(3000));
  y.min_served_share = 0.3;
}

void misbehave(PlatformScenario& y, int StubInstance::*how, int permille) {
  y.journal.origin_trouble.push_back(y.world.now());
  for (auto* n : {"wuno", "huvo"}) {
    auto v = y.platform_stub.of(n);
    for (size_t i = 0; i < v.size(); i += 2) v[i]->*how = permille;
  }
  y.fleet.sleep(Duration(9000));
}

// The origin of the objects is rate limited, and the objects have a short cache lifetime.
void ceiling(PlatformScenario& y) {
  auto configuration = y.configuration;
  configuration.revision += 1;
  configuration.routes[0].cache_ttl_s = 0.5;
  y.require(y.operator_stub.put(configuration), "a configuration was not acknowledged");
  y.configuration = configuration;
  y.fleet.sleep(Duration(5000));
  y.kill_for(y.any(false).name, Duration(500));
  y.fleet.sleep(Duration(5000));
  y.min_served_share = 0.3;
}

void rollout(PlatformScenario& y, bool bad) {
  std::string service = y.below(2) ? "wuno" : "huvo";
  auto old = y.platform_stub.of(service);
  std::vector<StubInstance*> fresh;
  for (size_t i = 0; i < old.size(); ++i)
    fresh.push_back(&y.platform_stub.add(service, "v2", Duration(2000)));
  auto how = y.below(4);
  auto from = y.world.now() + Duration(5000);
  for (auto* instance : fresh) {
    auto& world = y.world;
    auto hit = [&world] { return world.below(2) == 0; };
    if (!bad) continue;
    if (how == 0) instance->bad = [hit](auto&) { return hit() ? 0 : 1; };
    if (how == 1) instance->bad = [hit](auto&) { return hit() ? 8 : 1; };
    if (how == 2) instance->bad = [hit, &world, from](auto&) { return world.now() > from && hit() ? 0 : 1; };
    if (how == 3)
      instance->bad = [hit](auto& t) {
        return t.starts_with("/post/") || t.starts_with("/obj/") ? hit() ? 0 : 1 : 1;
      };
  }
  y.fleet.sleep(Duration(1700));
  Duration within(12000);
  y.require(y.operator_stub.roll_out_version(service, "v2", within, bad), "a rollout was not acknowledged");
  auto& m = y.journal.version_rollouts.back();
  while (y.world.now() < m.deadline) {
    auto st = y.operator_stub.rollout_state(service);
    if (st == "completed" || st == "rolled_back") {
      m.state = st;
      m.ended = y.world.now();
      break;
    }
    y.fleet.sleep(Duration(250));
  }
  y.require(
      m.state == (bad ? "rolled_back" : "completed"),
      fmt::format("{} v2 of {} ended in state {}, defect {}", bad ? "bad" : "good", service, m.state, how));
  if (m.state == "completed")
    for (auto* instance : old) instance->alive = false;
  if (m.state == "rolled_back") {
    y.fleet.sleep(Duration(2000));
    for (auto* instance : fresh) y.fleet.spawn_outside([&y, instance] { y.platform_stub.drain(*instance); });
  }
  y.fleet.sleep(Duration(4000));
}
// Half of the acknowledgements to the operator are lost, and it sends the same requests again. The rollout
// runs alone, because a change of routes removes the traffic that a good version is judged by.
void ack_lost(PlatformScenario& y) {
  y.operator_stub.lost_permille = 500;
  int left = 2;
  for (auto* n : {"config_change", "purge"})
    y.fleet.spawn_outside([&y, n, &left] {
      fault_kinds().at(n).run(y);
      --left;
    });
  y.require(y.fleet.wait_until(Duration(40000), [&] { return left == 0; }),
            "the operator actions did not finish");
  rollout(y, false);
  y.operator_stub.lost_permille = 0;
}

// Runs an operator action, a machine fault and a backend fault at the same time.
void send_random_request(PlatformScenario& y) {
  static const char* const orders[] = {"config_change", "purge", "release", "rollout_bad", "scale_in"};
  static const char* const machines[] = {"node_kill", "herd_kill", "roll_term", "srv_crash"};
  static const char* const backends[] = {"answer_lost", "garble_cut", "garble_extra", "srv_slow"};
  int left = 3;
  for (auto* n : {orders[y.below(5)], machines[y.below(4)], backends[y.below(4)]})
    y.fleet.spawn_outside([&y, n, &left] {
      fault_kinds().at(n).run(y);
      --left;
    });
  y.require(y.fleet.wait_until(Duration(50000), [&] { return left == 0; }),
            "the mixed faults did not finish");
  y.min_served_share = 0.5;
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
         {[](PlatformScenario& y) { misbehave(y, &StubInstance::lose_permille, 30); },
          60,
          0,
          {"answer_lost"}}},
        {"garble_cut",
         {[](PlatformScenario& y) { misbehave(y, &StubInstance::cut_permille, 20); }, 60, 0, {"answer_cut"}}},
        {"garble_spoilt",
         {[](PlatformScenario& y) { misbehave(y, &StubInstance::spoil_permille, 20); },
          60,
          0,
          {"answer_spoilt"}}},
        {"garble_extra",
         {[](PlatformScenario& y) { misbehave(y, &StubInstance::extra_permille, 30); },
          60,
          0,
          {"answer_extra"}}},
        {"ack_lost", {ack_lost, 240, 0, {"ack_lost"}}},
        {"mix", {send_random_request}},
        {"rollout_good", {[](PlatformScenario& y) { rollout(y, false); }, 240}},
        {"rollout_bad", {[](PlatformScenario& y) { rollout(y, true); }, 240}}};
    m.merge(machine_kinds());
    return m;
  }();
  return all;
}

}  // namespace dunlinwing::test
