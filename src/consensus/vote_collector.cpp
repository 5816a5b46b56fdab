#include "consensus/vote_collector.hpp"

#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {

bool may_be_granted(const Response& response) { return !response || is_granted(response); }

const pb::RegisterState& state_in(const Response& response) { return response->vote().register_state(); }

/// The value in the response if it was accepted at the ballot and is not left out; else null.
const pb::Value* value_in(const Response& response, const pb::Ballot& ballot) {
  if (!is_granted(response)) return nullptr;
  const auto& state = state_in(response);
  return state.has_value() && is_equal(state.accepted(), ballot) ? &state.value() : nullptr;
}

const pb::Value* find_value(const PeerResponses& responses, const pb::Ballot& ballot) {
  for (const auto& response : responses)
    if (const auto* value = value_in(response, ballot)) return value;
  return nullptr;
}

}  // namespace

bool is_granted(const Response& response) {
  return response && response->has_vote() && response->vote().granted();
}

bool is_voting(const Response& response) {
  return response && response->has_vote() && !response->vote().non_voting();
}

const pb::RegisterState* highest_granted(const PeerResponses& responses) {
  const pb::RegisterState* highest = nullptr;
  for (const auto& response : responses)
    if (is_granted(response) && (!highest || is_lower(highest->accepted(), state_in(response).accepted())))
      highest = &state_in(response);
  return highest;
}

Votes VoteCollector::collect(pb::PeerRequest request, const StopCondition& enough) {
  const auto epoch = set_.epoch();
  request.set_epoch(epoch);
  const auto began = ports_.clock.now();
  Votes votes;
  votes.responses = call_replicas(
      ports_, set_.all(), [&](size_t) { return request; }, round_timeout_, enough, local_);
  for (const auto& response : votes.responses)
    if (response && response->has_vote()) set_.adopt(response->vote().newer_set());
  if (set_.epoch() != epoch) votes.responses.assign(set_.all().size(), std::nullopt);
  votes.expired = ports_.clock.now() - began > round_timeout_;
  return votes;
}

Votes VoteCollector::collect_until_settled(const pb::PeerRequest& request) {
  auto is_settled = [&](const PeerResponses& responses) {
    return quorum_granted(responses) || !set_.is_quorum(flags(responses, may_be_granted));
  };
  auto votes = collect(request, is_settled);
  for (const auto& response : votes.responses)
    if (response && response->has_vote())
      highest_round_ = std::max(highest_round_, state_in(response).promised().round());
  return votes;
}

bool VoteCollector::quorum_granted(const PeerResponses& responses) const {
  return set_.is_quorum(flags(responses, is_granted));
}

bool VoteCollector::quorum_voting(const PeerResponses& responses) const {
  return set_.is_quorum(flags(responses, is_voting));
}

pb::PeerRequest VoteCollector::read_request(const std::string& name) const {
  pb::PeerRequest request;
  request.mutable_read_register()->set_name(name);
  request.set_epoch(set_.epoch());
  return request;
}

std::optional<pb::Value> VoteCollector::value_at(const std::string& name, const pb::Ballot& ballot,
                                                 const PeerResponses& responses) {
  if (ballot.round() == 0) return pb::Value();  // nothing was ever accepted
  if (const auto* value = find_value(responses, ballot)) return *value;
  const auto request = read_request(name);
  if (local_.handle)
    if (const Response own = local_.handle(request); const auto* value = value_in(own, ballot)) return *value;
  std::vector<Replica> holders;
  for (size_t i = 0; i < responses.size() && i < set_.all().size(); ++i)
    if (is_granted(responses[i]) && is_equal(state_in(responses[i]).accepted(), ballot))
      holders.push_back(set_.all()[i]);
  if (holders.empty()) return {};
  // One member sends the value; the others are asked only if it does not.
  if (auto value = request_value(request, ballot, {holders.front()})) return value;
  holders.erase(holders.begin());
  return request_value(request, ballot, holders);
}

std::optional<pb::Value> VoteCollector::request_value(const pb::PeerRequest& request,
                                                      const pb::Ballot& ballot,
                                                      const std::vector<Replica>& members) {
  const auto responses = call_replicas(
      ports_, members, [&](size_t) { return request; }, round_timeout_,
      [&](const PeerResponses& received) { return find_value(received, ballot) != nullptr; }, local_);
  const auto* value = find_value(responses, ballot);
  return value ? std::optional(*value) : std::nullopt;
}

pb::Ballot VoteCollector::next_ballot() {
  pb::Ballot ballot;
  ballot.set_round(++highest_round_);
  ballot.set_node(local_.node_name);
  return ballot;
}

}  // namespace dunlinwing::consensus
