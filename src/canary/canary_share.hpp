/// @file
/// The share of a service's requests that a canary gets, and which of its backend instances get them. Pure.
#pragma once
#include "membership/backend_instance.hpp"

namespace dunlinwing::canary {

/// Percent of the requests for a canary with a deadline: less than is allowed, for much of the rest is needed
/// while it is switched to.
inline constexpr int kDeadlinePercent = 6;
/// The same while its instances are cold and their responses are little evidence.
inline constexpr int kColdPercent = 1;
/// The same once there is evidence enough, or no more than the switch needs is left of the allowance.
inline constexpr int kWatchPercent = 1;
/// Requests of the fleet that go to a canary with a deadline ahead of its share, once its instances are warm.
inline constexpr int64_t kInitialCredit = 36;

/// The instances that a canary's requests go to first. With a deadline these are two of the version, the
/// first two by name, so that they have something to do: all nodes choose the same ones, from the same
/// statuses. Without one, all of the version.
std::vector<membership::BackendInstance> canary_instances(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, bool has_deadline);

/// The instance whose turn it is with canary request number `turn`: every warm instance of the version has
/// its turn, however fast it is and in whatever zone. Empty: all are cold.
std::vector<membership::BackendInstance> instance_in_turn(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, uint64_t turn);

}  // namespace dunlinwing::canary
