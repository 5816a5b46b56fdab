/// @file
/// Builds the routing snapshot of the data plane from a node's view of the fleet. Pure: no clock, no I/O, and
/// every input is an argument.
///
/// Threads: each builder is used by one fiber.
#pragma once
#include "node/assignment_loader.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::node {

class SnapshotBuilder {
 public:
  /// @param node_name  the node that the snapshot is for
  SnapshotBuilder(std::string node_name, TimePoint now);

  /// Sets the active configuration and options of this node.
  void set_running(const RunningConfiguration& running);

  /// Sets the latest generation of each node, and this node's rank among them.
  void set_rollout(const pb::RolloutState& rollout);

  /// Sets the configurations that forwarded requests may name; build() adds the running one.
  void set_configurations(ConfigurationMap configurations);

  /// Adds the live instances. Of several at one address only those with the most recent heartbeat count: the
  /// earlier owners of the address have terminated.
  /// @param instances  by instance
  void add_backend_instances(const std::map<std::string, membership::BackendInstanceStatus>& instances);

  /// Adds the states of the services, the rate quotas of this node and the purges from their registers.
  void add_register_values(const membership::ChosenValues& chosen);

  /// Adds the members that fetch for other nodes: ready dedicated shields; without any, the ready nodes with
  /// the fastest links, so that an object is fetched once for the fleet in either case.
  void add_shields(const std::vector<membership::Member>& members);

  /// Sets this node's shares of the demand on the services.
  void set_demand_shares(std::map<std::string, limits::DemandShare> shares);

  /// The service states by service, as read from the registers; to be used before build().
  const std::map<std::string, pb::ServiceState>& service_states() const { return snapshot_->service_states; }

  /// The names of the live instances that add_backend_instances() has found.
  const std::vector<std::string>& live_instances() const { return live_instances_; }

  /// The finished snapshot. The builder may not be used afterwards.
  /// @param aborted_canaries  services whose canary this node has aborted
  [[nodiscard]] proxy::RoutingSnapshotPtr build(const std::set<std::string>& aborted_canaries);

 private:
  void add_rate_quota(const std::string& service, const std::string& data);

  std::string node_name_;
  TimePoint now_;
  std::shared_ptr<proxy::RoutingSnapshot> snapshot_;
  std::vector<std::string> live_instances_;
};

}  // namespace dunlinwing::node
