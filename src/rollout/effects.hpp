/// @file
/// Helpers for code that executes the effects of a step.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// Whether, and how soon, a step's state has to be recorded.
enum class Persistence {
  none,        ///< the state is unchanged
  deferrable,  ///< only counters and durations have changed; the write may be delayed
  urgent,      ///< the write must complete before anything else is done
};

/// The strictest persistence that any of the effects requires.
[[nodiscard]] Persistence required_persistence(const std::vector<Effect>& effects);

/// Writes the log lines among the effects to the log. Call it only once their state is recorded.
void log_effects(const std::vector<Effect>& effects);

}  // namespace dunlinwing::rollout
