#include "proxy/routing_snapshot.hpp"

#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::proxy {
namespace {
// The two counts within a result of purge_number().
constexpr uint64_t kServiceCountMask = 0xffffffff;
constexpr int kAllServicesShift = 32;

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Whether the configuration and the recorded state allow a version to serve requests.
bool is_allowed(const config::ServiceConfiguration& service, const pb::ServiceState* state,
                const std::string& version) {
  return !version.empty() && (service.versions.empty() || contains(service.versions, version)) &&
         !(state && state->quarantined().count(version));
}

// The first allowed version in the configuration, for a service without a current version; empty: none.
std::string configured_version(const config::ServiceConfiguration& service, const pb::ServiceState* state) {
  for (const auto& version : service.versions)
    if (is_allowed(service, state, version) && !(state && state->canary() == version)) return version;
  return {};
}

const pb::PurgeSet* find_purges(const RoutingSnapshot& snapshot, const std::string& key) {
  auto found = snapshot.purges.find(key);
  return found == snapshot.purges.end() ? nullptr : &found->second;
}

bool matches(const pb::Purge& purge, const PurgeTarget& response, std::string_view path) {
  if (purge.kind() == "service") return true;
  if (!purge.host().empty() && !base::equals_ignore_case(purge.host(), response.host)) return false;
  if (purge.kind() == "prefix") return path.substr(0, purge.path().size()) == purge.path();
  if (purge.kind() == "path") return path == purge.path() || response.target == purge.path();
  return purge.kind() == "tag" && response.tags &&
         std::binary_search(response.tags->begin(), response.tags->end(), purge.path());
}

bool matches_any(const pb::PurgeSet& purges, const PurgeTarget& response, uint64_t since) {
  if (purges.number() <= since) return false;
  const auto path = response.target.substr(0, response.target.find('?'));
  for (const auto& purge : purges.purges()) {
    if (purge.number() <= since) continue;
    if (matches(purge, response, path)) return true;
  }
  return false;
}
}  // namespace

void finalize_snapshot(RoutingSnapshot& snapshot) {
  for (const auto& service : snapshot.aborted_canaries)
    if (auto found = snapshot.service_states.find(service); found != snapshot.service_states.end())
      found->second.set_switching(false);
  for (const auto& [service, instances] : snapshot.backend_instances) {
    auto& state = snapshot.service_states[service];
    if (!state.current().empty()) continue;
    std::set<std::string> versions;
    for (const auto& instance : instances) versions.insert(instance.version);
    state.clear_previous_versions();
    for (const auto& version : versions) state.add_previous_versions(version);
  }
}

EligibleVersions eligible_versions(const config::ServiceConfiguration& service,
                                   const pb::ServiceState* state) {
  EligibleVersions eligible;
  auto allowed = [&](const std::string& version) { return is_allowed(service, state, version); };
  if (state && state->switching() && allowed(state->canary())) {
    eligible.open.push_back(state->canary());
    return eligible;
  }
  // Once a version is current, a configuration that does not list it does not put another into service.
  bool has_current = state && !state->current().empty();
  std::string preferred = has_current && allowed(state->current()) ? state->current() : std::string();
  if (!has_current) preferred = configured_version(service, state);
  if (!preferred.empty()) eligible.open.push_back(preferred);
  if (!state) return eligible;
  bool use_previous =
      has_current ? !state->deadline_ms() || state->canary().empty() : service.versions.empty();
  if (use_previous)
    for (const auto& version : state->previous_versions())
      if (allowed(version) && version != preferred && version != state->canary())
        eligible.open.push_back(version);
  if (allowed(state->canary())) eligible.canary = state->canary();
  return eligible;
}

bool is_superseded(const RoutingSnapshot& snapshot, const std::string& node_name, uint64_t generation) {
  if (snapshot.configuration_number) return snapshot.configuration_number > generation;
  auto found = snapshot.assigned_generations.find(node_name);
  return found != snapshot.assigned_generations.end() && found->second > generation;
}

uint64_t purge_number(const RoutingSnapshot& snapshot, const std::string& service) {
  const auto* own = find_purges(snapshot, service);
  const auto* all = find_purges(snapshot, kAllServices);
  return (own ? own->number() : 0) | (all ? all->number() << kAllServicesShift : 0);
}

uint64_t min_purge_number(uint64_t first, uint64_t second) {
  return std::min(first & kServiceCountMask, second & kServiceCountMask) |
         (std::min(first >> kAllServicesShift, second >> kAllServicesShift) << kAllServicesShift);
}

bool is_purged_since(const RoutingSnapshot& snapshot, const PurgeTarget& response, uint64_t since) {
  const auto* own = find_purges(snapshot, std::string(response.service));
  const auto* all = find_purges(snapshot, kAllServices);
  return (own && matches_any(*own, response, since & kServiceCountMask)) ||
         (all && matches_any(*all, response, since >> kAllServicesShift));
}

}  // namespace dunlinwing::proxy
