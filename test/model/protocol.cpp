// The base of the model: replica sets and quorums, the initial state, the steps
// tried in a state, and the representative of symmetric states.
#include "protocol.hpp"

#include <algorithm>
#include <bit>

namespace dunlinwing::test::model {
namespace {

constexpr int kReplaced = 2;       // C
constexpr size_t kNewcomer = 3;    // D
constexpr int kRivalReplaced = 1;  // B
constexpr int kRivalNewcomer = 4;  // E

Members first_members(int count) { return static_cast<Members>((1 << count) - 1); }

Members with_one_replaced(Members members, int old_member, int new_member) {
  return static_cast<Members>((members & ~member(old_member)) | member(new_member));
}

bool majority_of(Members set, Members members) {
  return std::popcount(static_cast<unsigned>(set & members)) > std::popcount(static_cast<unsigned>(set)) / 2;
}

bool bit(Members members, int replica) { return contains(members, replica); }

// Everything in a state about one replica except which dumps it has. Replicas are sorted by it.
using Column = std::array<uint8_t, 16>;

Column column_of(const State& state, int replica) {
  Column column{};
  size_t at = 0;
  auto put = [&](int byte) { column[at++] = static_cast<uint8_t>(byte); };
  auto& own = state.replicas[static_cast<size_t>(replica)];
  for (auto& reg : own.registers) {
    put(reg.promised);
    put(reg.accepted);
    put(reg.value);
  }
  put(own.copied[0] | own.copied[1] << 1);
  put(own.set);
  put(static_cast<int>(own.stage));
  for (auto& proposer : state.proposers)
    put(bit(proposer.round.promises, replica) | bit(proposer.round.accepts, replica) << 1 |
        bit(proposer.adopters, replica) << 2);
  put(bit(state.reader.copies, replica));
  put(state.reader.replies[static_cast<size_t>(replica)]);
  int dumped = 0;
  for (auto& other : state.replicas) dumped += bit(other.gathered, replica);
  put(dumped);
  return column;
}

void swap_bits(Members& members, int a, int b) {
  bool at_a = bit(members, a), at_b = bit(members, b);
  if (at_a != at_b) members = static_cast<Members>(members ^ (member(a) | member(b)));
}

void swap_replicas(State& state, int a, int b) {
  std::swap(state.replicas[static_cast<size_t>(a)], state.replicas[static_cast<size_t>(b)]);
  std::swap(state.reader.replies[static_cast<size_t>(a)], state.reader.replies[static_cast<size_t>(b)]);
  swap_bits(state.reader.copies, a, b);
  for (auto& replica : state.replicas) swap_bits(replica.gathered, a, b);
  for (auto& proposer : state.proposers) {
    swap_bits(proposer.round.promises, a, b);
    swap_bits(proposer.round.accepts, a, b);
    swap_bits(proposer.adopters, a, b);
  }
}

}  // namespace

Protocol::Protocol(Bounds bounds, Guards guards) : bounds_(bounds), guards_(guards) {
  Members first = first_members(bounds.replicas);
  Members second = with_one_replaced(first, kReplaced, static_cast<int>(kNewcomer));
  Members rival = with_one_replaced(first, kRivalReplaced, kRivalNewcomer);
  sets_[kFirstSet] = {1, first, 0};
  sets_[kJointSet] = {2, second, first};
  sets_[kSecondSet] = {3, second, 0};
  sets_[kRivalJointSet] = {2, rival, first};
  sets_[kRivalSecondSet] = {3, rival, 0};
}

State Protocol::initial() const {
  State state;
  for (int i = 0; i < bounds_.replicas; ++i) state.replicas[static_cast<size_t>(i)].stage = Stage::voting;
  if (bounds_.change) state.replicas[kNewcomer].stage = Stage::joining;
  if (bounds_.rival_change) state.replicas[kRivalNewcomer].stage = Stage::joining;
  if (bounds_.start != Start::first_set) begin_within_change(state);
  return state;
}

void Protocol::begin_within_change(State& state) const {
  bool done = bounds_.start == Start::second_set;
  SetId in_force = done ? kSecondSet : kJointSet;
  Ballot ballot = ballot_of(version_of(Register::replica_set, in_force), 0);
  for (size_t r : {size_t{0}, size_t{1}})
    state.replicas[r].registers[static_cast<size_t>(Register::replica_set)] = {ballot, ballot, in_force};
  state.proposers[0].set = in_force;
  record(state, Register::replica_set, in_force);
  if (!done) return;
  for (size_t r : {size_t{0}, size_t{1}, kNewcomer}) state.replicas[r].set = kJointSet;
  state.replicas[kNewcomer].stage = Stage::voting;
}

// Replicas that no replica set distinguishes are interchangeable: the state with their columns sorted
// represents all permutations.
State Protocol::canonical(const State& state) const {
  int alike = bounds_.rival_change ? 1 : bounds_.change ? kReplaced : bounds_.replicas;
  State sorted = state;
  for (Register reg : {Register::data, Register::replica_set})
    for (Ballot ballot = 1; ballot <= kBallots; ++ballot)
      if (!may_still_count(state, reg, ballot)) sorted.accepts[static_cast<size_t>(reg)][ballot] = {};
  for (int end = alike; end > 1; --end)
    for (int i = 0; i + 1 < end; ++i)
      if (column_of(sorted, i + 1) < column_of(sorted, i)) swap_replicas(sorted, i, i + 1);
  return sorted;
}

// An accept request that all its replicas must reject, now and later, is equivalent to none. Promises and
// adopted sets never regress unless a disk is lost.
bool Protocol::may_still_count(const State& state, Register reg, Ballot ballot) const {
  const AcceptRequest& request = state.accepts[static_cast<size_t>(reg)][ballot];
  if (!request.sent) return false;
  if (state.losses < bounds_.losses || bounds_.restarts > 0 || bounds_.reads > 0) return true;
  for (int r = 0; r < kReplicas; ++r) {
    const Replica& replica = state.replicas[static_cast<size_t>(r)];
    if (!contains(sets_[request.set].members(), r) || replica.stage == Stage::absent) continue;
    if (!replica.voting()) return true;
    if (epoch(replica.set) > epoch(request.set)) continue;
    const RegisterState& known = replica.registers[static_cast<size_t>(reg)];
    const Round& round = state.proposers[static_cast<size_t>(proposer_of(ballot))].round;
    bool accepted = known.accepted == ballot && (round.ballot != ballot || contains(round.accepts, r));
    if (known.promised <= ballot && !accepted) return true;
  }
  return false;
}

bool Protocol::is_quorum(SetId set, Members members) const {
  const ReplicaSet& replicas = sets_[set];
  if (!majority_of(replicas.replicas, members)) return false;
  return !replicas.joint() || !guards_.previous_majority || majority_of(replicas.previous, members);
}

bool Protocol::answers(const Replica& replica, SetId asked_under) const {
  return replica.voting() && epoch(asked_under) >= epoch(replica.set);
}

SetId Protocol::next_set(SetId set, int proposer) const {
  if (set != kFirstSet) return static_cast<SetId>(set + 1);
  return bounds_.rival_change && proposer == 1 ? kRivalJointSet : kJointSet;
}

void Protocol::emit(Kind kind, int first, int second, int third, const State& after) const {
  steps_.push_back({{static_cast<uint8_t>(kind), static_cast<uint8_t>(first), static_cast<uint8_t>(second),
                     static_cast<uint8_t>(third)},
                    after});
}

void Protocol::collect(const State& state) const {
  for (int p = 0; p < kProposers; ++p) {
    begin_rounds(state, p);
    changes(state, p);
    for (int r = 0; r < kReplicas; ++r) deliver_prepare(state, p, r);
  }
  for (Register reg : {Register::data, Register::replica_set})
    for (Ballot ballot = 1; ballot <= kBallots; ++ballot)
      if (state.accepts[static_cast<size_t>(reg)][ballot].sent)
        for (int r = 0; r < kReplicas; ++r) deliver_accept(state, reg, ballot, r);
  for (int r = 0; r < kReplicas; ++r) refills(state, r);
  reads(state);
}

}  // namespace dunlinwing::test::model
