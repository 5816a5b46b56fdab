#include "rollout/version_initializer.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log logger("rollout");
constexpr int kGoneBounds = 5;  // after the heartbeats have stopped: a crash of all instances may be shorter

InstanceCountsByVersion count_instances(const BackendInstances& instances, const std::string& service) {
  InstanceCountsByVersion counts;
  for (const auto& [name, instance] : instances)
    if (!instance.gone && instance.heartbeat.service() == service) ++counts[instance.heartbeat.version()];
  return counts;
}

// The first version with the highest count; empty if there is none.
std::string most_common(const InstanceCountsByVersion& counts) {
  auto most = std::max_element(counts.begin(), counts.end(),
                               [](auto& left, auto& right) { return left.second < right.second; });
  return most == counts.end() ? std::string() : most->first;
}
}  // namespace

std::string most_common_version(const BackendInstances& instances, const std::string& service,
                                const std::string& except) {
  auto counts = count_instances(instances, service);
  const bool excepted = counts.erase(except) > 0;
  auto version = most_common(counts);
  return version.empty() && excepted ? except : version;
}

VersionInitializer::VersionInitializer(base::Clock& clock, consensus::RegisterClient& registers,
                                       membership::StateCache& state_cache,
                                       const membership::LeadershipFence& fence, Duration bound)
    : clock_(clock), registers_(registers), state_cache_(state_cache), fence_(fence), bound_(bound) {}

void VersionInitializer::reset() {
  completed_configuration_.clear();
  gone_since_.clear();
}

void VersionInitializer::tick(std::shared_ptr<const config::RoutingConfiguration> configuration) {
  if (!configuration) return;
  configuration_ = std::move(configuration);
  if (completed_configuration_ != configuration_->name) {
    const auto progress = record_versions();
    if (progress != Progress::failed && clear_removed_services() && progress == Progress::complete)
      completed_configuration_ = configuration_->name;
  }
  const auto instances = state_cache_.statuses().backend_instances(clock_.now());
  for (const auto& [name, service] : configuration_->services)
    if (service.versions.empty()) replace_if_gone(name, instances);
}

VersionInitializer::RecordedState VersionInitializer::read(const std::string& service) const {
  RecordedState recorded;
  auto found = state_cache_.chosen().find(service_key(service));
  if (found == state_cache_.chosen().end()) return recorded;
  recorded.version = found->second.version;
  if (recorded.version) recorded.state.ParseFromString(found->second.data);
  return recorded;
}

bool VersionInitializer::write(const std::string& service, RecordedState recorded) {
  return fence_
      .write(registers_, service_key(service), recorded.version, recorded.state.term(), recorded.state)
      .has_value();
}

VersionInitializer::Progress VersionInitializer::record_versions() {
  const auto instances = state_cache_.statuses().backend_instances(clock_.now());
  auto progress = Progress::complete;
  for (const auto& [name, service] : configuration_->services) {
    auto recorded = read(name);
    if (!recorded.state.current().empty()) continue;
    const auto& canary = recorded.state.canary();
    const bool as_reported = service.versions.empty();
    const auto version =
        as_reported ? most_common_version(instances, name, canary) : service.versions.front();
    if (version.empty() || version == canary) {
      progress = Progress::incomplete;
      continue;
    }
    recorded.state.set_current(version);
    if (!write(name, std::move(recorded))) return Progress::failed;
    if (as_reported)
      logger.info("Service {}: version {} is now in place, as reported by its backend instances.", name,
                  version);
  }
  return progress;
}

// Clears the current version of services that are no longer configured, so that a service that is added
// again starts without one.
bool VersionInitializer::clear_removed_services() {
  const auto prefix = service_key("");
  const auto chosen = state_cache_.chosen();  // a copy, since it may change while a write waits
  for (const auto& [key, value] : chosen) {
    if (!key.starts_with(prefix)) continue;
    const auto service = key.substr(prefix.size());
    RecordedState recorded{value.version, {}};
    if (configuration_->services.count(service) || !recorded.state.ParseFromString(value.data) ||
        recorded.state.current().empty())
      continue;
    recorded.state.clear_current();
    recorded.state.clear_previous_versions();
    drop_canary(recorded.state);
    if (!write(service, std::move(recorded))) return false;
  }
  return true;
}

void VersionInitializer::replace_if_gone(const std::string& service, const BackendInstances& instances) {
  auto recorded = read(service);
  const auto current = recorded.state.current();
  auto counts = count_instances(instances, service);
  for (const auto& [version, reason] : recorded.state.quarantined()) counts.erase(version);
  if (current.empty() || !recorded.state.canary().empty() || counts.empty() || counts.count(current)) {
    gone_since_.erase(service);
    return;
  }
  auto [since, is_new] = gone_since_.emplace(service, clock_.now());
  if (is_new)
    logger.warn(
        "Service {}: no backend instance of version {} sends heartbeats; instances of other versions do.",
        service, current);
  if (clock_.now() - since->second < bound_ * kGoneBounds) return;
  const auto version = most_common(counts);
  logger.warn("Service {}: version {} replaces {}, whose backend instances are gone.", service, version,
              current);
  recorded.state.set_current(version);
  if (write(service, std::move(recorded))) gone_since_.erase(service);
}

}  // namespace dunlinwing::rollout
