#include "rollout/version_rollout_deadline.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "canary/canary_share.hpp"
#include "rollout/switch_schedule.hpp"

namespace dunlinwing::rollout {
namespace {
// The minimum duration of a switch is the bound divided by this: until then a node that has not reported yet
// may be in its first pull, begun before the switch was recorded.
constexpr int kMinSwitchFraction = 5;
// Ticks before a switch at which nodes are notified to pull more often.
constexpr int kNearTicks = 2;

Duration from_ms(uint64_t ms) { return Duration(static_cast<int64_t>(ms)); }

// One step of a canary with a deadline, according to its phase.
class DeadlineStep {
 public:
  DeadlineStep(const std::string& service, const pb::ServiceState& state,
               const VersionRolloutObservation& observation, const RolloutRules& rules)
      : service_(service),
        version_(state.canary()),
        observation_(observation),
        rules_(rules),
        schedule_(plan_switch(state, observation, rules)),
        canary_(canary::sum(observation.sample.canary)),
        baseline_(canary::sum(observation.sample.baseline)),
        state_(state) {}

  VersionRolloutStep run() {
    update_totals();
    if (auto failure = canary_failure(); !failure.empty())
      roll_back(failure);
    else if (state_.switching())
      step_in_switch();
    else if (since_requested() >= schedule_.start_deadline)
      roll_back("no verdict in time: " +
                (state_.reason().empty() ? std::string("nothing was seen") : state_.reason()));
    else
      step_before_switch();
    if (effects_.empty()) persist(false);
    const bool is_urgent = !state_.canary().empty() && (state_.switching() || switch_is_near());
    return {std::move(state_), std::move(effects_), is_urgent};
  }

 private:
  void update_totals();
  std::string canary_failure() const;
  void step_before_switch();
  std::string switch_blocker() const;
  void adjust_share();
  void begin_switch();
  void step_in_switch();
  bool switch_has_ended() const;
  bool switch_is_near() const { return since_requested() + tick() * kNearTicks >= schedule_.start; }
  void complete();
  void roll_back(const std::string& reason);
  void end(const char* outcome, const std::string& reason);

  Duration tick() const { return rules_.bound / kTicksPerBound; }
  Duration since_requested() const { return from_ms(state_.held_ms()); }
  std::string figures() const;
  void persist(bool urgent) { effects_.emplace_back(PersistEffect{urgent}); }
  void log(std::string message) { effects_.emplace_back(LogEffect{std::move(message)}); }

  const std::string& service_;
  const std::string version_;  // of the canary
  const VersionRolloutObservation& observation_;
  const RolloutRules& rules_;
  const SwitchSchedule schedule_;
  const canary::OutcomeCounts canary_;
  const canary::OutcomeCounts baseline_;
  pb::ServiceState state_;
  std::vector<Effect> effects_;
};

// A new leader may have observed less than what is recorded, so no total decreases.
void DeadlineStep::update_totals() {
  state_.set_held_ms(std::max(state_.held_ms(), static_cast<uint64_t>(observation_.since_requested.count())));
  state_.set_good(std::max(state_.good(), canary_.good));
  state_.set_bad(std::max(state_.bad(), canary_.bad));
  state_.set_baseline_good(std::max(state_.baseline_good(), baseline_.good));
  state_.set_baseline_bad(std::max(state_.baseline_bad(), baseline_.bad));
}

std::string DeadlineStep::figures() const {
  return fmt::format("{} bad answers of {}, {} slow, against {} and {} of {}", canary_.bad, canary_.total(),
                     canary_.slow, baseline_.bad, baseline_.slow, baseline_.total());
}

// The reason to roll the canary back at once, in any phase; empty if there is none.
std::string DeadlineStep::canary_failure() const {
  if (observation_.aborted || state_.bad() >= static_cast<uint64_t>(rules_.system.max_canary_failures) ||
      canary::is_clearly_worse(observation_.sample))
    return figures();
  return canary::regression(observation_.sample);
}

void DeadlineStep::step_before_switch() {
  const auto blocker = switch_blocker();
  adjust_share();
  state_.set_reason(blocker.empty() ? "nothing speaks against it so far" : blocker);
  if (blocker.empty() && since_requested() >= schedule_.start) return begin_switch();
  if (!switch_is_near() || state_.switch_is_near()) return;
  state_.set_switch_is_near(true);
  persist(true);
}

// The reason not to switch yet; empty if there is none.
std::string DeadlineStep::switch_blocker() const {
  if (!observation_.all_warm) return "its workers are not warm yet";
  if (auto blocker = canary::promotion_blocker(observation_.sample); !blocker.empty()) return blocker;
  // To take over the load, the new version needs three quarters as many warm instances as the current one
  // has.
  const int warm = instance_count(observation_.warm_instances, version_);
  const int in_place = instance_count(observation_.instances, state_.current());
  if (warm * 4 < std::max(1, in_place) * 3)
    return fmt::format("{} warm workers for {} of the version in place", warm, in_place);
  return {};
}

// Raises the share once the canary is warm, and lowers it once there is enough evidence: the rest of the
// allowance is for the switch.
void DeadlineStep::adjust_share() {
  const bool is_enough = canary::promotion_blocker(observation_.sample).empty();
  const uint32_t percent = is_enough ? canary::kReducedPercent : canary::kDeadlinePercent;
  if (!observation_.all_warm || state_.percent() == percent) return;
  state_.set_percent(percent);
  persist(true);
}

void DeadlineStep::begin_switch() {
  state_.set_switching(true);
  state_.set_reason("switching: " + figures());
  log(fmt::format("Service {}: {}; target version {}.", service_, state_.reason(), version_));
  persist(true);
}

void DeadlineStep::step_in_switch() {
  if (!instance_count(observation_.instances, version_))
    return roll_back("its workers went away in the switch");
  if (auto regression = canary::regression_after_switch(observation_.sample); !regression.empty())
    return roll_back(regression);
  if (switch_has_ended()) complete();
}

// Whether the old version may be stopped. Not before `complete_by`, even if no node sends to it earlier:
// until then the new one can be judged under full load and rolled back. Requests that the old one still
// serves at that time are not waited for, since the wait would use up the allowance.
bool DeadlineStep::switch_has_ended() const {
  if (since_requested() < schedule_.complete_by) return false;
  if (observation_.since_switch >= schedule_.max_follow_time) return true;
  return observation_.since_switch >= rules_.bound / kMinSwitchFraction && observation_.all_follow_switch;
}

void DeadlineStep::complete() {
  auto* previous = state_.mutable_previous_versions();
  previous->erase(std::remove(previous->begin(), previous->end(), version_), previous->end());
  state_.set_current(version_);
  end("completed", figures());
}

void DeadlineStep::roll_back(const std::string& reason) {
  (*state_.mutable_quarantined())[version_] = reason;
  end("rolled_back", reason);
}

void DeadlineStep::end(const char* outcome, const std::string& reason) {
  state_.clear_canary();
  state_.set_switching(false);
  state_.set_switch_is_near(false);
  state_.set_outcome(outcome);
  state_.set_reason(reason);
  log(fmt::format("Service {}: the rollout of version {} is {}: {}.", service_, version_, outcome, reason));
  persist(true);
}
}  // namespace

VersionRolloutStep step_with_deadline(const std::string& service, const pb::ServiceState& state,
                                      const VersionRolloutObservation& observation,
                                      const RolloutRules& rules) {
  return DeadlineStep(service, state, observation, rules).run();
}

}  // namespace dunlinwing::rollout
