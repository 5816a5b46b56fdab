/// @file
/// The register that holds the state of the releases: read and written by the node that leads.
///
/// Invariants: every write is a compare-and-set on the version read or written last and passes the leadership
/// fence, so that a leader that was frozen past its lease changes nothing. What a step logs is logged only
/// once its state is recorded. Threads: the fiber of the rollout controller; a write waits for the network.
#pragma once
#include "membership/leadership_fence.hpp"
#include "membership/state_cache.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// The register of the releases' state.
inline constexpr const char* kRolloutKey = "rollout";

/// The state of the releases as a node's view of the fleet has it; empty when there is none yet.
pb::RolloutState read_rollout_state(const membership::ChosenValues& chosen);

class RolloutStateStore {
 public:
  /// The references have to outlive the store.
  RolloutStateStore(base::Clock& clock, consensus::RegisterClient& registers,
                    const membership::LeadershipFence& fence);

  /// The state of the last step, or as last followed. A deferred step may not be recorded yet.
  const pb::RolloutState& state() const { return state_; }

  /// Takes the state as a node has it that does not lead.
  void follow(pb::RolloutState state);

  /// From now on the state is to be read before the next step.
  void invalidate() { loaded_ = false; }

  /// Reads the register, unless its value is known.
  /// @return false when it cannot be read
  [[nodiscard]] bool load();

  /// Runs the event's step, records its state (where only counts have changed, from time to time) and logs
  /// what the step has to say.
  /// @return false when the state could not be recorded: it is then as before, and has to be loaded anew
  [[nodiscard]] bool apply(const Event& event, const RolloutRules& rules);

 private:
  bool save(pb::RolloutState next);

  base::Clock& clock_;
  consensus::RegisterClient& registers_;
  const membership::LeadershipFence& fence_;
  pb::RolloutState state_;
  uint64_t version_ = 0;  ///< of the register, as last read or written here
  bool loaded_ = false;   ///< whether `version_` and `state_` may be built on
  TimePoint saved_{0};    ///< the last write here
};

}  // namespace dunlinwing::rollout
