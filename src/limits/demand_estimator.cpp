#include "limits/demand_estimator.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kLatestWeight = 0.3;  // of the latest observation in the smoothed rate
constexpr int kAwayBounds = 15;  // a node that is away for less is expected back, and its quota waits for it
constexpr int kAwayBoundsScarce = 5;  // the same, while more is asked elsewhere than the rate allows
constexpr double kPerMilliRequest = 0.001;

bool is_present(const pb::NodeStatus& status) {
  return !status.node().zone().empty() && !status.node().leaving();
}

double total(const DemandByNode& demand) {
  double sum = 0;
  for (const auto& [node, rate] : demand) sum += rate;
  return sum;
}
}  // namespace

void DemandEstimator::observe(const std::string& service, const Statuses& statuses, double seconds,
                              TimePoint now) {
  for (const auto& [name, status] : statuses) {
    if (!is_present(status)) continue;
    auto& node = services_[service][name];
    node.present_at = now;
    for (const auto& counted : status.demands()) {
      if (counted.service() != service) continue;
      if (node.incarnation == status.version().incarnation()) {
        auto requests = counted.requested() - std::min(counted.requested(), node.requested);
        double latest = static_cast<double>(requests) / seconds;
        node.rate = node.rate ? *node.rate + kLatestWeight * (latest - *node.rate) : latest;
      }
      node.requested = counted.requested();
      node.incarnation = status.version().incarnation();
    }
  }
}

DemandByNode DemandEstimator::present_demand(const Nodes& nodes, const Statuses& statuses) {
  DemandByNode demand;
  bool shield_ready = false;
  for (const auto& [name, status] : statuses) {
    if (!is_present(status)) continue;
    demand[name] = nodes.at(name).rate.value_or(0);
    shield_ready |= status.node().shield() && status.node().ready();
  }
  // Shields fetch for all: while nobody has asked yet, they are expected to be asked most.
  if (shield_ready && total(demand) < 1)
    for (auto& [name, rate] : demand)
      if (statuses.at(name).node().shield()) rate = 1;
  return demand;
}

DemandByNode DemandEstimator::estimate(const std::string& service, const Statuses& statuses,
                                       const pb::RateQuotas& quotas, const RateContext& context) {
  auto& nodes = services_[service];
  auto demand = present_demand(nodes, statuses);
  bool scarce = total(demand) > static_cast<double>(context.rate);
  auto max_absence = context.bound * (scarce ? kAwayBoundsScarce : kAwayBounds);
  double known_rate = 0, known_quota = 0;  // of the nodes with a quota whose demand is known
  for (const auto& [name, quota] : quotas.milli_requests())
    if (const auto& node = nodes[name]; node.rate) {
      known_rate += *node.rate;
      known_quota += quota;
    }
  double rate_of_quota = known_quota > 0 ? known_rate / known_quota : kPerMilliRequest;
  for (const auto& [name, quota] : quotas.milli_requests()) {
    auto& node = nodes[name];
    if (node.present_at == TimePoint(0)) node.present_at = context.now;
    bool expected_back = context.now - node.present_at < max_absence;
    if (!demand.count(name) && !expected_back) continue;
    // A node whose demand is not known is asked for as much as its quota says.
    demand[name] = node.rate.value_or(quota * rate_of_quota);
  }
  return demand;
}

}  // namespace dunlinwing::limits
