/// @file
/// The routing configuration in force for the whole fleet: the numbered one, else that of the layout release
/// that went to all nodes last.
/// Threads: the fiber of the rollout controller.
#pragma once
#include "config/numbered_configuration.hpp"
#include "rollout/fleet_observer.hpp"

namespace dunlinwing::rollout {

class FleetConfiguration {
 public:
  using ConfigurationPtr = std::shared_ptr<const config::RoutingConfiguration>;

  /// @return null: there is none, or its release is not known here
  ConfigurationPtr find(const membership::ChosenValues& chosen, const pb::RolloutState& state,
                        const ReleasesByKey& releases);

 private:
  config::NumberedConfigurationReader numbered_;
  ConfigurationPtr released_;  ///< of the layout release that was in force at the last call
};

}  // namespace dunlinwing::rollout
