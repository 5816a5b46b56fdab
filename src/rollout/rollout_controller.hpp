/// @file
/// The tasks of the rollout leader: every eighth of the bound it observes the fleet, runs the state machines
/// of releases and of version rollouts, and records their results.
///
/// It runs on every node that is a candidate for the leadership. Followers observe too, so that their
/// counters are up to date when they become leader; they write nothing.
///
/// Invariants: nothing is done without a read lease. Every write is fenced by the leadership
/// (membership/leadership_fence.hpp), and a new leader writes its term into each state before it acts on it.
/// Threads: one fiber, spawned by start().
#pragma once
#include "membership/leadership.hpp"
#include "rollout/rollout_state_store.hpp"

namespace dunlinwing::rollout {

struct RolloutControllerConfig {
  Duration bound{2000};          ///< of the fleet; see RolloutRules
  double scale = 1;              ///< see RolloutRules
  config::SystemOptions system;  ///< in force until a "system" release replaces them
};

class RolloutController {
 public:
  /// The references have to outlive the controller and its fiber.
  RolloutController(base::Ports& ports, consensus::RegisterClient& registers,
                    membership::StateCache& state_cache, membership::Leadership& leadership,
                    const RolloutControllerConfig& config);
  ~RolloutController();

  /// Spawns the fiber that calls tick() periodically. The fiber never ends.
  void start();

  /// Observes the fleet once and, on the leader, runs all steps and records their results.
  void tick();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fiber of start()
};

}  // namespace dunlinwing::rollout
