/// @file
/// The state of the fleet that the request path needs, as one snapshot that is replaced after each successful
/// pull of the registers; and the pure decisions based on it: which versions may serve a request, whether a
/// configuration was superseded, what was purged.
///
/// Invariants: a published snapshot never changes. A request keeps the snapshot under which it began.
/// Threads: the functions are pure; a published snapshot may be read from any thread.
#pragma once
#include <set>

#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"
#include "limits/demand_share.hpp"
#include "membership/backend_instance.hpp"
#include "membership/status_table.hpp"
#include "wire.pb.h"

namespace dunlinwing::proxy {

/// A node through which other nodes fetch cacheable objects, to reduce the load on the origin.
struct Shield {
  std::string name;
  std::string address;  ///< IP:port
};

struct RoutingSnapshot {
  /// This node's share of the service's requests over the fleet; nothing while unknown.
  std::optional<limits::DemandShare> demand_share(const std::string& service) const {
    const auto found = demand_shares.find(service);
    if (found == demand_shares.end()) return {};
    return found->second;
  }

  uint64_t generation = 0;            ///< of the assignment that is in force on this node
  uint64_t configuration_number = 0;  ///< of the numbered configuration; 0: configurations are in releases
  std::map<std::string, uint64_t> assigned_generations;  ///< by node: the latest one written for it
  std::shared_ptr<const config::RoutingConfiguration> configuration;  ///< this node's own; null: none yet
  /// By release name, including those that only other nodes run; for forwarded requests.
  std::map<std::string, std::shared_ptr<const config::RoutingConfiguration>> configurations;
  std::map<std::string, std::vector<membership::BackendInstance>> backend_instances;  ///< by service
  std::map<std::string, pb::ServiceState> service_states;                             ///< by service
  std::set<std::string> aborted_canaries;      ///< services whose canary this node itself has aborted
  std::map<std::string, pb::PurgeSet> purges;  ///< by service, or kAllServices
  std::map<std::string, double> rate_quotas;   ///< by service: requests per second that this node may send
  std::map<std::string, limits::DemandShare> demand_shares;  ///< by service: this node's share of requests
  /// A dedicated shield's share of the fetches for other nodes: its expected share while the demand is
  /// unknown.
  std::optional<double> shield_share;
  std::vector<Shield> shields;  ///< the nodes that fetch for other nodes
  int nodes = 1;                ///< number of nodes that share the fleet's allowances
  int rank = 0;                 ///< of this node among them, from 0
  config::SystemOptions system;
};

using RoutingSnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

/// Completes the service states of a new snapshot before it is published. While a service has no current
/// version, all versions that send heartbeats are eligible for configurations that list no versions. A
/// service whose canary this node has aborted is not switched to that canary.
void finalize_snapshot(RoutingSnapshot& snapshot);

/// The versions of a service to which a request may be sent.
struct EligibleVersions {
  std::vector<std::string> open;  ///< without restriction; the preferred version first
  std::string canary;             ///< only within its share of requests; empty: no canary
};

/// If the configuration lists no versions of a service, every version is eligible once a rollout or the first
/// backend instances have made one current. During a switch only the canary is open.
/// @param state  null: no state is recorded for the service
EligibleVersions eligible_versions(const config::ServiceConfiguration& service,
                                   const pb::ServiceState* state);

/// Whether a request received by `node_name` under `generation` has been superseded by a newer assignment of
/// that node or a newer numbered configuration.
bool is_superseded(const RoutingSnapshot& snapshot, const std::string& node_name, uint64_t generation);

/// The key of the purges that apply to all services.
inline constexpr const char* kAllServices = "*";

/// The purges known for a service, as one number: the number of its own purges in the low 32 bits, and the
/// number of purges of all services in the high 32. Both only increase.
uint64_t purge_number(const RoutingSnapshot& snapshot, const std::string& service);

/// The purges that two results of purge_number() have in common.
uint64_t min_purge_number(uint64_t first, uint64_t second);

/// The properties of a response that purges match. Keeps references to them.
struct PurgeTarget {
  std::string_view service;
  std::string_view host;                           ///< empty when the route accepts any host
  std::string_view target;                         ///< path and query
  const std::vector<std::string>* tags = nullptr;  ///< in ascending order; null: none
};

/// Whether a purge later than `since` (a result of purge_number()) matches the response.
bool is_purged_since(const RoutingSnapshot& snapshot, const PurgeTarget& response, uint64_t since);

}  // namespace dunlinwing::proxy
