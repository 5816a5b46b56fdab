// Which worker version of a service is in place when no move has said so: the layout's
// first, or, where it names none, what most of the service's workers report.
#pragma once
#include "rollout/fence.hpp"
#include "traffic/layout.hpp"

namespace dunlinwing::rollout {

using Workers = std::map<std::string, membership::WorkerFact>;
// The version that most workers of the service beat with, others than `except` first; empty: none beats.
std::string commonest(const Workers& ws, const std::string& service, const std::string& except = {});

class Settler {
 public:
  Settler(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, Duration bound);
  ~Settler();
  // While the leadership is held: records what is in place, and what takes the place of a version that is
  // gone.
  void tick(std::shared_ptr<const traffic::Layout> in_force, const Fence& fence);
  void idle();  // the leadership is not held

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::rollout
