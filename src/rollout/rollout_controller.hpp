// Does the rollout leadership while this node holds its read_lease: looks at the fleet,
// feeds the reducers, and writes what they decide to the registers.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {

struct RolloutControllerConfig {
  std::string node_name;
  Duration bound{2000};
  double scale = 1;
};

class RolloutController {
 public:
  RolloutController(base::Ports& ports, consensus::RegisterClient& registers,
                    membership::StateCache& state_cache, membership::Leadership& leadership,
                    RolloutControllerConfig config);
  ~RolloutController();
  void start();
  void tick();  // one look and what follows from it

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

inline constexpr const char* kRolloutKey = "rollout";
pb::RolloutState read_rollout_state(const membership::ChosenValues& chosen);
std::optional<int64_t> median_wall_clock(const std::vector<membership::Member>& members);

}  // namespace dunlinwing::rollout
