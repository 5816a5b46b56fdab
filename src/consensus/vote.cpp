// Single-value Paxos per register. A promise needs a strictly higher ballot; an
// accept needs one not below the promise.
#include "consensus/vote.hpp"

namespace dunlinwing::consensus {

bool lower(const pb::Ballot& a, const pb::Ballot& b) {
  return a.round() != b.round() ? a.round() < b.round() : a.node() < b.node();
}
bool equal(const pb::Ballot& a, const pb::Ballot& b) {
  return a.round() == b.round() && a.node() == b.node();
}

Step prepare(const pb::RegisterState& s, const pb::Prepare& p) {
  Step r{s};
  if (!lower(s.promised(), p.ballot())) return r;
  r.yes = r.dirty = true;
  r.slot.set_name(p.name());
  *r.slot.mutable_promised() = p.ballot();
  return r;
}

Step accept(const pb::RegisterState& s, const pb::Accept& a) {
  Step r{s};
  if (lower(a.ballot(), s.promised())) return r;
  r.yes = r.dirty = true;
  r.slot.set_name(a.name());
  *r.slot.mutable_promised() = a.ballot();
  *r.slot.mutable_accepted() = a.ballot();
  *r.slot.mutable_value() = a.value();
  r.slot.clear_copied();
  return r;
}

pb::RegisterState higher(const pb::RegisterState& a, const pb::RegisterState& b) {
  pb::RegisterState r = lower(a.accepted(), b.accepted()) ? b : a;
  *r.mutable_promised() = lower(a.promised(), b.promised()) ? b.promised() : a.promised();
  return r;
}

}  // namespace dunlinwing::consensus
