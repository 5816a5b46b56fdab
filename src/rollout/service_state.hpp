/// @file
/// The recorded state of a service: its current version, its canary, and its previous versions. This file
/// has the changes that operators request; version_rollout.hpp has the steps that follow. Pure.
///
/// Invariants: the current version is neither a canary nor among the previous versions; a canary's number is
/// higher than those of all earlier canaries of the service.
/// Threads: any; nothing is shared.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

/// Number of backend instances that send heartbeats, by the version that they report.
using InstanceCountsByVersion = std::map<std::string, int>;

/// The number of instances of one version; 0 if there is no entry.
int instance_count(const InstanceCountsByVersion& instances, const std::string& version);

/// The register of a service's state.
std::string service_key(const std::string& service);

/// Starts a canary; it replaces any canary that the service has.
/// @param deadline  of the version rollout, measured from its request; 0: none
/// @param longest   the longest duration of a request of the service
void start_canary(pb::ServiceState& state, const std::string& version, Duration deadline, Duration longest);

/// Ends the canary without a verdict.
void drop_canary(pb::ServiceState& state);

/// The outcome reported to the operator of a version rollout with a deadline: running, completed or
/// rolled_back; empty when none was requested.
std::string rollout_outcome(const pb::ServiceState& state);

/// Drops the oldest previous versions without backend instances, so that at most sixteen such versions
/// remain.
void prune_previous_versions(pb::ServiceState& state, const InstanceCountsByVersion& instances);

}  // namespace dunlinwing::rollout
