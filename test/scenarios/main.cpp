// Seeded runs of a whole simulated fleet under faults. A run that breaks a rule
// prints its seed; `sim_test --seed N --case_name NAME` replays it exactly.
#include <gflags/gflags.h>
#include <unistd.h>

#include "base/log.hpp"
#include "scenarios/seed_process.hpp"

DEFINE_string(case_name, "", "only the case of this name, or all whose name contains this");
DEFINE_uint64(seed, 0, "only this seed; 0: the first --seeds of them");
DEFINE_int32(seeds, 3, "how many seeds each case runs");
DEFINE_string(log_level, "error", "of the product's parts");
DEFINE_string(journal, "", "file for the journal of the last run");
DEFINE_string(shape, "small", "small, lobby or practice");
DEFINE_int32(edges, 0, "relays without a disk, when not the shape's own");
DEFINE_bool(figures, false, "print what each case met");

using namespace dunlinwing;

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  base::LogLevel l;
  if (base::parse_log_level(FLAGS_log_level, l)) base::set_log_level(l);
  auto shape = FLAGS_shape == "lobby"      ? simulation::lobby_shape()
               : FLAGS_shape == "practice" ? simulation::practice_shape()
                                           : simulation::FleetShape();
  if (FLAGS_edges) shape.edge_nodes = FLAGS_edges;
  std::vector<test::Case> cs;
  bool complete = test::sim_cases().count(FLAGS_case_name) > 0;
  for (auto& [name, f] : test::sim_cases())
    if (!complete || name == FLAGS_case_name)
      cs.push_back({name, [name = name, f = f, shape] {
                      test::SimFigures sum;
                      uint64_t from = FLAGS_seed ? FLAGS_seed : 1;
                      uint64_t to = FLAGS_seed ? FLAGS_seed : static_cast<uint64_t>(FLAGS_seeds);
                      for (uint64_t s = from; s <= to; ++s) {
                        try {
                          auto run = [&] {
                            test::run_sim(f, shape, s, sum, FLAGS_journal);
                            return sum;
                          };
                          sum = FLAGS_seed ? run() : test::run_in_process(run);
                        } catch (const std::exception& e) {
                          throw test::Failed(fmt::format("seed {}: {}", s, e.what()));
                        }
                      }
                      for (auto& m : sum.required_faults)
                        if (!FLAGS_seed)
                          test::expect(sum.counts["met_" + m] > 0, "the fault " + m + " never occurred");
                      if (!FLAGS_figures) return;
                      std::cout << name << ": seeds " << to - from + 1;
                      for (auto& [k, v] : sum.counts) std::cout << " " << k << " " << v;
                      std::cout << "\n";
                    }});
  int rc = test::run_all(cs, FLAGS_case_name);
  std::cout.flush();
  ::_exit(rc);  // the fiber scheduler of this thread has no more work
}
