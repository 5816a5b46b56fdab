// After each good pull the tables of the data plane are built anew from what
// is chosen and swapped whole. A layout is loaded whole or not at all; the
// generation shown never falls.
#include "node/node.hpp"

#include <atomic>

#include "base/log.hpp"
#include "canary/canary_analysis.hpp"
#include "config/numbered_configuration.hpp"
#include "membership/deregistered.hpp"
#include "membership/discovery.hpp"
#include "membership/replica_repair.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");
}

struct Node::Impl {
  base::Ports& ports;
  NodeConfig config;
  bool has_disk;
  consensus::ReplicaSetView replica_set;
  std::unique_ptr<consensus::Acceptor> acceptor;
  consensus::RegisterClient registers;
  membership::StateCache state_cache;
  membership::Leadership leadership;
  membership::Discovery discovery;
  std::unique_ptr<membership::ReplicaRepair> replica_repair;  // null without a disk
  rollout::RolloutController rollout_controller;
  proxy::RequestHandler request_handler;
  std::atomic<bool> leaving{false}, drained{false};
  std::map<std::string, std::pair<pb::Heartbeat, TimePoint>> heartbeats;
  std::map<std::string, std::shared_ptr<const config::RoutingConfiguration>> configurations;
  std::map<std::string, std::string> running;
  std::string load_error, software_error;
  std::optional<software::SoftwareTarget> wanted_software;
  software::Artifacts* artifacts = nullptr;
  canary::CanaryAnalysis canary_analysis;
  config::NumberedConfigurationReader numbered_configuration;
  TimePoint cache_swept{0};
  std::atomic<uint64_t> generation{0};
  uint64_t heartbeats_accepted = 0, heartbeats_rejected = 0;
  std::vector<std::string> unreachable;  // at the last look, not more often than each half bound
  TimePoint reachability_checked{0};

  Impl(base::Ports& p, NodeConfig cc, base::Disk* disk)
      : ports(p),
        config(with_face(std::move(cc))),
        has_disk(disk != nullptr),
        replica_set(config.replicas),
        acceptor(disk ? std::make_unique<consensus::Acceptor>(ports, *disk, config.name, replica_set,
                                                              config.bound / 4)
                      : nullptr),
        registers(ports, config.name, replica_set, config.bound / 4,
                  acceptor ? consensus::LocalReplica(
                                 [this](const pb::PeerRequest& request) { return acceptor->answer(request); })
                           : consensus::LocalReplica()),
        state_cache(
            ports, {config.name, config.bound}, registers, acceptor.get(),
            [this](pb::NodeStatus& status) { fill_own_status(status); }, [this] { apply_state(); }),
        leadership(ports, registers, state_cache, "rollout", config.name, config.zone, config.bound),
        discovery(ports,
                  {config.name, config.bound, config.initial_boot && config.replicas.empty(), config.seeds},
                  registers, state_cache, acceptor.get()),
        replica_repair(acceptor ? std::make_unique<membership::ReplicaRepair>(ports, registers, state_cache,
                                                                              *acceptor, config.name,
                                                                              config.tolerate, config.bound)
                                : nullptr),
        rollout_controller(ports, registers, state_cache, leadership,
                           {config.name, config.bound, config.scale}),
        request_handler(ports, *config.protocol_adapter, config.name, config.zone,
                        [this] { return state_cache.has_read_lease(); }) {
    request_handler.set_cache_limit(config.max_cache_bytes);
    request_handler.upstream_client().set_max_instances(config.max_sockets > 0 ? config.max_sockets / 8 : 0);
  }

  static NodeConfig with_face(NodeConfig config) {
    if (!config.protocol_adapter) config.protocol_adapter = proxy::native_protocol_adapter();
    return config;
  }

  void fill_own_status(pb::NodeStatus& status) {
    TimePoint now = ports.clock.now();
    auto* f = status.mutable_node();
    f->set_zone(config.zone);
    f->set_peer_address(config.peer_address);
    f->set_http_address(config.http_address);
    f->set_replica(has_disk && replica_set.has(config.name));
    f->set_disk(has_disk);
    f->set_shield(config.shield);
    f->set_ready(ready());
    f->set_generation(generation);
    f->set_load_error(load_error.empty() ? software_error : load_error);
    f->set_software(kSoftware);
    f->set_wall_ms(ports.clock.wall_ms());
    f->set_leaving(leaving);
    f->set_drained(drained);
    for (auto& [k, r] : running) (*f->mutable_running())[k] = r;
    for (auto i = heartbeats.begin(); i != heartbeats.end();) {
      auto& [b, at] = i->second;
      // Long kept past its end, so that no late echo brings the worker back.
      if (now - at > Duration(b.period_ms()) * 20 + config.bound * 10) {
        i = heartbeats.erase(i);
        continue;
      }
      auto* x = status.add_heartbeats();
      *x = b;
      x->set_age_ms(static_cast<uint64_t>((now - at).count()));
      ++i;
    }
    status.set_heartbeats_accepted(heartbeats_accepted);
    status.set_heartbeats_rejected(heartbeats_rejected);
    request_handler.report_status(status);
  }

  std::shared_ptr<const config::RoutingConfiguration> load_configuration(const std::string& name,
                                                                         std::string& why) {
    if (auto f = configurations.find(name); f != configurations.end()) return f->second;
    auto r = state_cache.chosen().find(config::release_key("layout", name));
    if (r == state_cache.chosen().end()) {
      why = "the release is not known here";
      return {};
    }
    auto g = config::parse_release("layout", name, r->second.data);
    if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&g)) {
      why = errors->empty() ? "unreadable" : errors->front().pointer + " " + errors->front().message;
      return {};
    }
    auto l = config::parse_routing_configuration(name, std::get<config::Release>(g).content);
    auto* x = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&l);
    if (!x) {
      why = "unreadable";
      return {};
    }
    return configurations[name] = *x;
  }

  void load_assignment(const pb::NodeAssignment& assignment, proxy::RoutingSnapshot& snapshot) {
    auto old = request_handler.snapshot();
    snapshot.configuration = old->configuration;
    snapshot.generation = old->generation;
    snapshot.system = old->system;
    if (assignment.generation() < generation) return;
    std::string why;
    auto want = [&](const char* kind) {
      auto f = assignment.releases().find(kind);
      return f == assignment.releases().end() ? std::string() : f->second;
    };
    std::string lay = want("layout"), sys = want("system");
    auto configuration = lay.empty() ? nullptr : load_configuration(lay, why);
    config::SystemOptions s = config.system;
    bool ok = lay.empty() || configuration;
    if (!ok) load_error = "layout/" + lay + ": " + why;
    auto now_sys = running.find("system");
    if (ok && now_sys != running.end() && now_sys->second == sys) {
      s = old->system;  // releases do not change, so it need not be read again
    } else if (ok && !sys.empty()) {
      auto r = state_cache.chosen().find(config::release_key("system", sys));
      ok = r != state_cache.chosen().end();
      if (ok) {
        auto g = config::parse_release("system", sys, r->second.data);
        if (auto* x = std::get_if<config::Release>(&g))
          s = config::parse_system_options(x->content, config.system);
        else
          ok = false;
      }
      if (!ok) load_error = "system/" + sys + ": not known or unreadable here";
    }
    if (!ok) return;  // what runs goes on running
    load_error.clear();
    if (assignment.generation() > generation)
      logger.info("{}: generation {} puts layout {} in force here.", config.name, assignment.generation(),
                  lay.empty() ? "(none)" : lay);
    snapshot.configuration = configuration;
    snapshot.system = s;
    snapshot.generation = assignment.generation();
    generation = assignment.generation();
    running.clear();
    for (auto& [k, r] : assignment.releases())
      if (k != "software") running[k] = r;
    update_wanted_software(want("software"));
    base::Level lev;
    if (!sys.empty() && base::parse_level(s.log_level, lev)) base::set_level(lev);
  }

  // Software runs here when its version is this program's.
  void update_wanted_software(const std::string& name) {
    auto old = wanted_software ? wanted_software->name : std::string();
    wanted_software.reset();
    if (name.empty()) return software_error.clear();
    for (auto& [sha, w] : software::recorded_software(state_cache.chosen()))
      if (w.name == name) wanted_software = w;
    if (wanted_software && wanted_software->version == kSoftware) {
      running["software"] = name;
      wanted_software.reset();
    }
    if (!wanted_software || wanted_software->name != old) software_error.clear();
  }

  bool is_drained_by_operator() const {
    for (auto& k : {drain_key("node", config.name), drain_key("zone", config.zone)}) {
      auto f = state_cache.chosen().find(k);
      pb::Drain d;
      if (f != state_cache.chosen().end() && d.ParseFromString(f->second.data) && d.drained()) return true;
    }
    return false;
  }

  void apply_state() {
    TimePoint now = ports.clock.now();
    bool was = drained.exchange(is_drained_by_operator());
    if (was != drained)
      logger.info("{}: {}.", config.name,
                  drained ? "drained; callers are sent elsewhere" : "no longer drained");
    leadership.set_passive(drained);
    auto t = std::make_shared<proxy::RoutingSnapshot>();
    auto roll = rollout::read_rollout_state(state_cache.chosen());
    if (auto f = roll.nodes().find(config.name); f != roll.nodes().end())
      load_assignment(f->second, *t);
    else
      load_assignment(pb::NodeAssignment(), *t);
    for (auto& [n, a] : roll.nodes()) {
      t->assigned_generations[n] = a.generation();
      if (auto f = a.releases().find("layout"); f != a.releases().end()) {
        std::string why;
        if (auto configuration = load_configuration(f->second, why))
          t->configurations[f->second] = configuration;
      }
    }
    configurations = t->configurations;
    if (auto& o = numbered_configuration.read(state_cache.chosen()); o.number) {
      if (o.number > request_handler.snapshot()->configuration_number)
        logger.info("{}: layout {} is in force here.", config.name, o.number);
      t->configuration_number = t->generation = o.number;
      t->configuration = o.configuration;
      load_error = o.configuration ? "" : config::numbered_configuration_name(o.number) + ": unreadable";
    }
    if (t->configuration) t->configurations[t->configuration->name] = t->configuration;
    std::vector<std::string> alive;
    auto workers = state_cache.statuses().backend_instances(now);
    std::map<std::string, Duration> youngest;  // beat from each address: its earlier owners have ended
    for (auto& [i, w] : workers) {
      auto [f, first] = youngest.emplace(w.heartbeat.address(), w.age);
      if (!first) f->second = std::min(f->second, w.age);
    }
    for (auto& [i, w] : workers) {
      auto& heartbeat = w.heartbeat;
      if (w.gone || w.age > youngest[heartbeat.address()]) continue;
      alive.push_back(i);
      t->backend_instances[heartbeat.service()].push_back(
          {i, heartbeat.service(), heartbeat.version(), heartbeat.zone(), heartbeat.address(),
           static_cast<int>(heartbeat.capacity()),
           heartbeat.warm_up_ms() ? now - w.age + Duration(heartbeat.warm_up_ms()) : TimePoint(0)});
    }
    if (now - cache_swept >= config.bound / 2) {
      cache_swept = now;
      request_handler.evict_expired();
    }
    for (auto& [k, h] : state_cache.chosen()) {
      if (k.starts_with("service/")) t->service_states[k.substr(8)].ParseFromString(h.data);
      if (k.starts_with("share/")) {
        pb::RateQuotas quotas;
        quotas.ParseFromString(h.data);
        if (auto f = quotas.milli_requests().find(config.name); f != quotas.milli_requests().end())
          t->rate_quotas[k.substr(6)] = f->second / 1000.0;
      }
      if (k.starts_with("purge/")) t->purges[k.substr(6)].ParseFromString(h.data);
    }
    canary_analysis.update(t->service_states, state_cache.statuses().latest(now),
                           static_cast<uint64_t>(t->system.max_canary_failures));
    t->aborted_canaries = canary_analysis.aborted();
    proxy::finalize_snapshot(*t);
    for (auto& m : state_cache.statuses().members(now))
      if (m.info.shield() && m.info.ready()) t->shields.push_back({m.name, m.info.peer_address()});
    t->nodes = std::max<int>(roll.nodes_size(), 1);
    for (auto& [n, a] : roll.nodes()) t->rank += n < config.name;
    request_handler.upstream_client().retain_instances(alive);
    request_handler.set_snapshot(t);
  }

  bool ready() const {
    auto snapshot = request_handler.snapshot();
    return !leaving && !drained && state_cache.has_read_lease() && snapshot->configuration &&
           !proxy::is_superseded(*snapshot, config.name, snapshot->generation);
  }
};

Node::Node(base::Ports& ports, NodeConfig config, base::Disk* disk)
    : impl_(new Impl(ports, std::move(config), disk)) {}
Node::~Node() = default;

void Node::start() {
  std::optional<pb::InitialBoot> first;
  if (impl_->config.initial_boot) first.emplace();
  if (first && impl_->config.replicas.empty())
    first->mutable_seeds()->Assign(impl_->config.seeds.begin(), impl_->config.seeds.end());
  if (impl_->acceptor) impl_->acceptor->start(first);
  impl_->state_cache.start();
  impl_->discovery.start();
  if (impl_->has_disk) {
    impl_->leadership.start();
    impl_->rollout_controller.start();
    impl_->replica_repair->start();
  }
}

std::string drain_key(const std::string& what, const std::string& name) {
  return "drain/" + what + "/" + name;
}

pb::PeerResponse Node::handle_peer_request(const pb::PeerRequest& request) {
  pb::PeerResponse out;
  switch (request.body_case()) {
    case pb::PeerRequest::kPull:
      return impl_->state_cache.handle_pull(request);
    case pb::PeerRequest::kHealthCheck:
      if (impl_->ports.clock.now() - impl_->reachability_checked >= impl_->config.bound / 2) {
        impl_->reachability_checked = impl_->ports.clock.now();
        impl_->unreachable = impl_->request_handler.unreachable_services(impl_->config.bound / 4);
      }
      for (auto& s : impl_->unreachable) out.mutable_health_check()->add_unreachable(s);
      out.mutable_health_check()->set_ready(ready());
      out.mutable_health_check()->set_generation(impl_->generation);
      return out;
    case pb::PeerRequest::kArtifactChunk:
    case pb::PeerRequest::kArtifactRead:
      if (impl_->artifacts) return impl_->artifacts->handle_peer_request(request);
      out.set_error("this node keeps no artifacts");
      return out;
    case pb::PeerRequest::kPrepare:
    case pb::PeerRequest::kAccept:
    case pb::PeerRequest::kReadRegister:
    case pb::PeerRequest::kSnapshot:
    case pb::PeerRequest::kAdopt:
      if (impl_->acceptor) return impl_->acceptor->answer(request);
      if (request.has_adopt()) {
        impl_->replica_set.adopt(request.adopt().replica_set());
        out.mutable_vote()->set_granted(true);
        return out;
      }
      out.set_error("this node holds no state");
      return out;
    default:
      out.set_error("not understood");
      return out;
  }
}

base::Response Node::handle(base::Request& request) { return impl_->request_handler.handle(request); }
pb::ForwardResponse Node::handle_forwarded(const pb::ForwardRequest& forward) {
  return impl_->request_handler.handle_forwarded(forward);
}

bool Node::accept_heartbeat(const pb::Heartbeat& heartbeat) {
  if (!impl_->state_cache.has_read_lease() || impl_->leaving) return ++impl_->heartbeats_rejected, false;
  auto& x = impl_->heartbeats[heartbeat.instance()];
  // What the fleet has heard of this worker before need not be waited for again.
  bool same = x.first.sequence() && x.first.address() == heartbeat.address() &&
              x.first.service() == heartbeat.service() && x.first.version() == heartbeat.version() &&
              x.first.leaving() == heartbeat.leaving();
  if (heartbeat.sequence() >= x.first.sequence()) {
    bool left = x.first.leaving();
    x = {heartbeat, impl_->ports.clock.now()};
    if (left) x.first.set_leaving(true);
  }
  bool known = (!heartbeat.leaving() || membership::deregister(impl_->registers, heartbeat.instance())) &&
               (same || impl_->state_cache.await_pull(impl_->config.bound / 2));
  ++(known ? impl_->heartbeats_accepted : impl_->heartbeats_rejected);
  return known;
}

bool Node::deregister_instance(const std::string& instance) {
  if (!membership::deregister(impl_->registers, instance)) return false;
  impl_->state_cache.pull_soon();
  return true;
}

bool Node::ready() const { return impl_->ready(); }

void Node::begin_shutdown() {
  impl_->leaving = true;
  impl_->leadership.transfer();
  impl_->state_cache.await_pull(impl_->config.bound / 2);  // tells the others that this node leaves
}

bool Node::can_transfer_replica() const {
  return impl_->replica_repair && impl_->replica_set.has(impl_->config.name) &&
         impl_->replica_repair->has_successor();
}

const NodeConfig& Node::config() const { return impl_->config; }
membership::StateCache& Node::state_cache() { return impl_->state_cache; }
consensus::RegisterClient& Node::registers() { return impl_->registers; }
membership::Leadership& Node::leadership() { return impl_->leadership; }
consensus::Acceptor* Node::acceptor() { return impl_->acceptor.get(); }
void Node::set_seeds(std::vector<std::string> addresses) { impl_->discovery.set_seeds(std::move(addresses)); }
proxy::RequestHandler& Node::request_handler() { return impl_->request_handler; }
uint64_t Node::generation() const { return impl_->generation; }
std::optional<software::SoftwareTarget> Node::wanted_software() const { return impl_->wanted_software; }
void Node::report_software_error(const std::string& why) {
  if (impl_->software_error != why) logger.warn("{}: {}.", impl_->config.name, why);
  impl_->software_error = why;
}
void Node::artifacts(software::Artifacts* a) { impl_->artifacts = a; }
software::Artifacts* Node::artifacts() { return impl_->artifacts; }
std::string Node::configuration_name() const {
  auto configuration = impl_->request_handler.snapshot()->configuration;
  return configuration ? configuration->name : std::string();
}

}  // namespace dunlinwing::node
