#include "rollout/effects.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log logger("rollout");
}  // namespace

Persistence required_persistence(const std::vector<Effect>& effects) {
  auto required = Persistence::none;
  for (const auto& effect : effects)
    if (const auto* persist = as<PersistEffect>(effect))
      required = std::max(required, persist->urgent ? Persistence::urgent : Persistence::deferrable);
  return required;
}

void log_effects(const std::vector<Effect>& effects) {
  for (const auto& effect : effects)
    if (const auto* line = as<LogEffect>(effect)) logger.info("{}", line->message);
}

}  // namespace dunlinwing::rollout
