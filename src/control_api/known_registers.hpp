/// @file
/// Registers as the node's latest good pull brought them. Handlers of reads use these after the router has
/// waited for a pull that began after the request (control_api/majority_contact).
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// The chosen value of a register.
/// @return version 0 and no data when it was never written
consensus::VersionedValue known_register(node::Node& node, const std::string& key);

/// Calls `visit` with each register whose name begins with the prefix, in the order of the names, and with
/// the rest of its name.
void for_each_register(
    node::Node& node, std::string_view prefix,
    const std::function<void(const std::string& rest, const consensus::VersionedValue&)>& visit);

}  // namespace dunlinwing::control_api
