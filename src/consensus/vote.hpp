// How one holder votes on one register: a pure step from a slot and an ask to
// a slot and a vote. No time, no disk: the acceptor adds those.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::consensus {

struct VoteStep {
  pb::RegisterState state;
  bool granted = false;
  bool must_sync = false;  // the slot changed and must be synced before the vote
};

bool is_lower(const pb::Ballot& a, const pb::Ballot& b);
bool is_equal(const pb::Ballot& a, const pb::Ballot& b);
VoteStep prepare(const pb::RegisterState& state, const pb::Prepare& request);
VoteStep accept(const pb::RegisterState& state, const pb::Accept& a);
pb::RegisterState merge_highest(const pb::RegisterState& a,
                                const pb::RegisterState& b);  // the later promise, the later accepted value

}  // namespace dunlinwing::consensus
