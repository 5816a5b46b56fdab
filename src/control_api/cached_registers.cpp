#include "control_api/cached_registers.hpp"

namespace dunlinwing::control_api {

consensus::VersionedValue cached_register(node::Node& node, const std::string& key) {
  const auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(key);
  return found == chosen.end() ? consensus::VersionedValue() : found->second;
}

void for_each_cached_register(
    node::Node& node, std::string_view prefix,
    const std::function<void(const std::string& rest, const consensus::VersionedValue&)>& visit) {
  for (const auto& [key, value] : node.state_cache().chosen())
    if (key.starts_with(prefix)) visit(key.substr(prefix.size()), value);
}

}  // namespace dunlinwing::control_api
