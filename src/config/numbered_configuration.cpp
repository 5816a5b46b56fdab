// A document is checked before it is recorded; one that cannot be read here was
// written by a newer program, and the node keeps what it has and is unready.
#include "config/numbered_configuration.hpp"

#include "base/log.hpp"

namespace dunlinwing::config {
namespace {
constexpr base::Log logger("layout");
}

std::string numbered_configuration_name(uint64_t n) { return "order-" + std::to_string(n); }

const ActiveConfiguration& NumberedConfigurationReader::read(const membership::ChosenValues& chosen) {
  auto f = chosen.find(kNumberedConfigurationKey);
  if (f == chosen.end() || f->second.version == register_version_) return active_;
  register_version_ = f->second.version;
  pb::NumberedConfiguration o;
  if (!o.ParseFromString(f->second.data) || o.number() <= active_.number) return active_;
  auto g = parse_routing_configuration(numbered_configuration_name(o.number()), o.document());
  auto* l = std::get_if<std::shared_ptr<const RoutingConfiguration>>(&g);
  if (!l) logger.error("Layout {} cannot be read here.", o.number());
  active_ = {o.number(), l ? *l : nullptr};
  return active_;
}

}  // namespace dunlinwing::config
