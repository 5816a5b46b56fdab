// Contact with a majority of the replicas, which each response about state needs: a relay
// that has been cut off must neither confirm, nor reject, nor show what it last knew.
// Either this relay has heard a majority since the request came, or the response is a 503.
#pragma once
#include "consensus/register_client.hpp"
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// In which a request is answered. Clients go on to another node after a second of silence,
// and the way there and back is part of it.
inline constexpr Duration kResponseLimit{800};

// In which a majority has to have been heard.
Duration contact_limit(Duration bound);

// Waits until a pull that began after this call has heard a majority: all that was
// acknowledged before is then in the state cache. The response to give when none is heard.
std::optional<base::Response> await_majority_contact(node::Node& node);

// What a register operation that failed is told as. Always 503.
base::Response register_error(consensus::RegisterError error);

// Runs `work` in a fiber of its own and returns its response, or outcome_unknown() when it
// takes longer than the limit. The work then goes on to its end; it must own what it uses.
base::Response respond_within(base::Ports& ports, Duration limit, std::function<base::Response()> work);

}  // namespace dunlinwing::control_api
