#include "limits/rate_quotas.hpp"

#include <algorithm>
#include <cmath>

namespace dunlinwing::limits {
namespace {
constexpr double kMaxAllocated = 0.97, kMinAllocated = 0.5;  // fractions of the rate
constexpr double kRateWithMargin = 1.1;  // times the rate: the limit over any five seconds
constexpr double kMarginSeconds = 5;     // period in which each node may be early by one request
constexpr double kMinRatePerNode = 2.5;  // requests per second; with less, fewer nodes get a quota
constexpr double kEvenShare = 0.1;       // fraction split evenly, so that no node has to start at zero
constexpr double kMinChange = 0.15;      // fraction of a quota; smaller changes are not worth a write
constexpr double kHeadroom = 1.3;        // quota that a node should have, as a multiple of its demand
constexpr uint32_t kMilli = 1000;        // quotas are in thousandths of a request per second

using QuotaByNode = std::map<std::string, uint32_t>;

struct NodeRate {
  std::string node;
  double rate;
};

/// Selects the nodes that get a quota: those with the highest demand.
std::vector<NodeRate> select_nodes(const QuotaInput& input) {
  std::vector<NodeRate> nodes;
  nodes.reserve(input.demand.size());
  for (const auto& [node, rate] : input.demand) nodes.push_back({node, rate});
  std::stable_sort(nodes.begin(), nodes.end(),
                   [](const NodeRate& left, const NodeRate& right) { return left.rate > right.rate; });
  auto limit = static_cast<size_t>(static_cast<double>(input.rate) / kMinRatePerNode);
  if (nodes.size() > std::max<size_t>(1, limit)) nodes.resize(std::max<size_t>(1, limit));
  return nodes;
}

/// The target quotas for the given demand.
QuotaByNode target_quotas(const QuotaInput& input) {
  auto nodes = select_nodes(input);
  auto rate = static_cast<double>(input.rate);
  auto count = static_cast<double>(nodes.size());
  double total = 0;
  for (const auto& node : nodes) total += node.rate;
  double allocated = std::max(
      rate * kMinAllocated, std::min(rate * kMaxAllocated, rate * kRateWithMargin - count / kMarginSeconds));
  QuotaByNode quotas;
  for (const auto& node : nodes) {
    double share = total > 0 ? kEvenShare / count + (1 - kEvenShare) * node.rate / total : 1 / count;
    quotas[node.node] = static_cast<uint32_t>(std::floor(share * allocated * kMilli));
  }
  return quotas;
}

/// Whether the demand at some node exceeds its quota and its target is higher. Otherwise nothing changes: no
/// quota may rise for a bound after one has fallen, and with many nodes some would always fall a little.
bool is_change_needed(const QuotaByNode& targets, const QuotaInput& input, const pb::RateQuotas& quotas) {
  if (quotas.rate() != static_cast<uint32_t>(input.rate)) return true;
  return std::any_of(targets.begin(), targets.end(), [&](const auto& entry) {
    const auto& [node, target] = entry;
    const auto found = quotas.milli_requests().find(node);
    if (found == quotas.milli_requests().end()) return true;
    return target > found->second * (1 + kMinChange) &&
           input.demand.at(node) * kHeadroom * kMilli > found->second;
  });
}

/// Lowers quotas that are far above their target, or all that are above it if the rate itself has fallen.
bool decrease(const QuotaByNode& targets, int64_t rate, pb::RateQuotas& quotas) {
  bool rate_fell = quotas.rate() > static_cast<uint32_t>(rate);
  bool decreased = false;
  auto before = quotas.milli_requests();
  auto& after = *quotas.mutable_milli_requests();
  for (const auto& [node, quota] : before) {
    auto found = targets.find(node);
    uint32_t target = found == targets.end() ? 0 : found->second;
    if (target >= quota || (!rate_fell && target != 0 && target >= quota * (1 - kMinChange))) continue;
    after[node] = target;
    decreased = true;
  }
  if (!decreased) return false;
  for (const auto& [node, quota] : before)
    if (!after[node]) after.erase(node);
  return true;
}

/// The most that `node_count` nodes may have together, in thousandths: each may be early by one request.
uint64_t max_allocated(int64_t rate, size_t node_count) {
  const auto whole = static_cast<double>(rate);
  const double with_margin = whole * kRateWithMargin - static_cast<double>(node_count) / kMarginSeconds;
  return static_cast<uint64_t>(std::max(0.0, std::min(whole, with_margin)) * kMilli);
}

/// Raises quotas that are far below their target, as far as the rate allows.
bool increase(const QuotaByNode& targets, int64_t rate, pb::RateQuotas& quotas) {
  auto& milli_requests = *quotas.mutable_milli_requests();
  uint64_t sum = 0;
  for (const auto& [node, quota] : milli_requests) sum += quota;
  bool increased = false;
  for (const auto& [node, target] : targets) {
    auto found = milli_requests.find(node);
    uint32_t quota = found == milli_requests.end() ? 0 : found->second;
    if (target <= quota * (1 + kMinChange)) continue;
    const size_t node_count = milli_requests.size() + (quota == 0);
    const uint64_t limit = max_allocated(rate, node_count);
    auto added = std::min<uint64_t>(target - quota, limit > sum ? limit - sum : 0);
    if (!added) continue;
    milli_requests[node] = static_cast<uint32_t>(quota + added);
    sum += added;
    increased = true;
  }
  return increased;
}
}  // namespace

std::string quota_key(const std::string& service) { return "share/" + service; }

QuotaStep next_quotas(const pb::RateQuotas& quotas, const QuotaInput& input) {
  QuotaStep step{quotas, QuotaChange::none};
  auto targets = target_quotas(input);
  if (!is_change_needed(targets, input, quotas)) return step;
  // For a bound after a decrease no quota may rise, and no other falls: each decrease would delay the next
  // increase. After that, increases come first.
  const bool rate_fell = quotas.rate() > static_cast<uint32_t>(input.rate);
  const bool may_rise = input.since_decrease >= input.bound;
  if (!rate_fell && may_rise && increase(targets, input.rate, step.quotas))
    step.change = QuotaChange::increased;
  else if ((rate_fell || may_rise) && decrease(targets, input.rate, step.quotas))
    step.change = QuotaChange::decreased;
  else
    return step;
  step.quotas.set_rate(static_cast<uint32_t>(input.rate));
  return step;
}

}  // namespace dunlinwing::limits
