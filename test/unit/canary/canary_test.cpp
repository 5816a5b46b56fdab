// What the counters of a canary are evidence of.
#include "canary/canary_analysis.hpp"
#include "proxy/routing_snapshot.hpp"
#include "rollout/version_rollout.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
// Enough answers of the service don't outweigh a route's own poor ones, however few.
void rare_route_speaks() {
  canary::CanarySample seen;
  seen.baseline = seen.warm_baseline = {{"busy", {1000, 0, 0, 10000}}, {"rare", {5, 0, 0, 50}}};
  seen.canary = seen.warm_canary = {{"busy", {60, 0, 0, 600}}, {"rare", {3, 0, 0, 30}}};
  same(canary::promotion_blocker(seen), std::string(), "three good answers on a rare route");
  seen.canary["rare"] = seen.warm_canary["rare"] = {2, 1, 0, 30};
  expect(!canary::promotion_blocker(seen).empty(),
         "one poor answer of three on a rare route was passed over");
  expect(canary::regression_after_switch(seen).empty(), "one poor answer ends a switch");
  seen.canary["rare"] = seen.warm_canary["rare"] = {2, 0, 3, 90};
  expect(!canary::regression_after_switch(seen).empty(),
         "three slow answers on a rare route don't end a switch");
  seen.canary["rare"] = {4, 1, 0, 50};
  seen.warm_canary["rare"] = {3, 0, 0, 30};
  expect(!canary::promotion_blocker(seen).empty(),
         "a failure of a cold worker on a rare route was passed over");
  seen.baseline["rare"] = seen.warm_baseline["rare"] = {300, 0, 0, 3000};
  seen.canary["rare"] = seen.warm_canary["rare"] = {3, 0, 0, 30};
  expect(!canary::promotion_blocker(seen).empty(), "a busy route was taken for a rare one");
}

// A poor answer or two among many are noise, and want some more answers, not thirty at any rate.
void few_poor_are_noise() {
  auto against = [](uint64_t good, uint64_t slow) {
    canary::CanarySample seen;
    seen.baseline = seen.warm_baseline = {{"r", {1000, 0, 10, 10000}}};
    seen.canary = seen.warm_canary = {{"r", {good, 0, slow, good * 10}}};
    return canary::promotion_blocker(seen);
  };
  expect(against(12, 0).empty(), "twelve clean answers: " + against(12, 0));
  expect(!against(11, 0).empty(), "eleven clean answers are enough");
  expect(!against(17, 1).empty(), "seventeen answers with a poor one are enough");
  expect(against(18, 1).empty(), "eighteen answers with a poor one: " + against(18, 1));
  expect(!against(24, 3).empty(), "three poor of twenty-four are taken for noise");
  expect(against(25, 2).empty(), "twenty-five answers with two poor ones: " + against(25, 2));
}

// In the switch a version that is bad under the whole load is noticed by a node alone.
void relay_goes_back() {
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
  expect(!analysis.is_aborted("s"), "it was given up without answers");
  canary_counts->set_good(12);
  canary_counts->set_bad(8);
  analysis.update({{"s", state}}, {{"r", status}}, 50);
  expect(analysis.is_aborted("s"), "eight of twenty bad were not plain");
  proxy::RoutingSnapshot snapshot;
  snapshot.service_states["s"] = state;
  snapshot.aborted_canaries = analysis.aborted();
  proxy::finalize_snapshot(snapshot);
  auto versions = proxy::eligible_versions({}, &snapshot.service_states["s"]);
  expect(versions.open == std::vector<std::string>{"1"}, "it did not go back");
}
}  // namespace

std::vector<Case> canary_cases() {
  return {
      {"moves: a rare route's poor answers are heard", rare_route_speaks},
      {"moves: a few poor answers are noise", few_poor_are_noise},
      {"moves: a relay goes back by itself in the switch", relay_goes_back},
  };
}

}  // namespace dunlinwing::test
