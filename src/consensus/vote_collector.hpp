/// @file
/// Sends one request about a register to all members of the replica set and counts their votes.
///
/// Invariants: responses are counted by the quorum of the set that the request was sent to; a response with a
/// newer set voids them.
/// Threads: used by the fibers of the control thread only. Calls wait for the network.
#pragma once
#include <algorithm>

#include "base/ports.hpp"
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

/// The responses of the members to one request.
struct Votes {
  PeerResponses responses;
  /// More than a round timeout has passed since the request: the votes must not be counted, since one this
  /// old may come from a disk that has been lost since.
  bool expired = false;
};

using Response = std::optional<pb::PeerResponse>;

bool is_granted(const Response& response);
bool is_voting(const Response& response);

/// The members whose responses satisfy the predicate.
template <class Predicate>
MemberFlags flags(const PeerResponses& responses, Predicate predicate) {
  MemberFlags members(responses.size());
  for (size_t i = 0; i < responses.size(); ++i) members[i] = predicate(responses[i]);
  return members;
}

/// The granted vote with the highest accepted ballot; null when no vote is granted.
const pb::RegisterState* highest_granted(const PeerResponses& responses);

/// Sends requests to the replica set. One instance for each node, since it keeps the highest round seen.
class VoteCollector {
 public:
  /// @param local  this node; with a handler if it is a replica
  VoteCollector(base::Ports& ports, ReplicaSetView& set, Duration round_timeout, LocalMember local)
      : ports_(ports), set_(set), round_timeout_(round_timeout), local_(std::move(local)) {}

  /// Waits until `enough` returns true, all members have responded or a round timeout has passed.
  Votes collect(pb::PeerRequest request, const StopCondition& enough);
  /// Waits until a quorum has granted the request, or until too many have refused for any quorum to grant it.
  Votes collect_until_settled(const pb::PeerRequest& request);

  bool quorum_granted(const PeerResponses& responses) const;
  bool quorum_voting(const PeerResponses& responses) const;

  /// Returns the value that was accepted at the ballot: from the responses, else from this node's replica,
  /// else by requests to members that reported the ballot; nothing when none of them still holds it.
  std::optional<pb::Value> value_at(const std::string& name, const pb::Ballot& ballot,
                                    const PeerResponses& responses);

  /// Returns a ballot above all that were used or seen here.
  pb::Ballot next_ballot();

 private:
  pb::PeerRequest read_request(const std::string& name) const;
  std::optional<pb::Value> request_value(const pb::PeerRequest& request, const pb::Ballot& ballot,
                                         const std::vector<Replica>& members);

  base::Ports& ports_;
  ReplicaSetView& set_;
  const Duration round_timeout_;
  const LocalMember local_;
  uint64_t highest_round_ = 0;  ///< of any ballot used or seen here
};

}  // namespace dunlinwing::consensus
