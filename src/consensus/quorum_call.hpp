/// @file
/// Sends requests to many replicas in parallel: each is sent by a separate fiber, and the caller continues as
/// soon as it has enough responses.
///
/// Threads: called by a fiber, which is suspended meanwhile. Fibers of requests that are still in progress
/// may outlive the call; their responses are then dropped.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

/// One replica: the name of its node and the address (IP:port) that its peers call.
struct Replica {
  std::string name, address;
  bool operator==(const Replica&) const = default;
};

/// One entry for each replica, in the same order; empty until a response arrives, and when the request
/// failed.
using PeerResponses = std::vector<std::optional<pb::PeerResponse>>;
/// Whether the responses received so far are enough.
using StopCondition = std::function<bool(const PeerResponses&)>;
/// Handles a request to the replica in this process.
using LocalReplica = std::function<pb::PeerResponse(const pb::PeerRequest&)>;
/// This node, as one of the replicas.
struct LocalMember {
  std::string node_name;
  LocalReplica handle;  ///< used instead of the network; null on a node that is not a replica
};
/// Makes the request for the replica at an index.
using RequestFactory = std::function<pb::PeerRequest(size_t index)>;

/// Returns the timeout of the request to the replica at an index.
using RequestTimeout = std::function<Duration(size_t index)>;

/// Limits of a call to several replicas.
struct CallTimeouts {
  /// Implicit: one timeout may apply to the call as a whole and to each request.
  template <class Count, class Period>
  CallTimeouts(std::chrono::duration<Count, Period> whole_call, RequestTimeout of_request = {})
      : call(whole_call), request(std::move(of_request)) {}

  Duration call;
  RequestTimeout request;  ///< null: as `call`
};

/// Sends a request to each replica and waits until `enough` returns true, all requests have completed or
/// failed, or the timeout is over.
/// @return the responses received by then
PeerResponses call_replicas(base::Ports& ports, const std::vector<Replica>& replicas,
                            const RequestFactory& make_request, const CallTimeouts& timeouts,
                            const StopCondition& enough, const LocalMember& local = {});

}  // namespace dunlinwing::consensus
