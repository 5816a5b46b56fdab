// Faults of machines, clocks and links, and the final faults of a scenario.
#include <fmt/format.h>

#include "platform/day.hpp"

namespace dunlinwing::test {
namespace {

void node_kill(PlatformScenario& y) {
  for (int i = 0; i < 3; ++i) {
    y.kill_for(y.any(i == 1).name, Duration(200 + y.below(2500)));
    y.fleet.sleep(Duration(3500));
  }
  y.min_served_share = 0.85;
}

void herd_kill(PlatformScenario& y) {
  std::vector<std::string> names;
  for (auto& host : y.fleet.hosts())
    if (y.below(10) < 6) names.push_back(host->name);
  for (auto& n : names) y.kill_for(n, Duration(300 + y.below(700)));
  y.fleet.sleep(Duration(8000));
  y.min_served_share = 0.6;
}

// Kills the machine that acknowledged a change within four milliseconds.
void after_ack(PlatformScenario& y, bool wipe) {
  for (int i = 0; i < 3; ++i) {
    auto old = y.configuration;
    y.configuration = next_configuration(old, old.revision + 1, 5 * y.below(100));
    bool ok = y.operator_stub.put(y.configuration);
    y.fleet.sleep(Duration(y.below(4)));
    auto by = y.operator_stub.last_by;
    y.journal.unplanned = true;
    y.note_machine_fault(by);
    y.fleet.kill(by);
    if (wipe) y.fleet.wipe(by);
    y.require(ok, "a configuration was not acknowledged");
    y.fleet.sleep(Duration(500 + y.below(1500)));
    y.note_machine_fault(by);
    y.fleet.start(by);
    y.fleet.sleep(Duration(5000));
    if (ok) y.clients.use_configuration(y.configuration);
  }
  y.min_served_share = 0.85;
}

void core_cut(PlatformScenario& y) {
  y.journal.unplanned = true;
  auto one = y.any(true).name;
  bool one_way = y.below(2);
  for (auto& host : y.fleet.hosts())
    if (host->has_disk && host->name != one) {
      y.world.partition(one, host->name);
      if (!one_way) y.world.partition(host->name, one);
    }
  y.fleet.sleep(Duration(1000));
  y.change(5 * y.below(100));
  y.fleet.sleep(Duration(4000));
  y.world.heal_all();
  y.fleet.sleep(Duration(4000));
  y.min_served_share = 0.8;
}

void node_cut(PlatformScenario& y) {
  y.journal.unplanned = true;
  auto one = y.any(false).name;
  for (auto& host : y.fleet.hosts())
    if (host->has_disk) y.world.partition(one, host->name), y.world.partition(host->name, one);
  y.fleet.sleep(Duration(1000));
  y.change(5 * y.below(100));
  y.fleet.sleep(Duration(4000));
  y.world.heal_all();
  y.fleet.sleep(Duration(4000));
  y.min_served_share = 0.85;
}

void node_freeze(PlatformScenario& y) {
  y.journal.unplanned = true;
  for (bool core : {false, true}) {
    auto& host = y.any(core);
    y.world.freeze(host.name, y.world.now() + Duration(1500 + y.below(3500)));
    y.fleet.sleep(Duration(500));
    y.change(y.world.draw() % 100000);
    y.fleet.sleep(Duration(6500));
  }
  y.min_served_share = 0.8;
}

void clock_step(PlatformScenario& y) {
  std::vector<simulation::Host*> who;
  for (auto& h : y.fleet.hosts())
    if (y.below(10) < 3) who.push_back(h.get());
  int64_t by = y.below(2) ? 2000 : -2000;
  for (int sign : {1, -1}) {
    for (auto* host : who) {
      host->wall_offset_ms += sign * by;
      y.note_machine_fault(host->name);
      if (host->has_disk) y.note_core_fault();
    }
    y.change(y.world.draw() % 100000);
    y.fleet.sleep(Duration(4500));
  }
}

void roll_term(PlatformScenario& y) {
  for (auto& host : y.fleet.hosts()) {
    if (host->up() && (host->has_disk || y.below(3) == 0)) {
      y.terminate(host->name);
      y.fleet.sleep(Duration(1000));
    }
  }
}

void seed_change(PlatformScenario& y) {
  for (auto& host : y.fleet.hosts()) host->node->set_seeds({"http:e1", "http:h3", "http:e2"});
  y.fleet.sleep(Duration(1000));
  y.change(0);
  y.kill_for(y.any(false).name, Duration(300));
  y.fleet.sleep(Duration(5000));
}

// Kills all machines and sends a rollout while they start.
void order_at_start(PlatformScenario& y) {
  y.journal.unplanned = true;
  for (int i = 0; i < 4; ++i) y.platform_stub.add("huvo", "v2");
  y.fleet.sleep(Duration(2000));
  for (auto& host : y.fleet.hosts()) y.fleet.kill(host->name);
  y.fleet.sleep(Duration(300));
  y.fleet.start_all();
  y.fleet.sleep(Duration(y.below(400)));
  y.require(y.operator_stub.roll_out_version("huvo", "v2", Duration(12000), false),
            "relays that had just started did not acknowledge a rollout");
  y.fleet.sleep(Duration(2000));
  std::string version;
  auto st = y.operator_stub.rollout_state("huvo", &version);
  y.require(!st.empty() && version == "v2", fmt::format("the rollout is read back as {} {}", version, st));
  y.min_served_share = 0.5;
}

// Injects a fleet-wide fault right after one more change was acknowledged.
void closing(PlatformScenario& y, int how) {
  for (int i = 0; i < 4; ++i) y.platform_stub.add("huvo", "v2");
  y.fleet.sleep(Duration(2000));
  y.require(y.operator_stub.roll_out_version("huvo", "v2", Duration(12000), false),
            "a rollout was not acknowledged");
  auto old = y.configuration;
  y.configuration = next_configuration(old, old.revision + 2, 5 * y.below(100));
  y.require(y.operator_stub.put(y.configuration), "the last configuration was not acknowledged");
  y.journal.unplanned = true;
  y.journal.closed = y.world.now();
  y.fleet.sleep(Duration(y.below(4)));
  std::string one = fmt::format("h{}", 1 + y.below(3));
  for (auto& host : y.fleet.hosts())
    if (how != 2 || host->name == one || y.below(2)) y.fleet.kill(host->name);
  if (how == 2) y.fleet.wipe(one);
  y.fleet.sleep(Duration(how == 0 ? 500 : 3000));
  y.fleet.start_all();
  y.journal.back = y.world.now();
  y.fleet.sleep(Duration(15000));
  auto wanted = y.clients.wanted, served = y.clients.served;
  y.fleet.sleep(Duration(4000));
  std::string version;
  auto st = y.operator_stub.rollout_state("huvo", &version);
  y.require(!st.empty() && version == "v2",
            fmt::format("LOST: the rollout is read back as {} {} after the final fault", version, st));
  y.require((y.clients.served - served) * 4 >= (y.clients.wanted - wanted),
            "less than a quarter of the requests are served 15 s after all machines restarted");
  y.min_served_share = 0.3;
}
}  // namespace

std::map<std::string, FaultKind> machine_kinds() {
  return {{"node_kill", {node_kill}},
          {"herd_kill", {herd_kill}},
          {"after_ack_kill", {[](PlatformScenario& y) { after_ack(y, false); }}},
          {"after_ack_wipe", {[](PlatformScenario& y) { after_ack(y, true); }}},
          {"core_cut", {core_cut}},
          {"node_cut", {node_cut}},
          {"node_freeze", {node_freeze}},
          {"clock_step", {clock_step}},
          {"order_at_start", {order_at_start}},
          {"roll_term", {roll_term}},
          {"seed_change", {seed_change}},
          {"kill_all", {[](PlatformScenario& y) { closing(y, 0); }}},
          {"power_off_all", {[](PlatformScenario& y) { closing(y, 1); }}},
          {"wipe_after_ack", {[](PlatformScenario& y) { closing(y, 2); }}}};
}

}  // namespace dunlinwing::test
