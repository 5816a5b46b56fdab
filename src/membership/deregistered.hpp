// Workers that have said they leave. Their word is a register, since the relay that
// was told may be gone in the next moment, and a worker need not say it twice.
#pragma once
#include <set>

#include "consensus/register_client.hpp"

namespace dunlinwing::membership {

inline constexpr const char* kDeregisteredKey = "departed";

// True once the word is recorded.
bool deregister(consensus::RegisterClient& registers, const std::string& instance);
std::set<std::string> read_deregistered(const std::string& data);

}  // namespace dunlinwing::membership
