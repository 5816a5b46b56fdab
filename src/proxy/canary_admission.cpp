#include "proxy/canary_admission.hpp"

#include <algorithm>

#include "limits/retry_budget.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr int64_t kOneRequest = 100;  // shares are counted in hundredths
}  // namespace

CanaryAdmission::ShareParameters CanaryAdmission::share_parameters(const RoutingSnapshot& snapshot,
                                                                   const std::string& service,
                                                                   const pb::ServiceState& state) {
  const auto allowed = static_cast<int>(snapshot.system.canary_percent);
  if (!state.deadline_ms()) return {.percent = allowed};
  ShareParameters parameters{.percent = std::min(allowed, static_cast<int>(state.percent()))};
  parameters.is_warm = parameters.percent >= std::min(allowed, canary::kDeadlinePercent);
  if (parameters.is_warm)
    parameters.initial_credit = limits::allowance_of_node(
        canary::kInitialCredit, {snapshot.nodes, snapshot.rank, snapshot.demand_share(service)});
  return parameters;
}

void CanaryAdmission::record_request(const RoutingSnapshot& snapshot, const std::string& service) {
  auto state = snapshot.service_states.find(service);
  if (state == snapshot.service_states.end() || state->second.canary().empty()) return;
  earn(service, state->second.canary_number(), state->second.canary(),
       share_parameters(snapshot, service, state->second));
}

std::vector<membership::BackendInstance> CanaryAdmission::admit(const RoutingSnapshot& snapshot,
                                                                const std::string& service,
                                                                const std::string& version,
                                                                const std::string& route) {
  auto state = snapshot.service_states.find(service);
  auto instances = snapshot.backend_instances.find(service);
  if (version.empty() || state == snapshot.service_states.end() ||
      instances == snapshot.backend_instances.end() || snapshot.aborted_canaries.count(service))
    return {};
  const bool has_deadline = state->second.deadline_ms() > 0;
  auto canaries = canary::canary_instances(instances->second, version, has_deadline);
  if (canaries.empty()) return {};
  if (!admit(service, state->second.canary_number(), version, has_deadline ? route : std::string(),
             share_parameters(snapshot, service, state->second)))
    return {};
  if (!has_deadline) return canaries;
  auto number = next_warm_instance(service, snapshot.rank);
  if (!number) return canaries;
  auto warm = canary::instance_in_turn(instances->second, version, *number);
  return warm.empty() ? canaries : warm;
}

// Nothing until the initial credit is spent. The rank makes nodes that send few canary requests start at
// different instances.
std::optional<uint64_t> CanaryAdmission::next_warm_instance(const std::string& service, int rank) {
  const std::lock_guard lock(mutex_);
  auto& share = shares_[service];
  if (!share.initial_credit_spent) return {};
  return share.next_warm_instance++ + static_cast<uint64_t>(rank);
}

CanaryAdmission::Share& CanaryAdmission::share_of(const std::string& service, uint64_t number,
                                                  const std::string& version) {
  auto& share = shares_[service];
  if (share.number != number || share.version != version) share = {number, version};
  return share;
}

void CanaryAdmission::earn(const std::string& service, uint64_t number, const std::string& version,
                           ShareParameters parameters) {
  const std::lock_guard lock(mutex_);
  auto& share = share_of(service, number, version);
  share.earned += parameters.percent;
}

bool CanaryAdmission::admit(const std::string& service, uint64_t number, const std::string& version,
                            const std::string& route, ShareParameters parameters) {
  const std::lock_guard lock(mutex_);
  auto& share = share_of(service, number, version);
  if (parameters.initial_credit && !share.initial_credit_given) {
    share.earned += parameters.initial_credit * kOneRequest;
    share.initial_credit_given = true;
  }
  auto& requests_of_route = share.requests_by_route[route];
  if (share.earned < kOneRequest) {
    share.initial_credit_spent |= parameters.is_warm;
    return false;
  }
  const bool has_fewest = std::all_of(share.requests_by_route.begin(), share.requests_by_route.end(),
                                      [&](const auto& entry) { return requests_of_route <= entry.second; });
  // One request of the share is reserved for a route with fewer canary requests.
  if (!has_fewest && share.earned < 2 * kOneRequest) return false;
  share.earned -= kOneRequest;
  ++requests_of_route;
  return true;
}

}  // namespace dunlinwing::proxy
