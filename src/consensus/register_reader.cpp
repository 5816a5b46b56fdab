#include "consensus/register_reader.hpp"

#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {

// The state that a quorum has accepted at the same ballot, unless a response has a higher ballot.
const pb::RegisterState* agreed_state(const ReplicaSetView& set, const PeerResponses& responses) {
  const auto* highest = highest_granted(responses);
  if (!highest) return nullptr;
  auto has_accepted_it = [&](const Response& response) {
    if (!is_granted(response)) return false;
    const auto& state = response->vote().register_state();
    return !state.refilled() && is_equal(highest->accepted(), state.accepted());
  };
  return set.is_quorum(flags(responses, has_accepted_it)) ? highest : nullptr;
}

}  // namespace

ReadAttempt RegisterReader::read(const ReplicaSetView& set) {
  pb::PeerRequest request;
  request.mutable_read_register()->set_name(name_);
  request.mutable_read_register()->set_without_value(true);
  const auto votes = collector_.collect(
      request, [&](const PeerResponses& responses) { return agreed_state(set, responses) != nullptr; });
  ReadAttempt attempt;
  if (votes.expired) return attempt;
  if (const auto* agreed = agreed_state(set, votes.responses))
    attempt.value = value_at(agreed->accepted(), votes.responses);
  attempt.half_written = !attempt.value && collector_.quorum_granted(votes.responses);
  return attempt;
}

std::optional<pb::Value> RegisterReader::value_at(const pb::Ballot& ballot, const PeerResponses& responses) {
  if (known_.has_value() && is_equal(known_.accepted(), ballot)) return known_.value();
  auto value = collector_.value_at(name_, ballot, responses);
  if (value) {
    *known_.mutable_accepted() = ballot;
    *known_.mutable_value() = *value;
  }
  return value;
}

}  // namespace dunlinwing::consensus
