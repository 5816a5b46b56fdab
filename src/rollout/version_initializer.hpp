// Which worker version of a service is in place when no move has said so: the layout's
// first, or, where it names none, what most of the service's workers report.
#pragma once
#include "config/routing_configuration.hpp"
#include "membership/leadership_fence.hpp"

namespace dunlinwing::rollout {

using BackendInstances = std::map<std::string, membership::BackendInstanceStatus>;
// The version that most workers of the service beat with, others than `except` first; empty: none beats.
std::string most_common_version(const BackendInstances& ws, const std::string& service,
                                const std::string& except = {});

class VersionInitializer {
 public:
  VersionInitializer(base::Ports& ports, consensus::RegisterClient& registers,
                     membership::StateCache& state_cache, Duration bound);
  ~VersionInitializer();
  // While the leadership is held: records what is in place, and what takes the place of a version that is
  // gone.
  void tick(std::shared_ptr<const config::RoutingConfiguration> in_force,
            const membership::LeadershipFence& fence);
  void reset();  // the leadership is not held

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::rollout
