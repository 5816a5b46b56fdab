#include "rollout/fleet_configuration.hpp"

namespace dunlinwing::rollout {

FleetConfiguration::ConfigurationPtr FleetConfiguration::find(const membership::ChosenValues& chosen,
                                                              const pb::RolloutState& state,
                                                              const ReleasesByKey& releases) {
  if (const auto& numbered = numbered_.read(chosen); numbered.number) return numbered.configuration;
  auto in_force = state.in_force().find("layout");
  if (in_force == state.in_force().end()) return {};
  const auto& name = in_force->second;
  if (released_ && released_->name == name) return released_;
  auto release = releases.find(config::release_key("layout", name));
  if (release == releases.end()) return {};
  auto result = config::parse_routing_configuration(name, release->second.content);
  auto* configuration = std::get_if<ConfigurationPtr>(&result);
  released_ = configuration ? std::move(*configuration) : nullptr;
  return released_;
}

}  // namespace dunlinwing::rollout
