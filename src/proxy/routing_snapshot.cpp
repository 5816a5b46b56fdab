// Which versions may be asked, and what has been purged.
#include "proxy/routing_snapshot.hpp"

#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::proxy {

void finalize_snapshot(RoutingSnapshot& snapshot) {
  for (auto& s : snapshot.aborted_canaries)
    if (auto f = snapshot.service_states.find(s); f != snapshot.service_states.end())
      f->second.set_switching(false);
  for (auto& [name, ws] : snapshot.backend_instances) {
    auto& state = snapshot.service_states[name];
    if (!state.current().empty()) continue;
    std::set<std::string> all;
    for (auto& instance : ws) all.insert(instance.version);
    state.clear_previous_versions();
    for (auto& v : all) state.add_previous_versions(v);
  }
}

EligibleVersions eligible_versions(const config::ServiceConfiguration& service,
                                   const pb::ServiceState* state) {
  EligibleVersions v;
  auto allowed = [&](const std::string& x) {
    return !x.empty() &&
           (service.versions.empty() ||
            std::find(service.versions.begin(), service.versions.end(), x) != service.versions.end()) &&
           !(state && state->quarantined().count(x));
  };
  if (state && state->switching() && allowed(state->canary())) {
    v.open.push_back(state->canary());
    return v;
  }
  // Once a version is in place, a layout that leaves it out takes the service nowhere else.
  bool placed = state && !state->current().empty();
  std::string cur = placed && allowed(state->current()) ? state->current() : std::string();
  if (!placed)
    for (auto& x : service.versions)
      if (allowed(x) && !(state && state->canary() == x)) {
        cur = x;
        break;
      }
  if (!cur.empty()) v.open.push_back(cur);
  if (!state) return v;
  bool tried = !state->canary().empty() && allowed(state->canary());
  if (placed ? !state->deadline_ms() || state->canary().empty() : service.versions.empty())
    for (auto& k : state->previous_versions())
      if (allowed(k) && k != cur && k != state->canary()) v.open.push_back(k);
  if (tried) v.canary = state->canary();
  return v;
}

bool is_superseded(const RoutingSnapshot& snapshot, const std::string& relay, uint64_t generation) {
  if (snapshot.configuration_number) return snapshot.configuration_number > generation;
  auto f = snapshot.assigned_generations.find(relay);
  return f != snapshot.assigned_generations.end() && f->second > generation;
}

namespace {
const pb::PurgeSet* find(const RoutingSnapshot& snapshot, const std::string& key) {
  auto f = snapshot.purges.find(key);
  return f == snapshot.purges.end() ? nullptr : &f->second;
}

bool hit(const pb::PurgeSet& purges, const PurgeTarget& n, uint64_t since) {
  if (purges.number() <= since) return false;
  auto path = n.target.substr(0, n.target.find('?'));
  for (auto& purge : purges.purges()) {
    if (purge.number() <= since) continue;
    if (purge.kind() == "service") return true;
    if (!purge.host().empty() && !base::equals_ignore_case(purge.host(), n.host)) continue;
    if (purge.kind() == "prefix" && path.substr(0, purge.path().size()) == purge.path()) return true;
    if (purge.kind() == "path" && (path == purge.path() || n.target == purge.path())) return true;
    if (purge.kind() == "tag" && n.tags &&
        std::find(n.tags->begin(), n.tags->end(), purge.path()) != n.tags->end())
      return true;
  }
  return false;
}
}  // namespace

uint64_t purge_number(const RoutingSnapshot& snapshot, const std::string& service) {
  auto* s = find(snapshot, service);
  auto* all = find(snapshot, kAllServices);
  return (s ? s->number() : 0) | (all ? all->number() << 32 : 0);  // two counts that only rise
}

uint64_t min_purge_number(uint64_t a, uint64_t b) {
  return std::min(a & 0xffffffff, b & 0xffffffff) | (std::min(a >> 32, b >> 32) << 32);
}

bool purged(const RoutingSnapshot& snapshot, const PurgeTarget& n, uint64_t since) {
  auto* s = find(snapshot, std::string(n.service));
  auto* all = find(snapshot, kAllServices);
  return (s && hit(*s, n, since & 0xffffffff)) || (all && hit(*all, n, since >> 32));
}

}  // namespace dunlinwing::proxy
