#include "consensus/vote.hpp"

namespace dunlinwing::consensus {

bool is_lower(const pb::Ballot& left, const pb::Ballot& right) {
  return left.round() != right.round() ? left.round() < right.round() : left.node() < right.node();
}

bool is_equal(const pb::Ballot& left, const pb::Ballot& right) {
  return left.round() == right.round() && left.node() == right.node();
}

VoteStep prepare(const pb::RegisterState& state, const pb::Prepare& request) {
  VoteStep step{state};
  if (!is_lower(state.promised(), request.ballot())) return step;
  step.granted = true;
  step.state.set_name(request.name());
  *step.state.mutable_promised() = request.ballot();
  return step;
}

VoteStep accept(const pb::RegisterState& state, const pb::Accept& request) {
  VoteStep step{state};
  if (is_lower(request.ballot(), state.promised())) return step;
  step.granted = true;
  step.state.set_name(request.name());
  *step.state.mutable_promised() = request.ballot();
  *step.state.mutable_accepted() = request.ballot();
  *step.state.mutable_value() = request.value();
  step.state.clear_refilled();  // accepted here, so from now on it counts as a vote
  return step;
}

pb::RegisterState merge_highest(const pb::RegisterState& left, const pb::RegisterState& right) {
  pb::RegisterState merged = is_lower(left.accepted(), right.accepted()) ? right : left;
  *merged.mutable_promised() =
      is_lower(left.promised(), right.promised()) ? right.promised() : left.promised();
  return merged;
}

}  // namespace dunlinwing::consensus
