// How one holder votes on one register: a pure step from a slot and an ask to
// a slot and a vote. No time, no disk: the acceptor adds those.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::consensus {

struct Step {
  pb::RegisterState slot;
  bool yes = false;
  bool dirty = false;  // the slot changed and must be synced before the vote
};

bool lower(const pb::Ballot& a, const pb::Ballot& b);
bool equal(const pb::Ballot& a, const pb::Ballot& b);
Step prepare(const pb::RegisterState& s, const pb::Prepare& p);
Step accept(const pb::RegisterState& s, const pb::Accept& a);
pb::RegisterState higher(const pb::RegisterState& a,
                         const pb::RegisterState& b);  // the later promise, the later accepted value

}  // namespace dunlinwing::consensus
