/// @file
/// Does the work of the rollout leadership: each eighth of the bound it observes the fleet, feeds the state
/// machines of releases and of version rollouts, and records what they decide.
///
/// It runs on every node that stands for the leadership. A node that does not lead observes too, so that its
/// counters are known when the leadership comes to it; it writes nothing.
///
/// Invariants: nothing is done without a read lease. Every write is fenced by the leadership
/// (membership/leadership_fence.hpp), and a new leader writes its term into each state before it acts on it.
/// Threads: one fiber, which start() begins.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/rollout_state_store.hpp"

namespace dunlinwing::rollout {

struct RolloutControllerConfig {
  Duration bound{2000};          ///< of the fleet; see RolloutRules
  double scale = 1;              ///< see RolloutRules
  config::SystemOptions system;  ///< in force until a release states others
};

class RolloutController {
 public:
  /// The references have to outlive the controller and its fiber.
  RolloutController(base::Ports& ports, consensus::RegisterClient& registers,
                    membership::StateCache& state_cache, membership::Leadership& leadership,
                    const RolloutControllerConfig& config);
  ~RolloutController();

  /// Begins the fiber that ticks; it never ends by itself.
  void start();

  /// One observation of the fleet and what follows from it.
  void tick();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fiber that ticks
};

}  // namespace dunlinwing::rollout
