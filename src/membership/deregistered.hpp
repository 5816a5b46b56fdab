/// @file
/// Backend instances that have announced that they end. The announcement is a register, since the node that
/// took it may be gone in the next moment, and an instance need not announce it twice.
#pragma once
#include <set>

#include "consensus/register_client.hpp"

namespace dunlinwing::membership {

/// The name of the register that holds them.
inline constexpr const char* kDeregisteredKey = "departed";

/// Records that an instance ends. Waits for a quorum of the replicas.
/// @return whether it is recorded; false: it may or may not be, and may be tried again
[[nodiscard]] bool deregister(consensus::RegisterClient& registers, const std::string& instance);

/// The names of the instances in the register's value.
std::set<std::string> read_deregistered(const std::string& data);

}  // namespace dunlinwing::membership
