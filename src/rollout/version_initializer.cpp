// A version whose workers are all gone for long gives way to another that beats, without
// a trial: nothing serves otherwise, and nobody has asked for a move. It takes ten
// seconds beyond the missing of beats, so that a crash of all is not taken for that.
#include "rollout/version_initializer.hpp"

#include <algorithm>
#include <optional>

#include "base/log.hpp"
#include "rollout/version_rollout.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log logger("rollout");
constexpr int kGoneBounds = 5;
}  // namespace

std::string most_common_version(const BackendInstances& ws, const std::string& service,
                                const std::string& except) {
  std::map<std::string, int> n;
  for (auto& [i, w] : ws)
    if (!w.gone && w.heartbeat.service() == service) ++n[w.heartbeat.version()];
  std::string best;
  for (auto& [v, k] : n)
    if (v != except && (best.empty() || k > n[best])) best = v;
  return best.empty() && n.count(except) ? except : best;
}

struct VersionInitializer::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  Duration bound;
  std::string settled;  // the layout of which all is known to be in place
  std::shared_ptr<const config::RoutingConfiguration> now;
  const membership::LeadershipFence* fence = nullptr;  // of the tick under way
  std::map<std::string, TimePoint> gone;               // since when no worker of the version in place beats

  pb::ServiceState state(const std::string& name, uint64_t& version) {
    pb::ServiceState st;
    auto h = state_cache.chosen().find(service_key(name));
    version = h == state_cache.chosen().end() ? 0 : h->second.version;
    if (version) st.ParseFromString(h->second.data);
    return st;
  }
  bool write(const std::string& name, uint64_t version, pb::ServiceState state) {
    return fence->write(registers, service_key(name), version, state.term(), state).has_value();
  }

  void settle() {
    auto ws = state_cache.statuses().backend_instances(ports.clock.now());
    bool all = true;
    for (auto& [name, s] : now->services) {
      uint64_t version = 0;
      auto st = state(name, version);
      if (!st.current().empty()) continue;
      auto v = s.versions.empty() ? most_common_version(ws, name, st.canary()) : s.versions.front();
      if (v.empty() || v == st.canary()) {
        all = false;  // none beats yet
        continue;
      }
      st.set_current(v);
      if (!write(name, version, st)) return;  // the next tick looks again
      if (s.versions.empty()) logger.info("Service {}: version {} is in place, as its workers say.", name, v);
    }
    for (auto& [k, h] : membership::ChosenValues(state_cache.chosen())) {
      pb::ServiceState st;
      if (!k.starts_with("service/") || now->services.count(k.substr(8)) || !st.ParseFromString(h.data) ||
          st.current().empty())
        continue;
      st.clear_current();
      st.clear_previous_versions();
      drop_canary(st);
      if (!write(k.substr(8), h.version, st)) return;
    }
    if (all) settled = now->name;
  }

  void replace() {
    auto ws = state_cache.statuses().backend_instances(ports.clock.now());
    for (auto& [name, s] : now->services) {
      if (!s.versions.empty()) continue;
      uint64_t version = 0;
      auto st = state(name, version);
      std::map<std::string, int> n;
      for (auto& [i, w] : ws)
        if (!w.gone && w.heartbeat.service() == name && !st.quarantined().count(w.heartbeat.version()))
          ++n[w.heartbeat.version()];
      if (st.current().empty() || !st.canary().empty() || n.empty() || n.count(st.current())) {
        gone.erase(name);
        continue;
      }
      auto [f, fresh] = gone.emplace(name, ports.clock.now());
      if (fresh)
        logger.warn("Service {}: no worker of version {} beats any more, and others do.", name, st.current());
      if (ports.clock.now() - f->second < bound * kGoneBounds) continue;
      auto to =
          std::max_element(n.begin(), n.end(), [](auto& a, auto& b) { return a.second < b.second; })->first;
      logger.warn("Service {}: version {} takes the place of {}, which is gone.", name, to, st.current());
      st.set_current(to);
      if (write(name, version, st)) gone.erase(name);
    }
  }
};

VersionInitializer::VersionInitializer(base::Ports& ports, consensus::RegisterClient& registers,
                                       membership::StateCache& state_cache, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, bound, {}, {}, nullptr, {}}) {}
VersionInitializer::~VersionInitializer() = default;

void VersionInitializer::reset() {
  impl_->settled.clear();
  impl_->gone.clear();
}

void VersionInitializer::tick(std::shared_ptr<const config::RoutingConfiguration> layout,
                              const membership::LeadershipFence& fence) {
  auto& impl = *impl_;
  if (!layout) return;
  impl.fence = &fence;
  impl.now = std::move(layout);
  if (impl.settled != impl.now->name) impl.settle();
  impl.replace();
}

}  // namespace dunlinwing::rollout
