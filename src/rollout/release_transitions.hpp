/// @file
/// What changes the state of the releases in one step: nodes join, a release enters a phase, spreads,
/// is rolled back or ends. When to do which is decided in release_state_machine.cpp.
///
/// Invariant: whatever changes an assignment takes a new generation, higher than all before.
/// Threads: one; an object lives for one step.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// The state under change in one step, with one method for each transition.
class ReleaseTransitions {
 public:
  /// The observation and the rules have to outlive the object.
  ReleaseTransitions(pb::RolloutState state, const FleetObservation& observation, const RolloutRules& rules);

  pb::RolloutState& state() { return state_; }
  const pb::RolloutState& state() const { return state_; }

  /// Assigns to each present node that is new, or new in its zone, what most of its zone runs.
  void add_new_nodes();

  /// WAITING to ONE: one node gets the release, a stateless one where there is one.
  void begin(pb::ReleaseProgress& progress);

  /// Gives the release to more nodes of its zone: at once to all stateless ones (of software, to a third of
  /// the zone at a time), then to one stateful node after the other.
  /// @return whether all nodes of the zone that are present run it
  bool spread_in_zone(pb::ReleaseProgress& progress);

  /// Leaves a phase that is complete: to the next phase or zone, or to DONE.
  void advance(pb::ReleaseProgress& progress);

  /// To DONE, past all phases: every node gets the release.
  void deploy_everywhere(pb::ReleaseProgress& progress, const std::string& reason);

  /// To STOPPED or WITHDRAWN: its nodes go back to what they had before it.
  void roll_back(pb::ReleaseProgress& progress, pb::Phase end, const std::string& reason);

  /// To WITHDRAWN, of a release that no node was ever assigned.
  void withdraw_waiting(pb::ReleaseProgress& progress, const std::string& reason);

  /// Drops the progress of the oldest finished releases.
  ///
  /// The name of each goes into the list of forgotten ones in the same write, since its release is still
  /// recorded and would be taken for a new one. Once its operator action carries the marker and every leader
  /// knows that, the name goes as well, so that the list does not grow with history.
  void forget_finished();

  /// Whether some node is not assigned the release.
  bool has_remaining_zones(const pb::ReleaseProgress& progress) const;

  /// The result of the step that began with the state `before`; the object is not to be used any more.
  StepResult finish(const pb::RolloutState& before);

 private:
  using ReleaseByNode = std::map<std::string, std::string>;

  /// How far a release has come in its zone.
  struct ZoneStatus {
    size_t nodes = 0;
    size_t unavailable = 0;                      ///< assigned the release, and not running it or away
    bool all_running = true;                     ///< all that are assigned it and present
    std::vector<std::string> pending_stateless;  ///< nodes not assigned it that keep no state, or are away
    std::vector<std::string> pending_stateful;   ///< nodes not assigned it that keep state
  };

  void log(std::string message);
  void assign(const std::string& kind, const ReleaseByNode& releases);
  void assign_release(pb::ReleaseProgress& progress, const std::vector<std::string>& nodes);
  void assign_stateless(pb::ReleaseProgress& progress, ZoneStatus zone);
  pb::NodeAssignment first_assignment(const std::string& zone) const;
  void enter(pb::ReleaseProgress& progress, pb::Phase phase, const std::string& zone);
  ZoneStatus zone_status(const pb::ReleaseProgress& progress) const;
  std::vector<std::string> remaining_zones(const pb::ReleaseProgress& progress) const;

  pb::RolloutState state_;
  std::vector<Effect> effects_;
  const FleetObservation& observation_;
  const RolloutRules& rules_;
  std::map<std::string, const NodeObservation*> nodes_;  ///< those of `observation_`, by name
  bool assignments_changed_ = false;                     ///< or a phase has: what has to be recorded at once
};

}  // namespace dunlinwing::rollout
