/// @file
/// Contact with a majority of the replicas, which each response about state requires: a partitioned node
/// must neither confirm, nor reject, nor report stale state. Either it has been in contact with a majority
/// since the request arrived, or the response is a 503, which is also sent within the time limit.
///
/// Threads: called in fibers of the control thread; each function but contact_limit() and register_error()
/// suspends its fiber.
#pragma once
#include "consensus/register_updater.hpp"
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// The time limit for the response to a request. Clients try another node after a second without a response,
/// which includes the time on the network.
inline constexpr Duration kResponseLimit{800};

/// How long to wait for contact with a majority.
/// @param bound  the fleet's two-second bound, scaled
Duration contact_limit(Duration bound);

/// Waits until a pull that began after this call has reached a majority: everything acknowledged before is
/// then in the state cache.
/// @return empty, or the response (503) when no majority responded
[[nodiscard]] std::optional<base::Response> await_majority_contact(node::Node& node);

/// The response to a register operation that failed; always 503.
base::Response register_error(consensus::RegisterError error);

/// As register_error(), of an update that did not run out of time.
base::Response update_error(consensus::UpdateError error);

/// Runs the work in a fiber of its own.
/// @param work  runs to its end even when it exceeds the limit, so it must own what it uses
/// @return its response, or outcome_unknown() when it exceeds the limit
base::Response respond_within(base::Ports& ports, Duration limit, std::function<base::Response()> work);

}  // namespace dunlinwing::control_api
