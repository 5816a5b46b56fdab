#include "rollout/fleet_observer.hpp"

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
constexpr double kMinWeight = 0.002;   // of the latest observation in the average: a span of two minutes
constexpr uint64_t kMinSamples = 240;  // observations (one minute) before the average counts as usual
constexpr double kMsPerSecond = 1000;
constexpr double kThousandths = 1000;  // unit of usual heartbeats, since one observation may expect below one
constexpr std::string_view kReleasePrefix = "release/";
constexpr std::string_view kOperatorActionPrefix = "act/";

uint64_t increase(uint64_t before, uint64_t now) { return now > before ? now - before : 0; }

// The wall-clock time of the fleet: the median of the replicas' clocks, which tolerates one wrong clock.
std::optional<int64_t> median_wall_clock(const std::vector<membership::Member>& members) {
  std::vector<int64_t> clocks;
  for (const auto& member : members)
    if (member.info.replica() && member.info.wall_ms())
      clocks.push_back(member.info.wall_ms() + member.age.count());
  if (clocks.empty()) return {};
  std::sort(clocks.begin(), clocks.end());
  return clocks[(clocks.size() - 1) / 2];
}

void describe(const pb::NodeStatus& status, const pb::LeaderLease& lease, NodeObservation& node) {
  const auto& info = status.node();
  node.zone = info.zone();
  node.present = !info.leaving();
  node.drained = info.drained();
  node.is_stateful = info.replica() || node.name == lease.leader() || node.name == lease.standby();
  for (const auto& [kind, release] : info.running()) node.running[kind] = release;
  node.load_error = info.load_error();
}
}  // namespace

void AverageHeartbeatRate::add_sample(double per_second) {
  ++observations_;
  per_second_ += std::max(kMinWeight, 1.0 / static_cast<double>(observations_)) * (per_second - per_second_);
}

bool AverageHeartbeatRate::has_enough_samples() const { return observations_ >= kMinSamples; }

FleetObserver::FleetObserver(membership::StateCache& state_cache, membership::Leadership& leadership,
                             HealthProber& prober, Duration bound)
    : state_cache_(state_cache), leadership_(leadership), prober_(prober), bound_(bound) {}

FleetObservation FleetObserver::observe(TimePoint now, Duration elapsed, const pb::RolloutState& state,
                                        const config::QuietHours& quiet_hours) {
  FleetObservation observation;
  observation.elapsed = elapsed;
  const auto wall = median_wall_clock(state_cache_.statuses().members(now));
  observation.in_quiet_hours = wall && quiet_hours.contains(*wall);
  observation.nodes = observe_nodes(now, state);
  read_registers(observation);
  return observation;
}

std::vector<NodeObservation> FleetObserver::observe_nodes(TimePoint now, const pb::RolloutState& state) {
  std::map<std::string, NodeObservation> nodes;
  for (const auto& [name, assignment] : state.nodes()) {
    nodes[name].name = name;
    nodes[name].zone = assignment.zone();
  }
  const double seconds =
      last_observation_ == TimePoint(0)
          ? 0
          : static_cast<double>(std::min<Duration>(now - last_observation_, bound_).count()) / kMsPerSecond;
  const auto lease = leadership_.known_lease();
  for (const auto& [name, status] : state_cache_.statuses().live_statuses(now)) {
    if (status.node().zone().empty()) continue;
    auto& node = nodes[name];
    node.name = name;
    describe(status, lease, node);
    count(status, seconds, is_on_active_release(state, name), node);
  }
  last_observation_ = now;
  std::vector<NodeObservation> result;
  result.reserve(nodes.size());
  for (auto& [name, node] : nodes) result.push_back(std::move(node));
  return result;
}

// Fills in the increases of the node's counters since its previous status.
void FleetObserver::count(const pb::NodeStatus& status, double seconds, bool on_active_release,
                          NodeObservation& node) {
  NodeCounters latest;
  latest.incarnation = status.version().incarnation();
  latest.heartbeats = status.heartbeats_accepted();
  for (const auto& release : status.release_counts()) {
    latest.requests += release.requests();
    latest.failures += release.failures();
  }
  auto& known = counters_[node.name];
  const bool comparable = known.incarnation == latest.incarnation;
  if (comparable) {
    node.requests = increase(known.requests, latest.requests);
    node.failures = increase(known.failures, latest.failures);
    node.heartbeats = increase(known.heartbeats, latest.heartbeats);
  }
  latest.heartbeat_rate = known.heartbeat_rate;
  const bool updates_rate = !on_active_release && seconds > 0 && comparable;
  if (updates_rate) latest.heartbeat_rate.add_sample(static_cast<double>(node.heartbeats) / seconds);
  if ((on_active_release || updates_rate) && latest.heartbeat_rate.has_enough_samples())
    node.heartbeats_usual =
        static_cast<uint64_t>(latest.heartbeat_rate.per_second() * seconds * kThousandths);
  known = latest;
  const auto checks = prober_.take_counts(node.name);
  node.checks_passed = checks.passed;
  node.checks_failed = checks.failed;
}

void FleetObserver::read_registers(FleetObservation& observation) {
  for (const auto& [key, value] : state_cache_.chosen()) {
    if (key.starts_with(kReleasePrefix)) {
      read_release(key, value.data);
    } else if (key.starts_with(kOperatorActionPrefix)) {
      const auto release_key = std::string(kReleasePrefix) + key.substr(kOperatorActionPrefix.size());
      observation.operator_actions[release_key].ParseFromString(value.data);
    }
  }
  observation.releases = releases_;
}

void FleetObserver::read_release(const std::string& key, const std::string& document) {
  if (releases_.count(key)) return;
  const auto path = key.substr(kReleasePrefix.size());
  const auto slash = path.find('/');
  auto result = config::parse_release(path.substr(0, slash), path.substr(slash + 1), document);
  if (auto* release = std::get_if<config::Release>(&result)) releases_[key] = std::move(*release);
}

}  // namespace dunlinwing::rollout
