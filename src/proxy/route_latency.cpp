#include "proxy/route_latency.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr double kLatestWeight = 0.15;  // of the latest sample in the mean, while the one before is fresh
}  // namespace

void RouteLatency::record(const std::string& service, const std::string& route, Duration latency,
                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto [found, is_first] = estimates_.try_emplace({service, route});
  auto& estimate = found->second;
  const bool is_stale = is_first || now - estimate.sampled_at > kFreshTime;
  const double weight = is_stale ? 1 : kLatestWeight;
  estimate.mean_ms += weight * (static_cast<double>(latency.count()) - estimate.mean_ms);
  estimate.sampled_at = now;
}

std::optional<Duration> RouteLatency::estimate(const std::string& service, const std::string& route,
                                               Duration at_instance, Duration of_service, TimePoint now) {
  const std::lock_guard lock(mutex_);
  const auto found = estimates_.find({service, route});
  if (found == estimates_.end()) return {};
  auto& estimate = found->second;
  if (now - std::max(estimate.sampled_at, estimate.let_through_at) > kFreshTime) {
    estimate.let_through_at = now;
    return {};
  }
  if (of_service <= Duration(0)) return at_instance;
  const double ratio = estimate.mean_ms / static_cast<double>(of_service.count());
  return Duration(static_cast<int64_t>(static_cast<double>(at_instance.count()) * ratio));
}

void RouteLatency::retain_routes(const std::set<std::string>& labels) {
  const std::lock_guard lock(mutex_);
  std::erase_if(estimates_, [&](const auto& entry) { return !labels.count(entry.first.second); });
}

}  // namespace dunlinwing::proxy
