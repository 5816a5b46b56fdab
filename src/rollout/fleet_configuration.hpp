/// @file
/// The routing configuration in force for the whole fleet: the numbered configuration if there is one, else
/// the content of the latest layout release that was deployed to all nodes.
/// Threads: the fiber of the rollout controller.
#pragma once
#include "config/numbered_configuration.hpp"
#include "rollout/fleet_observer.hpp"

namespace dunlinwing::rollout {

class FleetConfiguration {
 public:
  using ConfigurationPtr = std::shared_ptr<const config::RoutingConfiguration>;

  /// @return null if there is none, or if its release has not reached this node
  ConfigurationPtr find(const membership::ChosenValues& chosen, const pb::RolloutState& state,
                        const ReleasesByKey& releases);

 private:
  config::NumberedConfigurationReader numbered_;
  ConfigurationPtr released_;  ///< content of the layout release in force at the last call
};

}  // namespace dunlinwing::rollout
