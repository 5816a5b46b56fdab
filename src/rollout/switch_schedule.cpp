#include "rollout/switch_schedule.hpp"

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kWriteTicks = 3;  // to record a switch and propagate it to all nodes, if some are unresponsive
constexpr int kStartDeadlineTicks = 1;  // after the latest start, to wait for the last evidence
// Parts of the bound: to record a switch and have all nodes confirm that they follow it; and the margin
// before the deadline, so that operators can read in time that the rollout is completed.
constexpr double kFollowPart = 0.2;
constexpr double kReadPart = 0.31;
// The part of the requests left in the allowance that the switch is planned to use.
constexpr double kPlannedPart = 0.95;
constexpr double kMsPerSecond = 1000;
constexpr double kPercent = 100;

Duration from_ms(uint64_t ms) { return Duration(static_cast<int64_t>(ms)); }

Duration part_of(Duration span, double part) {
  return Duration(static_cast<int64_t>(static_cast<double>(span.count()) * part));
}

// How long before the deadline the canary can receive all requests within the allowance. The allowance is a
// share of all requests up to the deadline, so the expected ones are included.
Duration affordable_duration(const VersionRolloutObservation& observation, Duration remaining,
                             const RolloutRules& rules) {
  const double rate = observation.requests_per_second;
  if (rate <= 0) return Duration::max();
  const auto canary = static_cast<double>(
      std::max(observation.sent_to_canary, canary::sum(observation.sample.canary).total()));
  const auto baseline = static_cast<double>(canary::sum(observation.sample.baseline).total());
  const double seconds_left = static_cast<double>(std::max(remaining, Duration(0)).count()) / kMsPerSecond;
  const double requests_in_all = canary + baseline + rate * seconds_left;
  const double allowance = requests_in_all * static_cast<double>(rules.system.canary_percent) / kPercent +
                           static_cast<double>(rules.system.max_canary_failures);
  const double until_switch = rate * seconds_left * canary::kReducedPercent / kPercent;
  const double left = std::max(0.0, allowance - canary - until_switch);
  return Duration(static_cast<int64_t>(left / rate * kMsPerSecond));
}
}  // namespace

SwitchSchedule plan_switch(const pb::ServiceState& state, const VersionRolloutObservation& observation,
                           const RolloutRules& rules) {
  const Duration tick = rules.bound / kTicksPerBound;
  const Duration deadline = from_ms(state.deadline_ms());
  SwitchSchedule schedule;
  schedule.max_follow_time = rules.bound + std::min(from_ms(state.longest_ms()), rules.bound);
  schedule.complete_by = deadline - part_of(rules.bound, kReadPart);
  const Duration earliest = schedule.complete_by - schedule.max_follow_time - tick * kWriteTicks;
  const Duration latest = schedule.complete_by - part_of(rules.bound, kFollowPart);
  const Duration affordable = affordable_duration(observation, deadline - observation.since_requested, rules);
  const Duration planned = affordable >= deadline ? deadline : part_of(affordable, kPlannedPart);
  schedule.start = std::clamp(deadline - planned, earliest, latest);
  schedule.start_deadline = latest + tick * kStartDeadlineTicks;
  return schedule;
}

}  // namespace dunlinwing::rollout
