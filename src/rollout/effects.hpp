/// @file
/// What the effects of a step ask of whoever runs it.
/// Threads: any; nothing is shared.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// Whether a step's state has to be recorded.
enum class Persistence {
  none,        ///< it is as it was
  deferrable,  ///< only counts and times have changed: later will do
  urgent,      ///< before anything else is done
};

/// The most that any of the effects asks for.
[[nodiscard]] Persistence required_persistence(const std::vector<Effect>& effects);

/// Writes the lines among the effects to the log; to be called only once their state is recorded.
void log_effects(const std::vector<Effect>& effects);

}  // namespace dunlinwing::rollout
