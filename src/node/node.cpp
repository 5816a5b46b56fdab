// After each successful pull the node rebuilds the routing snapshot of the data plane from the chosen values
// and replaces the old one atomically.
#include "node/node.hpp"

#include <atomic>

#include "base/log.hpp"
#include "canary/canary_analysis.hpp"
#include "limits/demand_share_tracker.hpp"
#include "membership/deregistered.hpp"
#include "membership/discovery.hpp"
#include "membership/replica_repair.hpp"
#include "node/heartbeat_table.hpp"
#include "node/link_log.hpp"
#include "node/rejection_log.hpp"
#include "node/snapshot_builder.hpp"
#include "rollout/version_request_times.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");

// A node uses at most one instance of each service for this many sockets that the process may open.
constexpr int kSocketsPerInstance = 8;

// How often in a bound a node checks, while a service switches to another version, for progress to report.
// Every kChecksPerPull-th check also pulls.
constexpr int kSwitchChecksPerBound = 64;
constexpr int kChecksPerPull = 4;

// A forwarded request that needs newer state waits for a pull for up to a bound divided by this.
constexpr int kCatchUpDivisor = 8;

NodeConfig with_protocol_adapter(NodeConfig config) {
  if (!config.protocol_adapter) config.protocol_adapter = proxy::native_protocol_adapter();
  return config;
}

pb::PeerResponse peer_error(const char* error) {
  pb::PeerResponse response;
  response.set_error(error);
  return response;
}

RunningConfiguration running_in(const proxy::RoutingSnapshot& snapshot) {
  return {snapshot.configuration, snapshot.system, snapshot.generation, snapshot.configuration_number};
}
}  // namespace

struct Node::Impl {
  base::Ports& ports;
  NodeConfig config;
  bool has_disk;
  consensus::ReplicaSetView replica_set;
  std::unique_ptr<consensus::Acceptor> acceptor;  ///< null without a disk
  consensus::RegisterClient registers;
  consensus::RegisterUpdater register_updater;
  membership::StateCache state_cache;
  membership::Leadership leadership;
  membership::Discovery discovery;
  std::unique_ptr<membership::ReplicaRepair> replica_repair;  ///< null without a disk
  rollout::RolloutController rollout_controller;
  rollout::VersionRequestTimes version_request_times;
  proxy::RequestHandler request_handler;
  std::atomic<bool> leaving{false};  ///< the process is about to end
  std::atomic<bool> drained{false};  ///< by operators; clients are directed to other nodes
  HeartbeatTable heartbeats;
  AssignmentLoader assignment_loader;
  software::Artifacts* artifacts = nullptr;
  WriteHandler handle_write;  ///< null until set_write_handler()
  canary::CanaryAnalysis canary_analysis;
  limits::DemandShareTracker demand_shares;
  RejectionLog rejection_log;
  LinkLog link_log;
  TimePoint expired_evicted_at{0};
  bool following_switches = false;                ///< a fiber of follow_switches() runs
  std::vector<std::string> unreachable_services;  ///< as of `reachability_checked`
  TimePoint reachability_checked{0};              ///< at most once per half a bound

  Impl(base::Ports& ports_of_node, NodeConfig configured, base::Disk* disk)
      : ports(ports_of_node),
        config(with_protocol_adapter(std::move(configured))),
        has_disk(disk != nullptr),
        replica_set(config.replicas),
        acceptor(disk ? std::make_unique<consensus::Acceptor>(ports, *disk, config.name, replica_set,
                                                              config.bound / 4)
                      : nullptr),
        registers(ports, config.name, replica_set, config.bound / 4,
                  acceptor ? consensus::LocalReplica(
                                 [this](const pb::PeerRequest& request) { return acceptor->handle(request); })
                           : consensus::LocalReplica()),
        register_updater(ports, registers),
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
                           {config.bound, config.scale, config.system}),
        request_handler(ports, *config.protocol_adapter, config.name, config.zone,
                        [this] { return state_cache.has_read_lease(); }),
        heartbeats(config.bound),
        assignment_loader(config.name, config.system),
        demand_shares(config.name, config.bound),
        rejection_log(config.name, request_handler),
        link_log(config.name, ports.link) {
    request_handler.set_cache_limit(config.max_cache_bytes);
    request_handler.upstream_client().set_max_instances(
        config.max_sockets > 0 ? config.max_sockets / kSocketsPerInstance : 0);
  }

  /// Fills in the status that this node reports in a pull.
  void fill_own_status(pb::NodeStatus& status) {
    describe_node(*status.mutable_node());
    heartbeats.report(ports.clock.now(), status);
    request_handler.report_status(status);
    version_request_times.report(ports.clock.now(), status);
  }

  void describe_node(pb::NodeInfo& info) {
    info.set_zone(config.zone);
    info.set_peer_address(config.peer_address);
    info.set_http_address(config.control_address);
    info.set_replica(has_disk && replica_set.has(config.name));
    info.set_disk(has_disk);
    info.set_shield(config.shield);
    info.set_link_mbps(config.link_mbps);
    info.set_ready(ready());
    info.set_generation(assignment_loader.generation());
    info.set_load_error(assignment_loader.error());
    info.set_software(kSoftwareVersion);
    info.set_wall_ms(ports.clock.wall_ms());
    info.set_leaving(leaving);
    info.set_drained(drained);
    for (const auto& [kind, release] : assignment_loader.running_releases())
      (*info.mutable_running())[kind] = release;
  }

  bool is_drained_by_operator() const {
    for (const auto& key : {drain_key("node", config.name), drain_key("zone", config.zone)}) {
      const auto found = state_cache.chosen().find(key);
      pb::Drain drain;
      if (found != state_cache.chosen().end() && drain.ParseFromString(found->second.data) && drain.drained())
        return true;
    }
    return false;
  }

  void update_drained() {
    const bool was_drained = drained.exchange(is_drained_by_operator());
    if (was_drained != drained)
      logger.info("{}: {}.", config.name,
                  drained ? "drained by operators, not ready for clients" : "no longer drained");
    leadership.set_passive(drained);
  }

  /// Runs after each successful pull.
  void apply_state() {
    const TimePoint now = ports.clock.now();
    const membership::ChosenValues& chosen = state_cache.chosen();
    update_drained();
    const pb::RolloutState rollout = rollout::read_rollout_state(chosen);
    SnapshotBuilder builder(config.name, now);
    builder.set_rollout(rollout);
    const RunningConfiguration running =
        assignment_loader.load(rollout, chosen, running_in(*request_handler.snapshot()));
    builder.set_running(running);
    builder.set_configurations(assignment_loader.assigned_configurations(rollout, chosen));
    builder.add_backend_instances(state_cache.statuses().backend_instances(now));
    builder.add_register_values(chosen);
    builder.add_shields(state_cache.statuses().members(now));
    evict_expired_responses(now);
    version_request_times.update(state_cache.last_good_pull(), builder.service_states());
    const auto statuses = state_cache.statuses().live_statuses(now);
    demand_shares.observe(statuses, now);
    builder.set_demand_shares(demand_shares.usable());
    canary_analysis.update(builder.service_states(), statuses,
                           static_cast<uint64_t>(running.system.max_canary_failures));
    const auto snapshot = builder.build(canary_analysis.aborted());
    request_handler.upstream_client().retain_instances(builder.live_instances());
    request_handler.set_snapshot(snapshot);
    follow_switches();
    rejection_log.update(now);
    link_log.update(now);
  }

  /// Whether a service is being switched to another version, or is about to be.
  bool has_switch() const {
    const auto snapshot = request_handler.snapshot();
    return std::any_of(
        snapshot->service_states.begin(), snapshot->service_states.end(),
        [](const auto& entry) { return entry.second.switching() || entry.second.switch_is_near(); });
  }

  /// A service's switch completes only when all nodes have followed it. So while a switch is near this node
  /// pulls often, and during the switch it reports each of its steps at once.
  void follow_switches() {
    if (following_switches || !has_switch()) return;
    following_switches = true;
    ports.tasks.spawn([this] {
      std::string reported_steps;
      for (int check = 0; has_switch(); ++check) {
        std::string current_steps;
        for (const auto& followed : request_handler.switches()) current_steps += followed.SerializeAsString();
        if (check % kChecksPerPull == 0 || current_steps != reported_steps) state_cache.pull_soon();
        reported_steps = std::move(current_steps);
        ports.clock.sleep(config.bound / kSwitchChecksPerBound);
      }
      following_switches = false;
    });
  }

  void evict_expired_responses(TimePoint now) {
    if (now - expired_evicted_at < config.bound / 2) return;
    expired_evicted_at = now;
    request_handler.evict_expired();
  }

  bool ready() const {
    const auto snapshot = request_handler.snapshot();
    return !leaving && !drained && state_cache.has_read_lease() && snapshot->configuration &&
           !proxy::is_superseded(*snapshot, config.name, snapshot->generation);
  }

  pb::PeerResponse health_check() {
    const TimePoint now = ports.clock.now();
    if (now - reachability_checked >= config.bound / 2) {
      reachability_checked = now;
      unreachable_services = request_handler.unreachable_services(config.bound / 4);
    }
    pb::PeerResponse response;
    auto& health = *response.mutable_health_check();
    for (const auto& service : unreachable_services) health.add_unreachable(service);
    health.set_ready(ready());
    health.set_generation(assignment_loader.generation());
    return response;
  }

  pb::PeerResponse read_body(const pb::ReadBody& request) {
    pb::PeerResponse response;
    *response.mutable_body_part() = request_handler.read_body(request);
    return response;
  }

  pb::PeerResponse handle_artifact_request(const pb::PeerRequest& request) const {
    return artifacts ? artifacts->handle_peer_request(request) : peer_error("this node keeps no artifacts");
  }

  pb::PeerResponse handle_forwarded_write(const pb::ForwardedWrite& write) const {
    if (!handle_write) return peer_error("this node carries out no writes yet");
    pb::PeerResponse response;
    *response.mutable_write() = handle_write(write);
    return response;
  }

  pb::PeerResponse handle_consensus_request(const pb::PeerRequest& request) {
    if (acceptor) return acceptor->handle(request);
    if (!request.has_adopt()) return peer_error("this node holds no state");
    replica_set.adopt(request.adopt().replica_set());
    pb::PeerResponse response;
    response.mutable_vote()->set_granted(true);
    return response;
  }
};

Node::Node(base::Ports& ports, NodeConfig config, base::Disk* disk)
    : impl_(std::make_unique<Impl>(ports, std::move(config), disk)) {}
Node::~Node() = default;

void Node::start() {
  std::optional<pb::InitialBoot> initial_boot;
  if (impl_->config.initial_boot) initial_boot.emplace();
  if (initial_boot && impl_->config.replicas.empty())
    initial_boot->mutable_seeds()->Assign(impl_->config.seeds.begin(), impl_->config.seeds.end());
  if (impl_->acceptor) impl_->acceptor->start(initial_boot);
  impl_->state_cache.start();
  impl_->discovery.start();
  if (impl_->has_disk) {
    impl_->leadership.start();
    impl_->rollout_controller.start();
    impl_->replica_repair->start();
  }
}

std::string drain_key(const std::string& scope, const std::string& name) {
  return "drain/" + scope + "/" + name;
}

pb::PeerResponse Node::handle_peer_request(const pb::PeerRequest& request) {
  switch (request.body_case()) {
    case pb::PeerRequest::kPull:
      return impl_->state_cache.handle_pull(request);
    case pb::PeerRequest::kReadBody:
      return impl_->read_body(request.read_body());
    case pb::PeerRequest::kHealthCheck:
      return impl_->health_check();
    case pb::PeerRequest::kWrite:
      return impl_->handle_forwarded_write(request.write());
    case pb::PeerRequest::kArtifactChunk:
    case pb::PeerRequest::kArtifactRead:
      return impl_->handle_artifact_request(request);
    case pb::PeerRequest::kPrepare:
    case pb::PeerRequest::kAccept:
    case pb::PeerRequest::kReadRegister:
    case pb::PeerRequest::kSnapshot:
    case pb::PeerRequest::kAdopt:
      return impl_->handle_consensus_request(request);
    default:
      return peer_error("not understood");
  }
}

base::Response Node::handle(base::Request& request) { return impl_->request_handler.handle(request); }
pb::ForwardResponse Node::handle_forwarded(const pb::ForwardRequest& forward,
                                           const base::CancellationPtr& cancellation) {
  // The forwarding node may have newer state: a pull fetches it within a few milliseconds.
  if (impl_->request_handler.is_behind(forward))
    impl_->state_cache.await_pull(impl_->config.bound / kCatchUpDivisor);
  return impl_->request_handler.handle_forwarded(forward, cancellation);
}

bool Node::accept_heartbeat(const pb::Heartbeat& heartbeat, const Deregister& deregister) {
  if (!impl_->state_cache.has_read_lease() || impl_->leaving) {
    impl_->heartbeats.count(false);
    return false;
  }
  // A heartbeat with the same content was reported to the fleet before, so there is no need to wait again.
  const bool repeated = impl_->heartbeats.record(heartbeat, impl_->ports.clock.now());
  const bool accepted = (!heartbeat.leaving() || deregister(heartbeat.instance())) &&
                        (repeated || impl_->state_cache.await_pull(impl_->config.bound / 2));
  impl_->heartbeats.count(accepted);
  return accepted;
}

void Node::set_write_handler(WriteHandler handler) { impl_->handle_write = std::move(handler); }

bool Node::ready() const { return impl_->ready(); }

void Node::begin_shutdown() {
  impl_->leaving = true;
  impl_->leadership.transfer();
  impl_->state_cache.await_pull(impl_->config.bound /
                                2);  // notifies the other nodes that this one is leaving
}

bool Node::can_transfer_replica() const {
  return impl_->replica_repair && impl_->replica_set.has(impl_->config.name) &&
         impl_->replica_repair->has_successor();
}

const NodeConfig& Node::config() const { return impl_->config; }
membership::StateCache& Node::state_cache() { return impl_->state_cache; }
consensus::RegisterClient& Node::registers() { return impl_->registers; }
consensus::RegisterUpdater& Node::register_updater() { return impl_->register_updater; }
membership::Leadership& Node::leadership() { return impl_->leadership; }
consensus::Acceptor* Node::acceptor() { return impl_->acceptor.get(); }
proxy::RequestHandler& Node::request_handler() { return impl_->request_handler; }
void Node::set_seeds(std::vector<std::string> addresses) { impl_->discovery.set_seeds(std::move(addresses)); }
uint64_t Node::generation() const { return impl_->assignment_loader.generation(); }
void Node::set_artifacts(software::Artifacts* artifacts) { impl_->artifacts = artifacts; }
const link::Link* Node::link() const { return impl_->ports.link; }
const base::MemoryAccount& Node::memory() const { return impl_->ports.memory; }
software::Artifacts* Node::artifacts() { return impl_->artifacts; }

std::string Node::configuration_name() const {
  const auto configuration = impl_->request_handler.snapshot()->configuration;
  return configuration ? configuration->name : std::string();
}

std::optional<software::SoftwareRelease> Node::pending_software() const {
  return impl_->assignment_loader.pending_software();
}

void Node::report_software_error(const std::string& error) {
  if (impl_->assignment_loader.set_software_error(error))
    logger.warn("{}: assigned software cannot be loaded: {}.", impl_->config.name, error);
}

}  // namespace dunlinwing::node
