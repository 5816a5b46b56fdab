// What the data plane needs to know, as one immutable snapshot that is swapped
// whole after each good pull.
#pragma once
#include <set>

#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"
#include "membership/backend_instance.hpp"
#include "membership/status_table.hpp"
#include "wire.pb.h"

namespace dunlinwing::proxy {

struct Shield {
  std::string name, address;
};

struct RoutingSnapshot {
  uint64_t generation = 0;            // that runs here
  uint64_t configuration_number = 0;  // the numbered layout in force; 0: layouts come as releases
  std::map<std::string, uint64_t> assigned_generations;  // by node: the latest generation written for it
  std::shared_ptr<const config::RoutingConfiguration> configuration;  // this node's own; null: none yet
  std::map<std::string, std::shared_ptr<const config::RoutingConfiguration>>
      configurations;  // by release name, for carried requests
  std::map<std::string, std::vector<membership::BackendInstance>> backend_instances;  // by service
  std::map<std::string, pb::ServiceState> service_states;
  std::set<std::string> aborted_canaries;  // services whose trial this node has given up
  std::map<std::string, pb::PurgeSet> purges;
  std::map<std::string, double> rate_quotas;  // this node's part of each stated rate
  std::vector<Shield> shields;
  int nodes = 1, rank = 0;  // among how many fleet-wide allowances are shared; this node's place among them
  config::SystemOptions system;
};

using RoutingSnapshotPtr = std::shared_ptr<const RoutingSnapshot>;

// Prepares the states of a new table: where no version is in place yet, all that beat
// are kept open for layouts that name none; what is given up is not being switched.
void finalize_snapshot(RoutingSnapshot& snapshot);

// Versions of a service that a request may go to; `trial` only within its share.
// A service whose layout names no versions may go to any, once a move or the first
// workers have put it in place. In a switch the trial's version alone is open.
struct EligibleVersions {
  std::vector<std::string> open;
  std::string canary;
};
EligibleVersions eligible_versions(const config::ServiceConfiguration& service,
                                   const pb::ServiceState* state);

// Whether a request that entered at `relay` under `generation` has been overtaken
// by a newer assignment of that relay.
bool is_superseded(const RoutingSnapshot& snapshot, const std::string& relay, uint64_t generation);

inline constexpr const char* kAllServices = "*";  // purges that name no service
uint64_t purge_number(const RoutingSnapshot& snapshot, const std::string& service);
uint64_t min_purge_number(uint64_t a, uint64_t b);  // what both know
// What of a receipt a purge may name.
struct PurgeTarget {
  std::string_view service, host, target;
  const std::vector<std::string>* tags = nullptr;
};
bool purged(const RoutingSnapshot& snapshot, const PurgeTarget& n, uint64_t since);

}  // namespace dunlinwing::proxy
