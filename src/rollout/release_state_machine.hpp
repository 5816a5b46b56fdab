/// @file
/// The state machine of releases: a step from the recorded state and one event to the next state and the
/// effects wanted. Pure: no clock, no network, no random numbers. Whoever holds the rollout leadership feeds
/// it what was observed and for how long.
///
/// Invariants: the phases of a release come in their order, ONE, TWO, THREE; of each kind at most one release
/// is in them. A node's assignment changes only under a higher generation, also when a release is rolled
/// back. Threads: any; nothing is shared.
#pragma once
#include <set>

#include "base/common.hpp"
#include "config/release.hpp"
#include "config/system_options.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

inline constexpr int kTicksPerBound = 8;  ///< how often in a bound the leader observes and takes a step

/// One node as the leader sees it. Counts are those since the previous observation.
struct NodeObservation {
  std::string name;
  std::string zone;
  bool present = false;                        ///< its session has not expired, and it is not leaving
  bool drained = false;                        ///< takes no requests of clients, so it gives no evidence
  bool keeps_state = false;                    ///< a replica, or the leader or its standby
  std::map<std::string, std::string> running;  ///< release by kind, as the node reports
  std::string load_error;                      ///< kind/release: reason; empty: it has loaded what it should
  uint64_t requests = 0;
  uint64_t failures = 0;  ///< of `requests`
  uint64_t checks_passed = 0;
  uint64_t checks_failed = 0;
  uint64_t heartbeats = 0;        ///< of backend instances, accepted by this node
  uint64_t heartbeats_usual = 0;  ///< in thousandths: as many as came before the release; 0: not known
};

/// A release stands in its register; the state machine may know it already.
struct ReleaseRecorded {
  config::Release release;
};

/// The fleet as the leader sees it.
struct FleetObservation {
  Duration elapsed{0};  ///< observed under the lease since the previous observation
  bool in_quiet_hours = true;
  std::vector<NodeObservation> nodes;
  std::map<std::string, config::Release> releases;             ///< by register name
  std::map<std::string, pb::OperatorAction> operator_actions;  ///< by the register name of the release
  /// Entries of RolloutState.forgotten whose marker in their operator action every leader must know by now.
  std::set<std::string> forgotten_everywhere;
};

/// This node leads under a new term.
struct LeadershipAcquired {
  uint64_t term = 0;
};
using Event = std::variant<LeadershipAcquired, ReleaseRecorded, FleetObservation>;

/// A line for the log, to be written only once the state that came with it is recorded.
struct LogEffect {
  std::string message;
};

/// The state is to be recorded.
struct PersistEffect {
  bool urgent = false;  ///< before anything else is done; otherwise only counts and times have changed
};
using Effect = std::variant<LogEffect, PersistEffect>;

/// What the state machine is bound by.
struct RolloutRules {
  double scale = 1;      ///< all holds are divided by it; only test fleets set another one
  Duration bound{2000};  ///< in which every node knows a recorded value, or acts on nothing
  config::SystemOptions system;

  /// How long a release has to stay in a phase; in phase three, in each zone.
  Duration hold(const config::Release& release, pb::Phase phase) const;
  /// How long a zone has to run the release before its next stateful node gets it.
  Duration settle_time() const { return bound; }
  /// How long the phase-one node may be away; software restarts its machine.
  Duration allowed_absence(const std::string& kind) const;
};

struct StepResult {
  pb::RolloutState state;
  std::vector<Effect> effects;
};

/// The next state. A state without any PersistEffect is unchanged.
StepResult step(const pb::RolloutState& state, const Event& event, const RolloutRules& rules);

/// The release of the kind that is in its phases; null: none is.
const pb::ReleaseProgress* active_release(const pb::RolloutState& state, const std::string& kind);

/// Whether the phase is one of those that end a release.
bool is_finished(pb::Phase phase);

/// Whether the release is in one of its phases: neither waiting nor finished.
bool is_active(pb::Phase phase);

/// What is known of the release; null: it has no progress here.
const pb::ReleaseProgress* find_progress(const pb::RolloutState& state, const std::string& kind,
                                         const std::string& release);

/// The release of the kind that is assigned to the node; empty: none is.
std::string assigned_release(const pb::RolloutState& state, const std::string& node, const std::string& kind);

/// Whether the node is assigned a release that is in one of its phases.
bool is_on_active_release(const pb::RolloutState& state, const std::string& node);

/// The name of a release in RolloutState.forgotten: kind/name.
std::string release_path(const std::string& kind, const std::string& name);

}  // namespace dunlinwing::rollout
