// Runs scenarios of the simulated platform: `platform_test --case_name KIND --seeds N`. `--seed N`
// reproduces one exactly. Odd seeds have twelve relays, even ones seven.
#include <gflags/gflags.h>
#include <unistd.h>

#include "base/log.hpp"
#include "platform/platform_scenario.hpp"

DEFINE_string(case_name, "", "only the kind with this name, or all kinds whose names contain it");
DEFINE_uint64(seed, 0, "only this seed; 0: seeds 1 to --seeds");
DEFINE_int32(seeds, 2, "how many seeds each kind runs");
DEFINE_string(log_level, "error", "log level of the product's code");
DEFINE_int32(load, 1, "factor on the request rate of each kind");
DEFINE_bool(figures, false, "print the counters of each kind");

using namespace dunlinwing;

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  base::LogLevel l;
  if (base::parse_log_level(FLAGS_log_level, l)) base::set_log_level(l);
  std::vector<test::Case> cs;
  bool complete = test::fault_kinds().count(FLAGS_case_name) > 0;
  for (auto& [name, kind] : test::fault_kinds())
    if (!complete || name == FLAGS_case_name)
      cs.push_back({name, [name = name, meets = kind.required_faults] {
                      std::map<std::string, uint64_t> sum;
                      uint64_t from = FLAGS_seed ? FLAGS_seed : 1,
                               to = FLAGS_seed ? FLAGS_seed : static_cast<uint64_t>(FLAGS_seeds);
                      std::string bad;
                      for (auto s = from; s <= to; ++s) try {
                          test::run_scenario(name, s, s % 2 == 0, FLAGS_load, sum);
                        } catch (const std::exception& e) {
                          bad += std::string(bad.empty() ? "" : "\n") + e.what();
                        }
                      for (auto& m : meets)
                        if (!FLAGS_seed && !sum["met_" + m])
                          bad += (bad.empty() ? "" : "\n") + m + " never occurred";
                      if (FLAGS_figures) {
                        std::cout << name << ":";
                        for (auto& [k, v] : sum) std::cout << " " << k << " " << v;
                        std::cout << "\n";
                      }
                      test::expect(bad.empty(), bad);
                    }});
  int rc = test::run_all(cs, FLAGS_case_name);
  std::cout.flush();
  ::_exit(rc);  // skips the shutdown of this thread's fiber scheduler, which has no work left
}
