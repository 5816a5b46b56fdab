// Reads without a round: replies arrive one by one. The highest ballot among the
// replies counts as chosen when a quorum reports it. The pulls that start a
// node's read lease work the same way.
#include <algorithm>

#include "protocol.hpp"

namespace dunlinwing::test::model {

void Protocol::reads(const State& state) const {
  if (state.reader.active) {
    for (int r = 0; r < kReplicas; ++r) read_reply(state, r);
  } else if (state.reads < bounds_.reads) {
    for (SetId set = 0; set < kSets; ++set) {
      bool known = set == kFirstSet || std::any_of(state.proposers.begin(), state.proposers.end(),
                                                   [set](const Proposer& p) { return p.set == set; });
      if (!known) continue;
      State after = state;
      after.reader.active = true;
      after.reader.set = set;
      auto& values = state.acknowledged[static_cast<size_t>(Register::data)];
      after.reader.floor = values[2] != 0 ? 2 : values[1] != 0 ? 1 : 0;
      ++after.reads;
      emit(Kind::begin_read, set, 0, 0, after);
    }
  }
}

void Protocol::read_reply(const State& state, int r) const {
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  if (!contains(sets_[state.reader.set].members(), r) || !answers(replica, state.reader.set)) return;
  if (state.reader.replies[static_cast<size_t>(r)] != 0) return;
  State after = state;
  auto& replies = after.reader.replies;
  replies[static_cast<size_t>(r)] =
      static_cast<uint8_t>(replica.registers[static_cast<size_t>(Register::data)].accepted + 1);
  if (replica.copied[static_cast<size_t>(Register::data)]) after.reader.copies |= member(r);
  uint8_t best = *std::max_element(replies.begin(), replies.end());
  Members agreeing = 0;
  for (int i = 0; i < kReplicas; ++i)
    if (replies[static_cast<size_t>(i)] == best && !contains(after.reader.copies, i)) agreeing |= member(i);
  if (is_quorum(state.reader.set, agreeing)) {
    auto ballot = static_cast<Ballot>(best - 1);
    Value value = ballot == 0 ? 0 : state.accepts[static_cast<size_t>(Register::data)][ballot].value;
    if (version_of(Register::data, value) < state.reader.floor) after.broken = Broken::stale_read;
    record(after, Register::data, value);
    after.reader = {};
  }
  emit(Kind::read_reply, r, 0, 0, after);
}

}  // namespace dunlinwing::test::model
