/// @file
/// The state machine of releases: a step maps the recorded state and one event to the next state and the
/// requested effects. Pure: no clock, no network, no random numbers. The rollout leader supplies the
/// observations and the time that they cover.
///
/// Invariants: a release passes through the phases in the order ONE, TWO, THREE; at most one release of each
/// kind is in them. Every change of a node's assignment, including a rollback, has a higher generation.
/// Threads: any; nothing is shared.
#pragma once
#include <set>

#include "base/common.hpp"
#include "config/release.hpp"
#include "config/system_options.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

inline constexpr int kTicksPerBound = 8;  ///< observations and steps of the leader in each bound

/// The leader's view of one node. Counts are increases since the previous observation.
struct NodeObservation {
  std::string name;
  std::string zone;
  bool present = false;                        ///< its session has not expired, and it is not leaving
  bool drained = false;                        ///< receives no client requests, so it yields no evidence
  bool is_stateful = false;                    ///< a replica, or the leader or its standby
  std::map<std::string, std::string> running;  ///< release by kind, as the node reports
  std::string load_error;                      ///< "kind/release: reason"; empty: all assigned are loaded
  uint64_t requests = 0;
  uint64_t failures = 0;  ///< of `requests`
  uint64_t checks_passed = 0;
  uint64_t checks_failed = 0;
  uint64_t heartbeats = 0;        ///< heartbeats of backend instances accepted by this node
  uint64_t heartbeats_usual = 0;  ///< expected from the rate before the release, in thousandths; 0: unknown
};

/// A release is stored in its register; the state machine may know it already.
struct ReleaseRecorded {
  config::Release release;
};

/// The leader's view of the fleet.
struct FleetObservation {
  Duration elapsed{0};  ///< time observed under the lease since the previous observation
  bool in_quiet_hours = true;
  std::vector<NodeObservation> nodes;
  std::map<std::string, config::Release> releases;             ///< by register name
  std::map<std::string, pb::OperatorAction> operator_actions;  ///< by the register name of the release
  /// Entries of RolloutState.forgotten whose marker (in the operator action) every leader must know by now.
  std::set<std::string> removable_forgotten;
};

/// This node has become the leader under a new term.
struct LeadershipAcquired {
  uint64_t term = 0;
};
using Event = std::variant<LeadershipAcquired, ReleaseRecorded, FleetObservation>;

/// A log line, to be written only once the state of the same step is recorded.
struct LogEffect {
  std::string message;
};

/// The state is to be recorded.
struct PersistEffect {
  bool urgent = false;  ///< before anything else is done; if false, only counters and durations have changed
};
using Effect = std::variant<LogEffect, PersistEffect>;

/// The parameters of the state machine.
struct RolloutRules {
  double scale = 1;      ///< divisor of all hold times; other than 1 only in test fleets
  Duration bound{2000};  ///< within it every node knows a recorded value or has stopped acting
  config::SystemOptions system;

  /// The minimum time that a release stays in a phase; in phase three, in each zone.
  Duration hold_time(const config::Release& release, pb::Phase phase) const;
  /// The minimum time that a zone runs the release before its next stateful node gets it.
  Duration settle_time() const { return bound; }
  /// How long the phase-one node may be absent; a software release restarts its machine.
  Duration allowed_absence(const std::string& kind) const;
};

struct StepResult {
  pb::RolloutState state;
  std::vector<Effect> effects;
};

/// Returns the next state. Without a PersistEffect the state is unchanged.
StepResult step(const pb::RolloutState& state, const Event& event, const RolloutRules& rules);

/// The active release of the kind; null if there is none.
const pb::ReleaseProgress* active_release(const pb::RolloutState& state, const std::string& kind);

/// Whether the phase is a final one.
bool is_finished(pb::Phase phase);

/// Whether the phase is ONE, TWO or THREE: neither waiting nor finished.
bool is_active(pb::Phase phase);

/// The progress of the release; null if the state has none.
const pb::ReleaseProgress* find_progress(const pb::RolloutState& state, const std::string& kind,
                                         const std::string& release);

/// The release of the kind that is assigned to the node; empty if there is none.
std::string assigned_release(const pb::RolloutState& state, const std::string& node, const std::string& kind);

/// Whether the node is assigned an active release.
bool is_on_active_release(const pb::RolloutState& state, const std::string& node);

/// The name of a release in RolloutState.forgotten: kind/name.
std::string qualified_release_name(const std::string& kind, const std::string& name);

}  // namespace dunlinwing::rollout
