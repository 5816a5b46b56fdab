/// @file
/// The numbered configuration: one register that holds the highest number submitted and its document. It
/// takes effect on each node as soon as the node has pulled it; while there is one, releases supply no
/// routing configuration.
#pragma once
#include "config/routing_configuration.hpp"
#include "membership/state_cache.hpp"

namespace dunlinwing::config {

/// The name of the register.
inline constexpr const char* kNumberedConfigurationKey = "order";

/// The numbered configuration as a node has read it.
struct ActiveConfiguration {
  uint64_t number = 0;  ///< 0: none was ever submitted
  /// Null: none was submitted, or this version cannot parse it, as a newer one wrote it. The node then keeps
  /// the configuration it has and is not ready.
  std::shared_ptr<const RoutingConfiguration> configuration;
};

/// Parses the register when its version has changed. Each reader belongs to one thread.
class NumberedConfigurationReader {
 public:
  const ActiveConfiguration& read(const membership::ChosenValues& chosen);

 private:
  uint64_t register_version_ = 0;  ///< as last read
  ActiveConfiguration active_;     ///< its number never decreases
};

/// The name of the configuration of that number, in counters and forwarded requests.
std::string numbered_configuration_name(uint64_t number);

}  // namespace dunlinwing::config
