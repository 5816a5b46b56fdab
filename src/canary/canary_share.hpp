/// @file
/// The share of a service's requests that a canary receives, and which of its backend instances receive them.
/// Pure.
#pragma once
#include "membership/backend_instance.hpp"

namespace dunlinwing::canary {

/// Percentage of the requests sent to a canary with a deadline: less than is allowed, as the switch to it
/// needs much of the rest.
inline constexpr int kDeadlinePercent = 6;
/// The percentage while its instances are cold and their responses are weak evidence.
inline constexpr int kColdPercent = 1;
/// The percentage once there is enough evidence, or the rest of the allowance is needed for the switch.
inline constexpr int kReducedPercent = 1;
/// Requests of the whole fleet that are sent to a canary with a deadline in advance of its share, once its
/// instances are warm.
inline constexpr int64_t kInitialCredit = 36;

/// The instances that receive a canary's requests first. With a deadline: the first two of the version by
/// name, so that each of them gets enough requests, since all nodes choose the same ones from the same
/// statuses. Without a deadline: all instances of the version.
std::vector<membership::BackendInstance> canary_instances(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, bool has_deadline);

/// The instance for canary request number `turn`: round robin over all warm instances of the version,
/// regardless of their speed and zone. Empty: all are cold.
std::vector<membership::BackendInstance> instance_in_turn(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, uint64_t turn);

}  // namespace dunlinwing::canary
