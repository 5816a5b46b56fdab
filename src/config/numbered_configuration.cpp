#include "config/numbered_configuration.hpp"

#include "base/log.hpp"

namespace dunlinwing::config {
namespace {
constexpr base::Log logger("configuration");
}

std::string numbered_configuration_name(uint64_t number) { return "order-" + std::to_string(number); }

const ActiveConfiguration& NumberedConfigurationReader::read(const membership::ChosenValues& chosen) {
  auto found = chosen.find(kNumberedConfigurationKey);
  if (found == chosen.end() || found->second.version == register_version_) return active_;
  register_version_ = found->second.version;
  pb::NumberedConfiguration stated;
  if (!stated.ParseFromString(found->second.data) || stated.number() <= active_.number) return active_;
  auto name = numbered_configuration_name(stated.number());
  auto result = parse_routing_configuration(name, stated.document());
  auto* parsed = std::get_if<std::shared_ptr<const RoutingConfiguration>>(&result);
  if (!parsed)
    logger.error("Numbered configuration {} cannot be parsed by this software version.", stated.number());
  active_ = {stated.number(), parsed ? *parsed : nullptr};
  return active_;
}

}  // namespace dunlinwing::config
