// Runs the model's cases: with all guards no state of the bounded space may violate a rule, and without any
// one of them a violation must be found. docs/model.md explains the output.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>

#include "cases.hpp"

DEFINE_string(case_name, "", "only the cases with these bounds");
DEFINE_string(without, "",
              "only the cases that leave out this guard; 'none': those with all guards; 'any': the others");
DEFINE_bool(large, false, "run the large cases too");
DEFINE_bool(trace, false, "print the whole trace of each violation");
DEFINE_uint64(most_states, 60'000'000, "fail a case that exceeds this number of states");

namespace dunlinwing::test::model {
namespace {

bool chosen(const ModelCase& model_case) {
  if (!FLAGS_case_name.empty() && model_case.name != FLAGS_case_name) return false;
  if (model_case.size == Size::large && !FLAGS_large) return false;
  if (FLAGS_without.empty()) return true;
  if (FLAGS_without == "none") return model_case.without.empty();
  if (FLAGS_without == "any") return !model_case.without.empty();
  return model_case.without == FLAGS_without;
}

// Whether the case has the expected result: with all guards, the space was explored completely without a
// violation; with one left out, a violation was found.
bool as_expected(const ModelCase& model_case, const Exploration& result) {
  return model_case.without.empty() ? result.complete && result.violation.empty() : !result.violation.empty();
}

void report(const ModelCase& model_case, const Exploration& result) {
  std::string what = model_case.without.empty() ? "all guards" : "without " + model_case.without;
  std::string outcome =
      result.violation.empty()
          ? (result.complete ? "no violation in the whole space" : "space not seen whole")
          : fmt::format("violation after {} steps: {}", result.trace.size(), result.violation);
  std::cout << fmt::format("{:<4} {}, {}: {}; {} states, depth {}, {:.1f} s\n",
                           as_expected(model_case, result) ? "ok" : "FAIL", model_case.name, what, outcome,
                           result.states, result.depth, result.seconds);
  if (!FLAGS_trace && as_expected(model_case, result)) return;
  for (size_t i = 0; i < result.trace.size(); ++i)
    std::cout << fmt::format("  {:>2}. {}\n", i + 1, result.trace[i]);
}

int run() {
  size_t count = 0, failed = 0;
  auto cases = consensus_cases();
  for (auto& model_case : lease_cases()) cases.push_back(model_case);
  for (auto& model_case : cases) {
    if (!chosen(model_case)) continue;
    Exploration result = model_case.run(model_case, FLAGS_most_states);
    report(model_case, result);
    std::cout.flush();
    ++count;
    failed += !as_expected(model_case, result);
  }
  std::cout << fmt::format("{} cases, {} failed\n", count, failed);
  return count == 0 || failed > 0 ? 1 : 0;
}

}  // namespace
}  // namespace dunlinwing::test::model

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return dunlinwing::test::model::run();
}
