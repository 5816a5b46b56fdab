/// @file
/// Access to the register that holds the state of the releases. Only the leader reads and writes it.
///
/// Invariants: every write is a compare-and-set on the version read or written last and passes the leadership
/// fence, so that a leader that was suspended past its lease changes nothing. A step's log lines are written
/// only once its state is recorded. Threads: the fiber of the rollout controller; a write waits for the
/// network.
#pragma once
#include "membership/leadership_fence.hpp"
#include "membership/state_cache.hpp"
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// The name of the register of the releases' state.
inline constexpr const char* kRolloutKey = "rollout";

/// The state of the releases among the chosen values that a node has pulled; empty if there is none yet.
pb::RolloutState read_rollout_state(const membership::ChosenValues& chosen);

class RolloutStateStore {
 public:
  /// The references have to outlive the store.
  RolloutStateStore(base::Clock& clock, consensus::RegisterClient& registers,
                    const membership::LeadershipFence& fence);

  /// The state after the last step or follow(). A deferred step may not be recorded yet.
  const pb::RolloutState& state() const { return state_; }

  /// Replaces the state by the one that a follower has pulled.
  void follow(pb::RolloutState state);

  /// Requires the state to be read again before the next step.
  void invalidate() { loaded_ = false; }

  /// Reads the register, unless its value is loaded already.
  /// @return false when it cannot be read
  [[nodiscard]] bool load();

  /// Runs the step of the event, records its state (periodically if only counters and durations have changed)
  /// and writes its log lines.
  /// @return false when the state could not be recorded; it is then unchanged and has to be loaded again
  [[nodiscard]] bool apply(const Event& event, const RolloutRules& rules);

 private:
  bool save(pb::RolloutState next);

  base::Clock& clock_;
  consensus::RegisterClient& registers_;
  const membership::LeadershipFence& fence_;
  pb::RolloutState state_;
  uint64_t version_ = 0;     ///< of the register, as last read or written by this node
  bool loaded_ = false;      ///< whether `version_` and `state_` are valid for the next step
  TimePoint last_write_{0};  ///< time of the last write by this node
};

}  // namespace dunlinwing::rollout
