#include "canary/canary_share.hpp"

#include <algorithm>

namespace dunlinwing::canary {
namespace {
constexpr size_t kAsked = 2;
}  // namespace

std::vector<membership::BackendInstance> canary_instances(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, bool term) {
  std::vector<membership::BackendInstance> v;
  for (auto& instance : instances)
    if (instance.version == version) v.push_back(instance);
  if (!term) return v;
  std::sort(v.begin(), v.end(), [](auto& a, auto& b) { return a.instance < b.instance; });
  if (v.size() > kAsked) v.resize(kAsked);
  return v;
}

std::vector<membership::BackendInstance> instance_in_turn(
    const std::vector<membership::BackendInstance>& workers, const std::string& version, uint64_t turn) {
  std::vector<membership::BackendInstance> warm;
  for (auto& worker : workers)
    if (worker.version == version && worker.cold_until == TimePoint(0)) warm.push_back(worker);
  if (warm.empty()) return {};
  std::sort(warm.begin(), warm.end(), [](auto& a, auto& b) { return a.instance < b.instance; });
  return {warm[turn % warm.size()]};
}

}  // namespace dunlinwing::canary
