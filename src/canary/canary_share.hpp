/// @file
/// The share of a service's requests that a canary gets, and which of its backend instances get them. Pure.
#pragma once
#include "membership/backend_instance.hpp"

namespace dunlinwing::canary {

// Of the tenth that the rule leaves to a move with a term, and of the fifty beyond it,
// which may be spent ahead; while its workers are cold and answers say little, less.
inline constexpr int kDeadlinePercent = 8, kColdPercent = 3;
inline constexpr int64_t kInitialCredit = 20;

// Of a move with a term two workers of the new version are asked first, the first two by
// name, so that they have something to do. All relays choose alike, from the same statuses.
std::vector<membership::BackendInstance> canary_instances(
    const std::vector<membership::BackendInstance>& instances, const std::string& version, bool term);

/// Returns the worker whose turn it is with trial request number `turn`: every warm worker of
/// the version has its turn, however fast it is and wherever it stands. Empty: all are cold.
std::vector<membership::BackendInstance> instance_in_turn(
    const std::vector<membership::BackendInstance>& workers, const std::string& version, uint64_t turn);

}  // namespace dunlinwing::canary
