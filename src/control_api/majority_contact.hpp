/// @file
/// Contact with a majority of the replicas, which each response about state needs: a node that has been cut
/// off must neither confirm, nor reject, nor show what it last knew. Either it has been in contact with a
/// majority since the request came, or the response is a 503. And that response comes in time.
///
/// Threads: called in fibers of the control thread; each function but contact_limit() and register_error()
/// suspends its fiber.
#pragma once
#include "consensus/register_client.hpp"
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

/// Within which a request is answered. Clients go on to another node after a second of silence, and the time
/// on the network is part of it.
inline constexpr Duration kResponseLimit{800};

/// How long to wait for contact with a majority.
/// @param bound  the fleet's two-second bound, scaled
Duration contact_limit(Duration bound);

/// Waits until a pull that began after this call has reached a majority: all that was acknowledged before is
/// then in the state cache.
/// @return nothing, or the response (503) to give when no majority answered
[[nodiscard]] std::optional<base::Response> await_majority_contact(node::Node& node);

/// The response to a register operation that failed; always 503.
base::Response register_error(consensus::RegisterError error);

/// Runs the work in a fiber of its own.
/// @param work  goes on to its end also when it takes longer than the limit; it must own what it uses
/// @return its response, or outcome_unknown() when it takes longer
base::Response respond_within(base::Ports& ports, Duration limit, std::function<base::Response()> work);

}  // namespace dunlinwing::control_api
