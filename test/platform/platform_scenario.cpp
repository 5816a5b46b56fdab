// The relays run the product's code with the protocol adapter of platform/; machines, links,
// clients and operators are simulated.
#include "platform/platform_scenario.hpp"

#include <fmt/format.h>

#include "platform/control_adapter.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/rules.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kHeartbeatPeriod{1500};

simulation::FleetShape shape(bool small, PlatformStub& platform_stub) {
  simulation::FleetShape s;
  s.replicas = 3;
  s.edge_nodes = small ? 4 : 9;
  s.seeded = true;
  s.tolerate = 1;
  s.scale = 1;
  s.max_delay = Duration(2);
  std::shared_ptr<const proxy::ProtocolAdapter> adapter = platform::protocol_adapter();
  s.settings = [adapter](node::NodeConfig& config) {
    config.protocol_adapter = adapter;
    config.shield = false;
    config.max_cache_bytes = 65 << 20;
    config.system.retry_allowance = 64;
  };
  s.translate = [](base::Request& request, const simulation::FleetShape::Handler& product) {
    return platform::handle(request, kHeartbeatPeriod, product);
  };
  s.send = [&platform_stub](auto& l, auto& a, auto& q, auto& r) { return platform_stub.send(l, a, q, r); };
  s.can_connect = [&platform_stub](auto& a) { return platform_stub.is_reachable(a); };
  return s;
}
}  // namespace

PlatformScenario::PlatformScenario(uint64_t seed, bool small)
    : world(seed),
      platform_stub(fleet, journal),
      fleet(world, shape(small, platform_stub)),
      clients(fleet, journal),
      operator_stub(fleet, journal) {}

void PlatformScenario::require(bool ok, const std::string& what) {
  if (!ok) unmet_requirements.push_back(what);
}

bool PlatformScenario::begin(int per_second, double rate) {
  configuration = first_configuration(rate);
  if (rate > 0) platform_stub.rates["huvo"] = rate;
  for (int i = 0; i < 7; ++i) platform_stub.add("wuno");
  for (int i = 0; i < 4; ++i) platform_stub.add("huvo");
  for (int i = 0; i < 40; ++i) journal.tags[fmt::format("/obj/{:x}", i)] = fmt::format("t{}", i % 5);
  fleet.spawn_outside([this] { record_faults(); });
  clients.poll_readiness();
  fleet.sleep(Duration(500));
  bool ok = operator_stub.put(configuration);
  require(ok, "the first configuration was not acknowledged");
  ok = ok && fleet.wait_until(Duration(15000), [&] {
    for (auto& host : fleet.hosts()) {
      if (!host->up() || !host->node->ready()) return false;
      auto snapshot = host->node->request_handler().snapshot();
      for (auto* n : {"wuno", "huvo"})
        if (auto x = snapshot->backend_instances.find(n);
            x == snapshot->backend_instances.end() || x->second.size() < 4)
          return false;
    }
    return clients.all_ready();
  });
  require(ok, "not all nodes became ready and knew all backend instances within 15 s");
  fleet.sleep(Duration(2000));
  for (auto& host : fleet.hosts()) {
    auto snapshot = host->node->request_handler().snapshot();
    require(static_cast<size_t>(snapshot->nodes) == fleet.hosts().size(),
            fmt::format("{} divides the allowances among {} of {} nodes", host->name, snapshot->nodes,
                        fleet.hosts().size()));
  }
  traffic_end = world.now() + Duration(600000);
  clients.generate_traffic(configuration, per_second, traffic_end);
  fleet.sleep(Duration(3000));
  return ok;
}

bool PlatformScenario::send_next_configuration(uint64_t dice) {
  auto old = configuration;
  configuration = next_configuration(configuration, configuration.revision + 1 + dice % 3, dice);
  // Clients stop requesting a removed route before it is removed, and request an added one only after it is
  // in force.
  OperatorConfiguration both = configuration;
  std::erase_if(both.routes, [&](auto& l) { return !old.match(l.host, l.prefix); });
  clients.use_configuration(both);
  bool ok = operator_stub.put(configuration);
  if (ok) clients.use_configuration(configuration);
  for (auto* p : {&old, &configuration})
    for (size_t i = 4; i < p->routes.size(); ++i)
      clients.probe(p->routes[i].host, p->routes[i].prefix + "probe");
  clients.probe("c.example", "/never/there");
  return ok;
}

simulation::Host& PlatformScenario::running_host(bool core) {
  std::vector<simulation::Host*> v;
  for (auto& host : fleet.hosts())
    if (host->up() && host->has_disk == core && !world.frozen(host->name)) v.push_back(host.get());
  return *v.at(below(v.size()));
}

void PlatformScenario::kill_for(const std::string& host, Duration down) {
  journal.unplanned = true;
  note_machine_fault(host);
  fleet.kill(host);
  fleet.spawn_outside([this, host, down] {
    fleet.sleep(down);
    note_machine_fault(host);
    fleet.start(host);
  });
}

void PlatformScenario::terminate(const std::string& host) {
  auto& h = fleet.at(host);
  if (!h.up()) return;
  journal.terminations.emplace_back(world.now(), host);
  note_machine_fault(host);
  if (h.has_disk) note_core_fault();
  auto* n = h.node.get();
  auto life = h.process;
  TimePoint from = world.now();
  world.spawn(life, [n] { n->begin_shutdown(); });
  fleet.sleep(Duration(2700));
  if (life->dead) return;
  n->request_handler().start_draining();
  while (!life->dead && n->request_handler().running_requests() > 0 && world.now() < from + Duration(4800))
    fleet.sleep(Duration(10));
  fleet.sleep(Duration(50));
  if (!life->dead) fleet.kill(host);
  fleet.sleep(Duration(300));
  note_machine_fault(host);
  fleet.start(host);
}

void PlatformScenario::record_faults() {
  for (;;) {
    std::string core;
    int up = 0, all = 0;
    std::vector<simulation::Host*> running_core;
    for (auto& host : fleet.hosts()) {
      bool well = host->up() && !world.frozen(host->name);
      auto& life = processes_[host->name];
      if (!well || life != host->process.get()) note_machine_fault(host->name);
      life = host->process.get();
      if (!host->has_disk) continue;
      ++all;
      up += well;
      if (well) running_core.push_back(host.get());
      core +=
          fmt::format("{}{}{}", host->name, well, host->process ? fmt::ptr(host->process.get()) : nullptr);
    }
    auto joined = [&](auto& a, auto& b) {
      return a.name == b.name ||
             (!world.is_partitioned(a.name, b.name) && !world.is_partitioned(b.name, a.name));
    };
    std::vector<simulation::Host*> main;  // core hosts that can reach a majority of the core
    for (auto* a : running_core) {
      int n = 0;
      for (auto* b : running_core) {
        n += joined(*a, *b);
        core += joined(*a, *b) ? "+" : "-";
      }
      if (n * 2 > all) main.push_back(a);
    }
    if (core != core_state_ || main.size() * 2 <= static_cast<size_t>(all)) note_core_fault();
    core_state_ = core;
    for (auto& host : fleet.hosts())
      for (auto* c : main)
        if (!joined(*host, *c)) note_machine_fault(host->name);
    fleet.sleep(Duration(20));
  }
}

void run_scenario(const std::string& kind, uint64_t seed, bool small, int load,
                  std::map<std::string, uint64_t>& figures) {
  PlatformScenario scenario(seed, small);
  auto& script = fault_kinds().at(kind);
  std::map<std::string, uint64_t> got;
  TimePoint end = scenario.world.now() + Duration(90000);
  scenario.world.run(scenario.world.now() + Duration(2000), nullptr, [&] {
    scenario.fleet.start_all();
    scenario.fleet.spawn_outside([&] {
      if (scenario.begin(script.per_second * load, script.rate)) script.run(scenario);
      scenario.fleet.sleep(Duration(1500));
      got = {{"wanted", scenario.clients.wanted}, {"served", scenario.clients.served}};
      scenario.operator_stub.read_back(Duration(3000));
      scenario.done = true;
    });
  });
  while (!scenario.done && scenario.world.now() < end)
    scenario.world.run(scenario.world.now() + Duration(2000), nullptr, nullptr);
  scenario.fleet.kill_all();
  scenario.world.run(scenario.world.now() + Duration(20000), nullptr, nullptr);
  for (auto& [k, v] : got) figures[k] += v;
  for (auto& [k, v] : scenario.world.fault_counts) figures["met_" + k] += v;
  for (auto& [id, t] : scenario.journal.attempts)
    figures["tries_in_touch"] += without_recent_fault(scenario.journal, t.relay, t.sent);
  figures["tries"] += scenario.journal.attempts.size();
  figures["arrivals"] += scenario.journal.arrivals.size();
  figures["steps"] += scenario.world.steps();
  auto broken = judge(scenario.journal);
  std::string all;
  std::map<std::string, int> of;
  for (auto& b : broken)
    if (of[b.rule]++ < 2) all += fmt::format("\n     {}: {}", b.rule, b.what);
  for (auto& [r, n] : of) all += fmt::format("\n     {} {}", n, r);
  for (auto& u : scenario.unmet_requirements) all += "\n     unmet: " + u;
  if (!scenario.done) all += "\n     the scenario did not finish";
  double part = got["wanted"] ? static_cast<double>(got["served"]) / static_cast<double>(got["wanted"]) : 0;
  if (part < scenario.min_served_share)
    all += fmt::format("\n     {:.3f} of {} requests served, {} wanted", part, got["wanted"],
                       scenario.min_served_share);
  expect(all.empty(), fmt::format("seed {}{}: {}", seed, small ? " small" : "", all));
}

}  // namespace dunlinwing::test
