#include "proxy/shield_selector.hpp"

#include <algorithm>

#include "limits/demand_estimator.hpp"

namespace dunlinwing::proxy {
namespace {
// A failed shield is not used for about the time in which the fleet detects that a node is gone.
constexpr Duration kBackoff{2000};

size_t rank(const Shield& shield, const std::string& key) {
  return std::hash<std::string>()(shield.name + "\n" + key);
}
}  // namespace

std::optional<Shield> ShieldSelector::select(const RoutingSnapshot& snapshot, const std::string& key,
                                             const std::vector<std::string>& tried) const {
  if (snapshot.nodes < limits::kMinNodesForShields) return {};
  const Shield* selected = nullptr;
  size_t highest = 0;
  const std::lock_guard lock(mutex_);
  for (const auto& shield : snapshot.shields) {
    if (std::find(tried.begin(), tried.end(), shield.name) != tried.end()) continue;
    if (is_backed_off(shield.address)) continue;
    const size_t own_rank = rank(shield, key);
    if (selected && own_rank <= highest) continue;
    selected = &shield;
    highest = own_rank;
  }
  if (!selected || selected->name == node_name_) return {};
  return *selected;
}

void ShieldSelector::record_response(const std::string& address) {
  const std::lock_guard lock(mutex_);
  health_[address].responded_at = clock_.now();
}

void ShieldSelector::record_failure(const std::string& address, TimePoint sent_at) {
  const std::lock_guard lock(mutex_);
  auto& health = health_[address];
  if (health.responded_at < sent_at) health.backed_off_until = clock_.now() + kBackoff;
}

bool ShieldSelector::is_backed_off(const std::string& address) const {
  const auto found = health_.find(address);
  return found != health_.end() && found->second.backed_off_until > clock_.now();
}

}  // namespace dunlinwing::proxy
