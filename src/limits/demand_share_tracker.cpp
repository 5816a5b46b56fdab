#include "limits/demand_share_tracker.hpp"

#include <algorithm>
#include <set>

namespace dunlinwing::limits {
namespace {
constexpr int kObservationsPerBound = 2;
constexpr double kMsPerSecond = 1000;

std::set<std::string> services_of(const DemandEstimator::Statuses& statuses) {
  std::set<std::string> services;
  for (const auto& [name, status] : statuses)
    for (const auto& counted : status.demands()) services.insert(counted.service());
  return services;
}
}  // namespace

void DemandShareTracker::observe(const DemandEstimator::Statuses& statuses, TimePoint now) {
  const Duration since = observed_.empty() ? bound_ : Duration(now - observed_.back().at);
  if (since < bound_ / kObservationsPerBound) return;
  const double seconds = static_cast<double>(since.count()) / kMsPerSecond;
  for (const auto& service : services_of(statuses)) demand_.observe(service, statuses, seconds, now);
  observed_.push_back({now, own_shares(statuses)});
  while (observed_.size() > 1 && now - observed_[1].at >= bound_) observed_.pop_front();
}

DemandShareTracker::Shares DemandShareTracker::own_shares(const DemandEstimator::Statuses& statuses) const {
  Shares shares;
  for (const auto& service : services_of(statuses)) {
    const auto demand = demand_.known_demand(service, statuses);
    double total = 0, before = 0, own = 0;
    for (const auto& [node, rate] : demand) {
      total += rate;
      if (node < node_name_) before += rate;
      if (node == node_name_) own = rate;
    }
    if (total > 0) shares[service] = {before / total, own / total};
  }
  return shares;
}

// The smallest share computed within the last bound, at its current position among the others.
DemandShareTracker::Shares DemandShareTracker::usable() const {
  if (observed_.empty()) return {};
  Shares usable = observed_.back().shares;
  for (const auto& observed : observed_)
    for (auto& [service, share] : usable) {
      const auto found = observed.shares.find(service);
      if (found != observed.shares.end()) share.share = std::min(share.share, found->second.share);
    }
  return usable;
}

}  // namespace dunlinwing::limits
