#include "node/snapshot_builder.hpp"

#include <algorithm>

namespace dunlinwing::node {
namespace {
// A register's name consists of a prefix for its purpose and the service.
constexpr std::string_view kServiceStatePrefix = "service/";
constexpr std::string_view kRateQuotaPrefix = "share/";
constexpr std::string_view kPurgePrefix = "purge/";

constexpr double kMilli = 1000;

// A link counts as fast from this fraction of the fastest one's rate.
constexpr double kFastLinkFraction = 0.5;

/// The key without the prefix; nothing when it does not begin with it.
std::optional<std::string> without_prefix(const std::string& key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return {};
  return key.substr(prefix.size());
}

/// The age of the most recent heartbeat from each address.
std::map<std::string, Duration> youngest_heartbeats(
    const std::map<std::string, membership::BackendInstanceStatus>& instances) {
  std::map<std::string, Duration> youngest;
  for (const auto& [instance, status] : instances) {
    const auto [found, inserted] = youngest.emplace(status.heartbeat.address(), status.age);
    if (!inserted) found->second = std::min(found->second, status.age);
  }
  return youngest;
}

membership::BackendInstance backend_instance(const std::string& instance,
                                             const membership::BackendInstanceStatus& status, TimePoint now) {
  const pb::Heartbeat& heartbeat = status.heartbeat;
  const TimePoint cold_until =
      heartbeat.warm_up_ms() > 0 ? now - status.age + Duration(heartbeat.warm_up_ms()) : TimePoint(0);
  return {instance,         heartbeat.service(), heartbeat.version(),
          heartbeat.zone(), heartbeat.address(), static_cast<int>(heartbeat.capacity()),
          cold_until};
}
}  // namespace

SnapshotBuilder::SnapshotBuilder(std::string node_name, TimePoint now)
    : node_name_(std::move(node_name)), now_(now), snapshot_(std::make_shared<proxy::RoutingSnapshot>()) {}

void SnapshotBuilder::set_running(const RunningConfiguration& running) {
  snapshot_->configuration = running.configuration;
  snapshot_->system = running.system;
  snapshot_->generation = running.generation;
  snapshot_->configuration_number = running.configuration_number;
}

void SnapshotBuilder::set_rollout(const pb::RolloutState& rollout) {
  snapshot_->nodes = std::max<int>(rollout.nodes_size(), 1);
  for (const auto& [node, assignment] : rollout.nodes()) {
    snapshot_->assigned_generations[node] = assignment.generation();
    if (node < node_name_) ++snapshot_->rank;
  }
}

void SnapshotBuilder::set_configurations(ConfigurationMap configurations) {
  snapshot_->configurations = std::move(configurations);
}

void SnapshotBuilder::add_backend_instances(
    const std::map<std::string, membership::BackendInstanceStatus>& instances) {
  const auto youngest = youngest_heartbeats(instances);
  for (const auto& [instance, status] : instances) {
    if (status.gone || status.age > youngest.at(status.heartbeat.address())) continue;
    live_instances_.push_back(instance);
    snapshot_->backend_instances[status.heartbeat.service()].push_back(
        backend_instance(instance, status, now_));
  }
}

void SnapshotBuilder::add_register_values(const membership::ChosenValues& chosen) {
  for (const auto& [key, value] : chosen) {
    if (const auto service = without_prefix(key, kServiceStatePrefix))
      snapshot_->service_states[*service].ParseFromString(value.data);
    else if (const auto limited_service = without_prefix(key, kRateQuotaPrefix))
      add_rate_quota(*limited_service, value.data);
    else if (const auto purged_service = without_prefix(key, kPurgePrefix))
      snapshot_->purges[*purged_service].ParseFromString(value.data);
  }
}

void SnapshotBuilder::add_rate_quota(const std::string& service, const std::string& data) {
  pb::RateQuotas quotas;
  quotas.ParseFromString(data);
  const auto found = quotas.milli_requests().find(node_name_);
  if (found != quotas.milli_requests().end()) snapshot_->rate_quotas[service] = found->second / kMilli;
}

void SnapshotBuilder::add_shields(const std::vector<membership::Member>& members) {
  double fastest = 0;
  bool has_dedicated = false;
  for (const auto& member : members) {
    if (!member.info.ready()) continue;
    fastest = std::max(fastest, member.info.link_mbps());
    has_dedicated |= member.info.shield();
  }
  for (const auto& member : members) {
    const bool fetches =
        has_dedicated ? member.info.shield() : member.info.link_mbps() >= fastest * kFastLinkFraction;
    if (member.info.ready() && fetches)
      snapshot_->shields.push_back({member.name, member.info.peer_address()});
  }
  for (const auto& shield : snapshot_->shields)
    if (has_dedicated && shield.name == node_name_)
      snapshot_->shield_share = 1.0 / static_cast<double>(snapshot_->shields.size());
}

void SnapshotBuilder::set_demand_shares(std::map<std::string, limits::DemandShare> shares) {
  snapshot_->demand_shares = std::move(shares);
}

proxy::RoutingSnapshotPtr SnapshotBuilder::build(const std::set<std::string>& aborted_canaries) {
  if (snapshot_->configuration)
    snapshot_->configurations[snapshot_->configuration->name] = snapshot_->configuration;
  snapshot_->aborted_canaries = aborted_canaries;
  proxy::finalize_snapshot(*snapshot_);
  return std::move(snapshot_);
}

}  // namespace dunlinwing::node
