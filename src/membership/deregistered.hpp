/// @file
/// Backend instances that have announced their shutdown. The announcement is stored in a register because the
/// node that received it may fail right afterwards, and an instance need not repeat it.
#pragma once
#include <set>

#include "consensus/register_updater.hpp"

namespace dunlinwing::membership {

/// The name of the register that stores their names.
inline constexpr const char* kDeregisteredKey = "departed";

/// Records that an instance shuts down. Waits for a quorum of the replicas.
/// @param deadline  see RegisterUpdate
/// @return whether it is recorded; false: it may or may not be, and the call may be retried
[[nodiscard]] bool deregister(consensus::RegisterUpdater& updater, const std::string& instance,
                              TimePoint deadline);

/// Parses the register's value into the names of the instances.
std::set<std::string> parse_deregistered(const std::string& data);

}  // namespace dunlinwing::membership
