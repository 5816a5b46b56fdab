/// @file
/// Requests to many replicas at once: each is sent by a fiber of its own, and the caller goes on as soon as
/// it has enough responses.
///
/// Threads: called by a fiber, which is suspended meanwhile. Fibers of requests that are still under way may
/// outlive the call; what they receive is then dropped.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

/// One replica: the name of its node and the address (IP:port) that its peers call.
struct Replica {
  std::string name, address;
  bool operator==(const Replica&) const = default;
};

/// One entry for each replica called, in their order; empty while nothing came, and when the call failed.
using PeerResponses = std::vector<std::optional<pb::PeerResponse>>;
/// Whether the responses so far suffice.
using StopCondition = std::function<bool(const PeerResponses&)>;
/// Answers a request to the replica of this very process.
using LocalReplica = std::function<pb::PeerResponse(const pb::PeerRequest&)>;
/// This node among the replicas.
struct LocalMember {
  std::string node_name;
  LocalReplica answer;  ///< in place of the network; null on a node that is no replica
};
/// The request to the replica at an index.
using RequestFactory = std::function<pb::PeerRequest(size_t index)>;

/// Sends a request to each replica and waits until `enough`, until all have answered or failed, or until the
/// time is up.
/// @param timeout  of each request and of the call as a whole
/// @return the responses that are here by then
PeerResponses call_replicas(base::Ports& ports, const std::vector<Replica>& replicas,
                            const RequestFactory& make_request, Duration timeout, const StopCondition& enough,
                            const LocalMember& local = {});

}  // namespace dunlinwing::consensus
