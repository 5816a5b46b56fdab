#include "rollout/health_prober.hpp"

#include <algorithm>

#include "rollout/release_state_machine.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr size_t kComparisonNodes = 3;  // nodes on no active release that are checked for comparison
}  // namespace

HealthProber::HealthProber(base::Ports& ports, membership::StateCache& state_cache, Duration bound)
    : ports_(ports), state_cache_(state_cache), bound_(bound), counts_(std::make_shared<CountsByNode>()) {}

void HealthProber::probe(const pb::RolloutState& state) {
  std::vector<membership::Member> checked, others;
  for (auto& member : state_cache_.statuses().members(ports_.clock.now())) {
    if (member.info.drained() || !state.nodes().count(member.name)) continue;
    (is_on_active_release(state, member.name) ? checked : others).push_back(std::move(member));
  }
  if (checked.empty()) return;
  const auto count = std::min(kComparisonNodes, others.size());
  for (size_t i = 0; i < count; ++i) checked.push_back(others[next_comparison_++ % others.size()]);
  for (const auto& member : checked) start_check(member);
}

void HealthProber::start_check(const membership::Member& node) {
  ports_.tasks.spawn([&peers = ports_.peers, limit = bound_ / 2, node, weak_counts = std::weak_ptr(counts_)] {
    auto counts = weak_counts.lock();
    if (!counts) return;
    pb::PeerRequest request;
    request.mutable_health_check();
    auto result = peers.call(node.info.peer_address(), request, limit);
    const auto* response = as<pb::PeerResponse>(result);
    const bool passed = response && response->has_health_check() && response->health_check().ready() &&
                        response->health_check().unreachable().empty();
    auto& node_counts = (*counts)[node.name];
    ++(passed ? node_counts.passed : node_counts.failed);
  });
}

HealthCheckCounts HealthProber::take_counts(const std::string& node) {
  auto taken = counts_->extract(node);
  return taken.empty() ? HealthCheckCounts{} : taken.mapped();
}

}  // namespace dunlinwing::rollout
