/// @file
/// How one replica votes on one register: single-value Paxos as pure functions from a register state and a
/// request to the next state and a vote. The acceptor adds timeouts and the disk.
///
/// Invariants: ballots in a state never decrease; a value is accepted only at a ballot not below the promise.
/// Threads: the functions are stateless.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::consensus {

/// The effect of a request on a register.
struct VoteStep {
  pb::RegisterState state;  ///< after the request; unchanged when the vote is not granted
  bool granted = false;     ///< the state changed and has to be synced before the vote is sent
};

/// Ballots are ordered by round, then by the name of the proposing node.
[[nodiscard]] bool is_lower(const pb::Ballot& left, const pb::Ballot& right);
[[nodiscard]] bool is_equal(const pb::Ballot& left, const pb::Ballot& right);

/// Promises to accept nothing below the ballot; granted when the ballot is above the promise in the state.
[[nodiscard]] VoteStep prepare(const pb::RegisterState& state, const pb::Prepare& request);

/// Accepts the value; granted when the ballot is not below the promise in the state.
[[nodiscard]] VoteStep accept(const pb::RegisterState& state, const pb::Accept& request);

/// Merges two states of one register: the higher promise, and the value accepted at the higher ballot.
[[nodiscard]] pb::RegisterState merge_highest(const pb::RegisterState& left, const pb::RegisterState& right);

}  // namespace dunlinwing::consensus
