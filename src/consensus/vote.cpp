// Single-value Paxos per register. A promise needs a strictly higher ballot; an
// accept needs one not below the promise.
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {

bool is_lower(const pb::Ballot& a, const pb::Ballot& b) {
  return a.round() != b.round() ? a.round() < b.round() : a.node() < b.node();
}
bool is_equal(const pb::Ballot& a, const pb::Ballot& b) {
  return a.round() == b.round() && a.node() == b.node();
}

VoteStep prepare(const pb::RegisterState& state, const pb::Prepare& request) {
  VoteStep r{state};
  if (!is_lower(state.promised(), request.ballot())) return r;
  r.granted = r.must_sync = true;
  r.state.set_name(request.name());
  *r.state.mutable_promised() = request.ballot();
  return r;
}

VoteStep accept(const pb::RegisterState& state, const pb::Accept& a) {
  VoteStep r{state};
  if (is_lower(a.ballot(), state.promised())) return r;
  r.granted = r.must_sync = true;
  r.state.set_name(a.name());
  *r.state.mutable_promised() = a.ballot();
  *r.state.mutable_accepted() = a.ballot();
  *r.state.mutable_value() = a.value();
  r.state.clear_refilled();
  return r;
}

pb::RegisterState merge_highest(const pb::RegisterState& a, const pb::RegisterState& b) {
  pb::RegisterState r = is_lower(a.accepted(), b.accepted()) ? b : a;
  *r.mutable_promised() = is_lower(a.promised(), b.promised()) ? b.promised() : a.promised();
  return r;
}

}  // namespace dunlinwing::consensus
