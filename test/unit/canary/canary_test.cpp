// Verdicts on a canary from its response counters.
#include "canary/canary_analysis.hpp"
#include "proxy/routing_snapshot.hpp"
#include "rollout/version_rollout.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
// Failed or slow responses on a rare route count, however few, even with enough good responses on others.
void failures_on_rare_routes_count() {
  canary::CanarySample sample;
  sample.baseline = sample.warm_baseline = {{"busy", {1000, 0, 0, 10000}}, {"rare", {5, 0, 0, 50}}};
  sample.canary = sample.warm_canary = {{"busy", {60, 0, 0, 600}}, {"rare", {3, 0, 0, 30}}};
  same(canary::promotion_blocker(sample), std::string(),
       "promotion blocker with three good responses on a rare route");
  sample.canary["rare"] = sample.warm_canary["rare"] = {2, 1, 0, 30};
  expect(!canary::promotion_blocker(sample).empty(),
         "one failed response of three on a rare route was ignored");
  expect(canary::regression_after_switch(sample).empty(), "one failed response ends a switch");
  sample.canary["rare"] = sample.warm_canary["rare"] = {2, 0, 3, 90};
  expect(!canary::regression_after_switch(sample).empty(),
         "three slow responses on a rare route don't end a switch");
  sample.canary["rare"] = {4, 1, 0, 50};
  sample.warm_canary["rare"] = {3, 0, 0, 30};
  expect(!canary::promotion_blocker(sample).empty(),
         "a failure of a cold instance on a rare route was ignored");
  sample.baseline["rare"] = sample.warm_baseline["rare"] = {300, 0, 0, 3000};
  sample.canary["rare"] = sample.warm_canary["rare"] = {3, 0, 0, 30};
  expect(!canary::promotion_blocker(sample).empty(), "a frequent route was taken for a rare one");
}

// One or two slow responses among many are noise: they require a few more responses as evidence, not all
// thirty.
void few_slow_responses_are_noise() {
  auto blocker_with = [](uint64_t good, uint64_t slow) {
    canary::CanarySample sample;
    sample.baseline = sample.warm_baseline = {{"r", {1000, 0, 10, 10000}}};
    sample.canary = sample.warm_canary = {{"r", {good, 0, slow, good * 10}}};
    return canary::promotion_blocker(sample);
  };
  expect(blocker_with(12, 0).empty(), "twelve good responses are not enough: " + blocker_with(12, 0));
  expect(!blocker_with(11, 0).empty(), "eleven good responses are enough");
  expect(!blocker_with(17, 1).empty(), "seventeen responses, one of them slow, are enough");
  expect(blocker_with(18, 1).empty(),
         "eighteen responses, one of them slow, are not enough: " + blocker_with(18, 1));
  expect(!blocker_with(24, 3).empty(), "twenty-four responses, three of them slow, are enough");
  expect(blocker_with(25, 2).empty(),
         "twenty-five responses, two of them slow, are not enough: " + blocker_with(25, 2));
}

// During the switch each node detects a version that fails under the whole load without the leader.
void node_aborts_failing_switch() {
  canary::CanaryAnalysis analysis;
  pb::ServiceState state;
  state.set_current("1");
  rollout::start_canary(state, "2", Duration(14000), Duration(500));
  state.set_switching(true);
  pb::NodeStatus status;
  status.mutable_version()->set_incarnation(1);
  auto* canary_counts = status.add_version_counts();
  canary_counts->set_service("s");
  canary_counts->set_version("2");
  auto* baseline_counts = status.add_version_counts();
  baseline_counts->set_service("s");
  baseline_counts->set_version("1");
  baseline_counts->set_good(1000);
  analysis.update({{"s", state}}, {{"r", status}}, 50);
  expect(!analysis.is_aborted("s"), "the canary was aborted without responses");
  canary_counts->set_good(12);
  canary_counts->set_bad(8);
  analysis.update({{"s", state}}, {{"r", status}}, 50);
  expect(analysis.is_aborted("s"), "eight failed responses of twenty did not abort the canary");
  proxy::RoutingSnapshot snapshot;
  snapshot.service_states["s"] = state;
  snapshot.aborted_canaries = analysis.aborted();
  proxy::finalize_snapshot(snapshot);
  auto versions = proxy::eligible_versions({}, &snapshot.service_states["s"]);
  expect(versions.open == std::vector<std::string>{"1"}, "requests did not return to the previous version");
}
}  // namespace

std::vector<Case> canary_cases() {
  return {
      {"moves: failed or slow responses on a rare route count", failures_on_rare_routes_count},
      {"moves: a few slow responses are noise", few_slow_responses_are_noise},
      {"moves: a node aborts a failing switch by itself", node_aborts_failing_switch},
  };
}

}  // namespace dunlinwing::test
