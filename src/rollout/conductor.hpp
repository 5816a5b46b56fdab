// Does the rollout leadership while this node holds its read_lease: looks at the fleet,
// feeds the reducers, and writes what they decide to the registers.
#pragma once
#include "membership/leadership.hpp"
#include "rollout/moves.hpp"

namespace dunlinwing::rollout {

struct ConductorConfig {
  std::string me;
  Duration bound{2000};
  double scale = 1;
};

class Conductor {
 public:
  Conductor(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m,
            membership::Leadership& d, ConductorConfig c);
  ~Conductor();
  void start();
  void tick();  // one look and what follows from it

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

inline constexpr const char* kRolloutKey = "rollout";
pb::Rollout read_rollout(const membership::Chosen& c);
std::optional<int64_t> median_wall(const std::vector<membership::Member>& ms);

}  // namespace dunlinwing::rollout
