#include "limits/demand_estimator.hpp"

#include <algorithm>

namespace dunlinwing::limits {
namespace {
constexpr double kLatestWeight = 0.3;       // of the latest observation in the smoothed rate
constexpr int kMaxAbsenceBounds = 15;       // a node absent for less is expected back and keeps its quota
constexpr int kMaxAbsenceBoundsNeeded = 1;  // the same, if the other nodes need its quota
constexpr double kPerMilliRequest = 0.001;
constexpr double kHeadroom = 1.4;  // times the demand: the quota with which nodes serve it without waiting

bool is_present(const pb::NodeStatus& status) {
  return !status.node().zone().empty() && !status.node().leaving();
}

/// A node that received no request for the service does not report it; its demand is known to be zero.
uint64_t requested_of(const pb::NodeStatus& status, const std::string& service) {
  for (const auto& counted : status.demands())
    if (counted.service() == service) return counted.requested();
  return 0;
}

/// By node, in thousandths of a request per second. Sorted, so that sums are rounded alike in every run: the
/// order of a protobuf map differs between runs.
std::map<std::string, uint32_t> sorted_quotas(const pb::RateQuotas& quotas) {
  return {quotas.milli_requests().begin(), quotas.milli_requests().end()};
}

double total(const DemandByNode& demand) {
  double sum = 0;
  for (const auto& [node, rate] : demand) sum += rate;
  return sum;
}

/// The quotas of the nodes that are not present, in requests per second.
double quota_of_absent(const pb::RateQuotas& quotas, const DemandByNode& present) {
  double sum = 0;
  for (const auto& [name, quota] : sorted_quotas(quotas))
    if (!present.count(name)) sum += quota * kPerMilliRequest;
  return sum;
}
}  // namespace

void DemandEstimator::observe(const std::string& service, const Statuses& statuses, double seconds,
                              TimePoint now) {
  for (const auto& [name, status] : statuses) {
    if (!is_present(status)) continue;
    auto& node = services_[service][name];
    node.present_at = now;
    const uint64_t requested = requested_of(status, service);
    if (node.incarnation == status.version().incarnation()) {
      const auto requests = requested - std::min(requested, node.requested);
      const double latest = static_cast<double>(requests) / seconds;
      node.rate = node.rate ? *node.rate + kLatestWeight * (latest - *node.rate) : latest;
    }
    node.requested = requested;
    node.incarnation = status.version().incarnation();
  }
}

DemandByNode DemandEstimator::known_demand(const std::string& service, const Statuses& statuses) const {
  DemandByNode demand;
  const auto nodes = services_.find(service);
  if (nodes == services_.end()) return demand;
  for (const auto& [name, status] : statuses) {
    if (!is_present(status)) continue;
    const auto node = nodes->second.find(name);
    demand[name] = node == nodes->second.end() ? 0 : node->second.rate.value_or(0);
  }
  return demand;
}

DemandByNode DemandEstimator::present_demand(const Nodes& nodes, const Statuses& statuses) {
  DemandByNode demand;
  bool shield_ready = false;
  for (const auto& [name, status] : statuses) {
    if (!is_present(status)) continue;
    demand[name] = nodes.at(name).rate.value_or(0);
    shield_ready |= status.node().shield() && status.node().ready();
  }
  // Shields fetch for all nodes: while there is no demand yet, they are expected to receive most of it.
  const bool shields_fetch = shield_ready && demand.size() >= kMinNodesForShields;
  if (shields_fetch && total(demand) < 1)
    for (auto& [name, rate] : demand)
      if (statuses.at(name).node().shield()) rate = 1;
  return demand;
}

DemandByNode DemandEstimator::estimate(const std::string& service, const Statuses& statuses,
                                       const pb::RateQuotas& quotas, const RateContext& context) {
  auto& nodes = services_[service];
  auto demand = present_demand(nodes, statuses);
  const double present_rate = static_cast<double>(context.rate) - quota_of_absent(quotas, demand);
  const bool needed = total(demand) * kHeadroom > present_rate;
  const auto max_absence = context.bound * (needed ? kMaxAbsenceBoundsNeeded : kMaxAbsenceBounds);
  const auto quota_by_node = sorted_quotas(quotas);
  double known_rate = 0, known_quota = 0;  // of the nodes with a quota whose demand is known
  for (const auto& [name, quota] : quota_by_node)
    if (const auto& node = nodes[name]; node.rate) {
      known_rate += *node.rate;
      known_quota += quota;
    }
  double rate_of_quota = known_quota > 0 ? known_rate / known_quota : kPerMilliRequest;
  for (const auto& [name, quota] : quota_by_node) {
    auto& node = nodes[name];
    if (node.present_at == TimePoint(0)) node.present_at = context.now;
    bool expected_back = context.now - node.present_at < max_absence;
    if (!demand.count(name) && !expected_back) continue;
    // If a node's demand is not known, it is derived from its quota.
    demand[name] = node.rate.value_or(quota * rate_of_quota);
  }
  return demand;
}

}  // namespace dunlinwing::limits
