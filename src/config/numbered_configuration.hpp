// The numbered layout: one register that holds the highest number stated and its
// document. It is in force on every node as soon as the node has heard of it, and
// while there is one no layout comes by a release.
#pragma once
#include "config/routing_configuration.hpp"
#include "membership/state_cache.hpp"

namespace dunlinwing::config {

inline constexpr const char* kNumberedConfigurationKey = "order";

struct ActiveConfiguration {
  uint64_t number = 0;  // 0: none was ever stated
  std::shared_ptr<const RoutingConfiguration> configuration;
};

// Reads the register when its version has changed.
class NumberedConfigurationReader {
 public:
  const ActiveConfiguration& read(const membership::ChosenValues& chosen);

 private:
  uint64_t register_version_ = 0;
  ActiveConfiguration active_;
};

std::string numbered_configuration_name(uint64_t number);  // of its layout, in tallies and carries

}  // namespace dunlinwing::config
