/// @file
/// Records which version of a service is in place where no version rollout has said so: the routing
/// configuration's first or, where that names none, the one that most of the service's backend instances
/// report.
///
/// A version whose backend instances have all been gone for a while gives way to another without a canary: it
/// serves nothing, and nobody has requested a rollout.
/// Threads: the fiber of the rollout controller; a write waits for the network.
#pragma once
#include "config/routing_configuration.hpp"
#include "membership/leadership_fence.hpp"
#include "rollout/service_state.hpp"

namespace dunlinwing::rollout {

using BackendInstances = std::map<std::string, membership::BackendInstanceStatus>;  ///< by name

/// The version that most backend instances of the service report; `except` only when there is no other.
/// Empty: none sends heartbeats.
std::string most_common_version(const BackendInstances& instances, const std::string& service,
                                const std::string& except = {});

/// What a leader does beside version rollouts so that each service has a version in place.
class VersionInitializer {
 public:
  /// The references have to outlive the object.
  VersionInitializer(base::Clock& clock, consensus::RegisterClient& registers,
                     membership::StateCache& state_cache, const membership::LeadershipFence& fence,
                     Duration bound);

  /// Records what is in place, and what takes the place of versions that are gone.
  /// @param configuration  in force for the fleet; null: nothing is done
  void tick(std::shared_ptr<const config::RoutingConfiguration> configuration);

  /// This node does not lead, or leads anew: what was known counts no longer.
  void reset();

 private:
  enum class Progress {
    complete,
    incomplete,  ///< no backend instance of some service has sent a heartbeat yet
    failed,      ///< a write failed; the next tick begins anew
  };
  struct RecordedState {
    uint64_t version = 0;  ///< of the register; 0: there is none
    pb::ServiceState state;
  };

  RecordedState read(const std::string& service) const;
  bool write(const std::string& service, RecordedState recorded);
  Progress record_versions();
  bool clear_removed_services();
  void replace_if_gone(const std::string& service, const BackendInstances& instances);

  base::Clock& clock_;
  consensus::RegisterClient& registers_;
  membership::StateCache& state_cache_;
  const membership::LeadershipFence& fence_;
  Duration bound_;
  std::shared_ptr<const config::RoutingConfiguration> configuration_;  ///< of the tick under way
  std::string completed_;  ///< the configuration of which each service has a version in place
  std::map<std::string, TimePoint> gone_since_;  ///< by service: when its version in place was found gone
};

}  // namespace dunlinwing::rollout
