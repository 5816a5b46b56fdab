/// @file
/// The registers in the node's state cache, as of its latest successful pull. Handlers of reads use them
/// after the router has waited for a pull that began after the request (control_api/majority_contact).
#pragma once
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// The chosen value of a register.
/// @return version 0 and no data when it was never written
consensus::VersionedValue cached_register(node::Node& node, const std::string& key);

/// Calls `visit` for each register whose name begins with the prefix, ordered by name.
/// `rest` is the name without the prefix.
void for_each_cached_register(
    node::Node& node, std::string_view prefix,
    const std::function<void(const std::string& rest, const consensus::VersionedValue&)>& visit);

}  // namespace dunlinwing::control_api
