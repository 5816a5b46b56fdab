/// @file
/// The transitions of the releases' state in one step: nodes join, a release enters a phase, is assigned to
/// more nodes, is rolled back or ends. release_state_machine.cpp decides which transitions to make.
///
/// Invariant: each change of an assignment has a new generation, higher than all before.
/// Threads: one; an object is used for one step only.
#pragma once
#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {

/// The state that one step modifies, with one method for each transition.
class ReleaseTransitions {
 public:
  /// The observation and the rules have to outlive the object.
  ReleaseTransitions(pb::RolloutState state, const FleetObservation& observation, const RolloutRules& rules);

  pb::RolloutState& state() { return state_; }
  const pb::RolloutState& state() const { return state_; }

  /// Assigns the releases of most nodes in its zone to each present node that is new or has changed its zone.
  void add_new_nodes();

  /// WAITING to ONE: assigns the release to one node, a stateless one if there is any.
  void enter_phase_one(pb::ReleaseProgress& progress);

  /// Assigns the release to more nodes of its zone: to all stateless ones at once (a software release: to a
  /// third of the zone at a time), then to the stateful nodes one by one.
  /// @return whether all present nodes of the zone run it
  bool spread_in_zone(pb::ReleaseProgress& progress);

  /// Moves on from a completed phase: to the next phase or zone, or to DONE.
  void advance(pb::ReleaseProgress& progress);

  /// To DONE, skipping the remaining phases: assigns the release to every node.
  void deploy_everywhere(pb::ReleaseProgress& progress, const std::string& reason);

  /// To STOPPED or WITHDRAWN: reassigns to its nodes the releases that they had before it.
  void roll_back(pb::ReleaseProgress& progress, pb::Phase end, const std::string& reason);

  /// To WITHDRAWN, for a release that was never assigned to a node.
  void withdraw_waiting(pb::ReleaseProgress& progress, const std::string& reason);

  /// Deletes the progress of the oldest finished releases.
  ///
  /// The same write adds their names to RolloutState.forgotten, since the releases are still recorded and
  /// would be treated as new ones. A name is removed once the operator action carries the marker and every
  /// leader knows it, so that the list does not grow without limit.
  void forget_finished();

  /// Whether any zone has a node that is not assigned the release.
  bool has_remaining_zones(const pb::ReleaseProgress& progress) const;

  /// Returns the result of the step that began with the state `before`. Do not use the object afterwards.
  StepResult finish(const pb::RolloutState& before);

 private:
  using ReleaseByNode = std::map<std::string, std::string>;

  /// Progress of a release in its current zone.
  struct ZoneStatus {
    size_t nodes = 0;
    size_t unavailable = 0;                      ///< assigned the release, but absent or not running it
    bool all_running = true;                     ///< all present nodes assigned the release run it
    std::vector<std::string> pending_stateless;  ///< nodes not assigned it that are stateless or absent
    std::vector<std::string> pending_stateful;   ///< nodes not assigned it that are stateful
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
  bool assignments_changed_ = false;  ///< an assignment or a phase has changed: an urgent write is needed
};

}  // namespace dunlinwing::rollout
