/// @file
/// The recorded state of a service: which version is in place, which is its canary, and which were in place
/// before. Here is what operators' orders do to it; how it goes on is in version_rollout.hpp. Pure.
///
/// Invariants: the version in place is neither a canary nor among the previous versions; a canary's number is
/// higher than those of all canaries of the service before it.
/// Threads: any; nothing is shared.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

/// How many backend instances send heartbeats, by the version that they report.
using InstancesByVersion = std::map<std::string, int>;

/// The count of one version; 0 where it has none.
int instances_of(const InstancesByVersion& instances, const std::string& version);

/// The register of a service's state.
std::string service_key(const std::string& service);

/// Opens a canary in place of any that there is.
/// @param deadline  since the request, in which the version rollout has to end; 0: there is none
/// @param longest   the service's longest request
void start_canary(pb::ServiceState& state, const std::string& version, Duration deadline, Duration longest);

/// Ends the canary without a verdict.
void drop_canary(pb::ServiceState& state);

/// What the operator is told of a version rollout with a deadline: running, completed or rolled_back; empty
/// when none was requested.
std::string rollout_outcome(const pb::ServiceState& state);

/// Drops the oldest previous versions without backend instances, beyond the sixteen latest of them.
void prune_previous_versions(pb::ServiceState& state, const InstancesByVersion& instances);

}  // namespace dunlinwing::rollout
