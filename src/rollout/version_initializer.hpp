/// @file
/// Records the current version of each service for which no version rollout has set it: the first version
/// in the routing configuration or, if that names none, the version that most of the service's backend
/// instances report.
///
/// If all backend instances of the current version have been gone for a while, another version replaces it
/// without a canary: the old one serves nothing, and no rollout has been requested.
/// Threads: the fiber of the rollout controller; a write waits for the network.
#pragma once
#include "config/routing_configuration.hpp"
#include "membership/leadership_fence.hpp"
#include "rollout/service_state.hpp"

namespace dunlinwing::rollout {

using BackendInstances = std::map<std::string, membership::BackendInstanceStatus>;  ///< by name

/// The version that most backend instances of the service report; `except` only if there is no other.
/// Empty if no instance sends heartbeats.
std::string most_common_version(const BackendInstances& instances, const std::string& service,
                                const std::string& except = {});

/// Ensures, on the leader and outside of version rollouts, that each service has a current version.
class VersionInitializer {
 public:
  /// The references have to outlive the object.
  VersionInitializer(base::Clock& clock, consensus::RegisterClient& registers,
                     membership::StateCache& state_cache, const membership::LeadershipFence& fence,
                     Duration bound);

  /// Records missing current versions, and replaces versions whose instances are gone.
  /// @param configuration  in force for the fleet; if null, nothing is done
  void tick(std::shared_ptr<const config::RoutingConfiguration> configuration);

  /// Discards all cached state, when this node does not lead or leads under a new lease.
  void reset();

 private:
  enum class Progress {
    complete,
    incomplete,  ///< some service has no backend instance that has sent a heartbeat yet
    failed,      ///< a write failed; the next tick starts over
  };
  struct RecordedState {
    uint64_t version = 0;  ///< of the register; 0 if it has no value
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
  std::shared_ptr<const config::RoutingConfiguration> configuration_;  ///< of the current tick
  std::string
      completed_configuration_;  ///< name of the configuration whose services all have a current version
  std::map<std::string, TimePoint> gone_since_;  ///< by service: when its current version was found gone
};

}  // namespace dunlinwing::rollout
