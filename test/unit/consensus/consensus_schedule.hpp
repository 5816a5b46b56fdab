// The random schedules of the consensus property, and their RapidCheck generator. Any step can be
// left out, so that a failing schedule shrinks to the relevant steps.
#pragma once
#include <rapidcheck.h>

#include <ostream>

namespace dunlinwing::test {

inline constexpr size_t kFewestReplicas = 3, kMostReplicas = 5;
inline constexpr int kMostSteps = 50;
inline constexpr int kLongestPauseMs = 400;
inline constexpr int kMostDroppedPermille = 100, kMostSlowPermille = 150;

enum class StepKind : uint8_t {
  change,         // one node begins a change of the replica set, or finishes the current one
  rival_changes,  // two nodes do so concurrently, each with a different list
  crash,
  restart,
  lose_disk,
  cut_off,  // isolates one node until the next step of this kind
  read,
  cached_read,
};
inline constexpr const char* kStepNames[] = {"change",    "rival_changes", "crash", "restart",
                                             "lose_disk", "cut_off",       "read",  "cached_read"};

// `node` and `choice` are taken modulo the number of options.
struct Step {
  StepKind kind = StepKind::change;
  size_t node = 0, choice = 0;
  int pause_ms = 0;  // after it
};

inline std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << kStepNames[static_cast<size_t>(step.kind)] << "(node " << step.node << ", choice "
             << step.choice << ", then " << step.pause_ms << " ms)";
}

struct Schedule {
  uint64_t seed = 1;
  size_t replicas = kFewestReplicas, newcomers = 1;
  int dropped_permille = 0, slow_permille = 0;
  std::vector<Step> steps;
};

inline rc::Gen<Step> any_step() {
  using Kind = StepKind;
  auto kind = rc::gen::weightedElement<Kind>({{10, Kind::change},
                                              {6, Kind::rival_changes},
                                              {2, Kind::crash},
                                              {4, Kind::restart},
                                              {5, Kind::lose_disk},
                                              {2, Kind::cut_off},
                                              {3, Kind::read},
                                              {3, Kind::cached_read}});
  return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                              rc::gen::set(&Step::node, rc::gen::inRange<size_t>(0, 9)),
                              rc::gen::set(&Step::choice, rc::gen::inRange<size_t>(0, 60)),
                              rc::gen::set(&Step::pause_ms, rc::gen::inRange(0, kLongestPauseMs)));
}

inline Schedule any_schedule() {
  Schedule schedule;
  schedule.seed = *rc::gen::inRange<uint64_t>(1, 1'000'000'000).as("seed");
  schedule.replicas = *rc::gen::inRange(kFewestReplicas, kMostReplicas + 1).as("replicas");
  schedule.newcomers = *rc::gen::inRange<size_t>(1, 3).as("newcomers");
  schedule.dropped_permille = *rc::gen::inRange(0, kMostDroppedPermille).as("messages dropped, permille");
  schedule.slow_permille = *rc::gen::inRange(0, kMostSlowPermille).as("messages slow, permille");
  auto steps = rc::gen::container<std::vector<Step>>(any_step());
  schedule.steps = *rc::gen::resize(kMostSteps, steps).as("steps");
  return schedule;
}

}  // namespace dunlinwing::test
