// Runs one case with one seed. The scenario script and the clients are fibers. Rules on the
// current state are checked after each event, rules on the journal at the end.
#include <fstream>

#include "rollout/rollout_controller.hpp"
#include "scenarios/sim_cases.hpp"

namespace dunlinwing::test {
namespace {

// Invariants that are checked after every event.
struct InvariantChecker {
  simulation::Fleet& fleet;
  std::map<std::string, std::pair<void*, uint64_t>> last_generations;
  std::map<std::string, uint64_t>
      journalled_generations;                   // highest generation journalled as acknowledged, by node
  std::map<std::string, uint64_t> last_epochs;  // host -> epoch of the replica set it last had
  std::map<uint64_t, std::string> sets;         // epoch -> the replica set
  std::string violation;
  std::map<std::pair<uint64_t, std::string>, std::set<std::string>>
      votes;  // ballot -> hosts that have synced it

  // An assignment is acknowledged only once its vote is on a majority of disks; every pull
  // that starts later returns it.
  void synced(const std::string& host, const pb::LogRecord& r) {
    if (r.register_state().name() != rollout::kRolloutKey || !r.register_state().has_accepted()) return;
    auto& on = votes[{r.register_state().accepted().round(), r.register_state().accepted().node()}];
    on.insert(host);
    if (on.size() != 3) return;
    pb::RolloutState x;
    x.ParseFromString(r.register_state().value().data());
    // Sorted, since the order of a protobuf map differs between runs of one seed.
    const std::map<std::string, pb::NodeAssignment> assignments(x.nodes().begin(), x.nodes().end());
    for (auto& [n, a] : assignments)
      if (a.generation() > journalled_generations[n]) {
        journalled_generations[n] = a.generation();
        journal_assignment(n, a.generation());
      }
  }
  void journal_assignment(const std::string& n, uint64_t g) {
    fleet.event(fmt::format(R"("t":"assigned","relay":"{}","generation":{})", n, g));
  }

  void check_state() {
    if (!violation.empty()) return;
    int replicas = 0;
    for (auto& host : fleet.hosts()) {
      if (!host->up()) continue;
      auto* n = host->node.get();
      auto& [who, gen] = last_generations[host->name];
      if (who != n) {
        who = n;
        gen = 0;
      }
      if (n->generation() < gen) violation = host->name + " fell back to a lower generation";
      gen = n->generation();
      auto& set = n->registers().replica_set();
      if (set.epoch() && set.epoch() != last_epochs[host->name]) {
        last_epochs[host->name] = set.epoch();
        auto text = set.message().SerializeAsString();
        auto [at, fresh] = sets.emplace(set.epoch(), text);
        if (!fresh && at->second != text)
          violation =
              fmt::format("two replica sets with epoch {}, one of them at {}", set.epoch(), host->name);
      }
      replicas += n->leadership().is_leader();
    }
    if (replicas > 1) violation = "two nodes are the rollout leader";
  }
};
}  // namespace

void run_sim(const SimCase& sim_case, const simulation::FleetShape& sh, uint64_t seed, SimFigures& sum,
             const std::string& journal) {
  simulation::World world(seed);
  auto shape = sh;
  shape.spares = sim_case.spares;
  if (sim_case.shape) sim_case.shape(shape);
  simulation::Fleet fleet(world, shape);
  Scene scene{world, fleet, {}};
  InvariantChecker invariants{fleet, {}, {}, {}, {}, {}, {}};
  world.on_record_synced = [&](auto& host, auto& r) { invariants.synced(host, r); };
  sim_case.set_up(scene);
  world.run(
      world.now() + scene.duration, [&] { invariants.check_state(); },
      [&] {
        fleet.start_all();
        fleet.spawn_outside([&] {
          scene.script();
          scene.script_done = true;
        });
      });
  bool done = scene.script_done;
  fleet.kill_all();
  world.run(world.now() + Duration(20000), nullptr, nullptr);
  Journals js;
  for (auto& l : world.journal) js.add(l);
  if (!journal.empty()) {
    std::ofstream o(journal);
    for (auto& l : world.journal) o << l << "\n";
  }
  auto r = check(js);
  for (auto& [k, v] : r.figures)
    sum.counts[k] = k.starts_with("longest") || k.starts_with("rate_top") || k.ends_with("kinds")
                        ? std::max(sum.counts[k], v)
                        : sum.counts[k] + v;
  for (auto& [k, v] : world.fault_counts) sum.counts["met_" + k] += v;
  for (auto& [k, v] : scene.figures) sum.counts[k] = std::max(sum.counts[k], v);
  sum.counts["steps"] += world.steps();
  expect(invariants.violation.empty(), invariants.violation);
  if (!r.breaches.empty())
    throw Failed(
        fmt::format("rule {} ({} breaches): {}", r.breaches[0].rule, r.breaches.size(), r.breaches[0].what));
  expect(scene.failure.empty(), scene.failure);
  auto late = r.figures["longest_not_run_ms"];
  expect(scene.reject_within == Duration(0) || Duration(static_cast<int64_t>(late)) <= scene.reject_within,
         fmt::format("a request was rejected only after {} ms", late));
  expect(!r.figures["no_retry_after"], "a request was rejected without Retry-After");
  expect(!r.figures["lost_unexplained"],
         fmt::format("{} requests were lost at relays without a fault", r.figures["lost_unexplained"]));
  expect(done, "the scenario script did not finish");
  for (auto& m : scene.required_faults) sum.required_faults.insert(m);
}

}  // namespace dunlinwing::test
