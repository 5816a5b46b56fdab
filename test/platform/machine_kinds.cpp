// Faults of machines, clocks and links, and the final faults of a scenario.
#include <fmt/format.h>

#include "platform/platform_scenario.hpp"

namespace dunlinwing::test {
namespace {

void node_kill(PlatformScenario& scenario) {
  for (int i = 0; i < 3; ++i) {
    scenario.kill_for(scenario.running_host(i == 1).name, Duration(200 + scenario.below(2500)));
    scenario.fleet.sleep(Duration(3500));
  }
  scenario.min_served_share = 0.85;
}

void herd_kill(PlatformScenario& scenario) {
  std::vector<std::string> names;
  for (auto& host : scenario.fleet.hosts())
    if (scenario.below(10) < 6) names.push_back(host->name);
  for (auto& n : names) scenario.kill_for(n, Duration(300 + scenario.below(700)));
  scenario.fleet.sleep(Duration(8000));
  scenario.min_served_share = 0.6;
}

// Kills the machine that acknowledged a change within four milliseconds.
void after_ack(PlatformScenario& scenario, bool wipe) {
  for (int i = 0; i < 3; ++i) {
    auto old = scenario.configuration;
    scenario.configuration = next_configuration(old, old.revision + 1, 5 * scenario.below(100));
    bool ok = scenario.operator_stub.put(scenario.configuration);
    scenario.fleet.sleep(Duration(scenario.below(4)));
    auto by = scenario.operator_stub.last_by;
    scenario.journal.unplanned = true;
    scenario.note_machine_fault(by);
    scenario.fleet.kill(by);
    if (wipe) scenario.fleet.wipe(by);
    scenario.require(ok, "a configuration was not acknowledged");
    scenario.fleet.sleep(Duration(500 + scenario.below(1500)));
    scenario.note_machine_fault(by);
    scenario.fleet.start(by);
    scenario.fleet.sleep(Duration(5000));
    if (ok) scenario.clients.use_configuration(scenario.configuration);
  }
  scenario.min_served_share = 0.85;
}

void core_cut(PlatformScenario& scenario) {
  scenario.journal.unplanned = true;
  auto one = scenario.running_host(true).name;
  bool one_way = scenario.below(2);
  for (auto& host : scenario.fleet.hosts())
    if (host->has_disk && host->name != one) {
      scenario.world.partition(one, host->name);
      if (!one_way) scenario.world.partition(host->name, one);
    }
  scenario.fleet.sleep(Duration(1000));
  scenario.send_next_configuration(5 * scenario.below(100));
  scenario.fleet.sleep(Duration(4000));
  scenario.world.heal_all();
  scenario.fleet.sleep(Duration(4000));
  scenario.min_served_share = 0.8;
}

void node_cut(PlatformScenario& scenario) {
  scenario.journal.unplanned = true;
  auto one = scenario.running_host(false).name;
  for (auto& host : scenario.fleet.hosts())
    if (host->has_disk) scenario.world.partition(one, host->name), scenario.world.partition(host->name, one);
  scenario.fleet.sleep(Duration(1000));
  scenario.send_next_configuration(5 * scenario.below(100));
  scenario.fleet.sleep(Duration(4000));
  scenario.world.heal_all();
  scenario.fleet.sleep(Duration(4000));
  scenario.min_served_share = 0.85;
}

void node_freeze(PlatformScenario& scenario) {
  scenario.journal.unplanned = true;
  for (bool core : {false, true}) {
    auto& host = scenario.running_host(core);
    scenario.world.freeze(host.name, scenario.world.now() + Duration(1500 + scenario.below(3500)));
    scenario.fleet.sleep(Duration(500));
    scenario.send_next_configuration(scenario.world.draw() % 100000);
    scenario.fleet.sleep(Duration(6500));
  }
  scenario.min_served_share = 0.8;
}

void clock_step(PlatformScenario& scenario) {
  std::vector<simulation::Host*> who;
  for (auto& h : scenario.fleet.hosts())
    if (scenario.below(10) < 3) who.push_back(h.get());
  int64_t by = scenario.below(2) ? 2000 : -2000;
  for (int sign : {1, -1}) {
    for (auto* host : who) {
      host->wall_offset_ms += sign * by;
      scenario.note_machine_fault(host->name);
      if (host->has_disk) scenario.note_core_fault();
    }
    scenario.send_next_configuration(scenario.world.draw() % 100000);
    scenario.fleet.sleep(Duration(4500));
  }
}

void roll_term(PlatformScenario& scenario) {
  for (auto& host : scenario.fleet.hosts()) {
    if (host->up() && (host->has_disk || scenario.below(3) == 0)) {
      scenario.terminate(host->name);
      scenario.fleet.sleep(Duration(1000));
    }
  }
}

void seed_change(PlatformScenario& scenario) {
  for (auto& host : scenario.fleet.hosts()) host->node->set_seeds({"http:e1", "http:h3", "http:e2"});
  scenario.fleet.sleep(Duration(1000));
  scenario.send_next_configuration(0);
  scenario.kill_for(scenario.running_host(false).name, Duration(300));
  scenario.fleet.sleep(Duration(5000));
}

// Kills all machines and sends a rollout while they start.
void order_at_start(PlatformScenario& scenario) {
  scenario.journal.unplanned = true;
  for (int i = 0; i < 4; ++i) scenario.platform_stub.add("huvo", "v2");
  scenario.fleet.sleep(Duration(2000));
  for (auto& host : scenario.fleet.hosts()) scenario.fleet.kill(host->name);
  scenario.fleet.sleep(Duration(300));
  scenario.fleet.start_all();
  scenario.fleet.sleep(Duration(scenario.below(400)));
  scenario.require(scenario.operator_stub.roll_out_version("huvo", "v2", Duration(12000), false),
                   "relays that had just started did not acknowledge a rollout");
  scenario.fleet.sleep(Duration(2000));
  std::string version;
  auto st = scenario.operator_stub.rollout_state("huvo", &version);
  scenario.require(!st.empty() && version == "v2",
                   fmt::format("the rollout is read back as {} {}", version, st));
  scenario.min_served_share = 0.5;
}

// Injects a fleet-wide fault right after one more change was acknowledged.
/// What happens right after the last acknowledgement of a day. `wipe_one`: a machine that counts loses its
/// disk, and others may lose power; `wipe_one_all_dark`: all others lose power at the same moment.
enum class ClosingFault { kill_all, power_off_all, wipe_one, wipe_one_all_dark };

void closing(PlatformScenario& scenario, ClosingFault fault) {
  const bool wipes = fault == ClosingFault::wipe_one || fault == ClosingFault::wipe_one_all_dark;
  for (int i = 0; i < 4; ++i) scenario.platform_stub.add("huvo", "v2");
  scenario.fleet.sleep(Duration(2000));
  scenario.require(scenario.operator_stub.roll_out_version("huvo", "v2", Duration(12000), false),
                   "a rollout was not acknowledged");
  auto old = scenario.configuration;
  scenario.configuration = next_configuration(old, old.revision + 2, 5 * scenario.below(100));
  scenario.require(scenario.operator_stub.put(scenario.configuration),
                   "the last configuration was not acknowledged");
  scenario.journal.unplanned = true;
  scenario.journal.final_fault_at = scenario.world.now();
  scenario.fleet.sleep(Duration(scenario.below(4)));
  std::string one = fmt::format("h{}", 1 + scenario.below(3));
  for (auto& host : scenario.fleet.hosts())
    if (fault != ClosingFault::wipe_one || host->name == one || scenario.below(2))
      scenario.fleet.kill(host->name);
  if (wipes) scenario.fleet.wipe(one);
  scenario.fleet.sleep(Duration(fault == ClosingFault::kill_all ? 500 : 3000));
  scenario.fleet.start_all();
  scenario.journal.restarted_at = scenario.world.now();
  scenario.fleet.sleep(Duration(15000));
  auto wanted = scenario.clients.wanted, served = scenario.clients.served;
  scenario.fleet.sleep(Duration(4000));
  std::string version;
  auto st = scenario.operator_stub.rollout_state("huvo", &version);
  scenario.require(!st.empty() && version == "v2",
                   fmt::format("LOST: the rollout is read back as {} {} after the final fault", version, st));
  scenario.require((scenario.clients.served - served) * 4 >= (scenario.clients.wanted - wanted),
                   "less than a quarter of the requests are served 15 s after all machines restarted");
  scenario.min_served_share = 0.3;
}
}  // namespace

std::map<std::string, FaultKind> machine_kinds() {
  return {
      {"node_kill", {node_kill}},
      {"herd_kill", {herd_kill}},
      {"after_ack_kill", {[](PlatformScenario& scenario) { after_ack(scenario, false); }}},
      {"after_ack_wipe", {[](PlatformScenario& scenario) { after_ack(scenario, true); }}},
      {"core_cut", {core_cut}},
      {"node_cut", {node_cut}},
      {"node_freeze", {node_freeze}},
      {"clock_step", {clock_step}},
      {"order_at_start", {order_at_start}},
      {"roll_term", {roll_term}},
      {"seed_change", {seed_change}},
      {"kill_all", {[](PlatformScenario& scenario) { closing(scenario, ClosingFault::kill_all); }}},
      {"power_off_all", {[](PlatformScenario& scenario) { closing(scenario, ClosingFault::power_off_all); }}},
      {"wipe_after_ack", {[](PlatformScenario& scenario) { closing(scenario, ClosingFault::wipe_one); }}},
      {"wipe_and_all_dark",
       {[](PlatformScenario& scenario) { closing(scenario, ClosingFault::wipe_one_all_dark); }}}};
}

}  // namespace dunlinwing::test
