#include "canary/canary_share.hpp"

#include <algorithm>

namespace dunlinwing::canary {
namespace {
using membership::BackendInstance;
using BackendInstances = std::vector<BackendInstance>;

constexpr size_t kInstancesWithDeadline = 2;

BackendInstances of_version(const BackendInstances& instances, const std::string& version) {
  BackendInstances found;
  std::copy_if(instances.begin(), instances.end(), std::back_inserter(found),
               [&](const BackendInstance& instance) { return instance.version == version; });
  return found;
}

void sort_by_name(BackendInstances& instances) {
  std::sort(instances.begin(), instances.end(),
            [](const BackendInstance& left, const BackendInstance& right) {
              return left.instance < right.instance;
            });
}
}  // namespace

BackendInstances canary_instances(const BackendInstances& instances, const std::string& version,
                                  bool has_deadline) {
  auto found = of_version(instances, version);
  if (!has_deadline) return found;
  sort_by_name(found);
  if (found.size() > kInstancesWithDeadline) found.resize(kInstancesWithDeadline);
  return found;
}

BackendInstances instance_in_turn(const BackendInstances& instances, const std::string& version,
                                  uint64_t turn) {
  auto warm = of_version(instances, version);
  std::erase_if(warm, [](const BackendInstance& instance) { return instance.cold_until != TimePoint(0); });
  if (warm.empty()) return {};
  sort_by_name(warm);
  return {warm[turn % warm.size()]};
}

}  // namespace dunlinwing::canary
