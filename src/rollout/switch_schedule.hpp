/// @file
/// When the switch of a service to its canary starts, and by when it has to be completed.
///
/// A version that responds like the old one under its canary share may still be bad. While it receives all
/// requests, it uses up in one second what the allowance grants in ten. The time from the start of the switch
/// to the deadline is therefore limited to what the rest of the allowance covers: no version then exceeds its
/// allowance, whether it is detected as bad or not. If that is less than a switch takes, the switch starts as
/// late as it can still be completed in time. Pure.
#pragma once
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

/// All times but `max_follow_time` are measured from the request.
struct SwitchSchedule {
  Duration start{0};           ///< when the switch should start
  Duration start_deadline{0};  ///< from this time on the switch no longer starts
  Duration complete_by{0};     ///< when it should be completed
  /// Time after the switch is recorded from which no node, not even an unresponsive one, can still send to
  /// the old version.
  Duration max_follow_time{0};
};

[[nodiscard]] SwitchSchedule plan_switch(const pb::ServiceState& state,
                                         const VersionRolloutObservation& observation,
                                         const RolloutRules& rules);

}  // namespace dunlinwing::rollout
