// Paxos rounds: their requests arrive at replicas in any order or never, and a
// round concludes as soon as a quorum has voted.
//
// A reply reaches its proposer in the step in which the replica sends it. That
// loses no behaviour: a lost or late reply differs from a request that was never
// delivered only in the state of the replica, and the proposer's next step may
// be delayed arbitrarily (docs/model.md has the full argument).
#include <algorithm>

#include "protocol.hpp"

namespace dunlinwing::test::model {
namespace {

uint8_t acknowledged_version(const State& state, Register reg) {
  auto& values = state.acknowledged[static_cast<size_t>(reg)];
  uint8_t version = 0;
  for (uint8_t v = 1; v < kVersions; ++v)
    if (values[v] != 0) version = v;
  return version;
}

}  // namespace

bool Protocol::may_change_set(const Proposer& proposer) const {
  if (proposer.set == kFirstSet) return true;
  if (!sets_[proposer.set].joint()) return false;
  auto needed = guards_.finish_registers ? ChangeStep::settled : ChangeStep::adopted;
  return proposer.step >= needed;
}

void Protocol::begin_rounds(const State& state, int p) const {
  const Proposer& proposer = state.proposers[static_cast<size_t>(p)];
  bool writes = !bounds_.split_roles || p == 1;
  bool changes = bounds_.change && (!bounds_.split_roles || p == 0);
  int data_rounds = state.rounds[static_cast<size_t>(Register::data)];
  bool has_rounds = bounds_.split_roles && writes ? proposer.top[0] < bounds_.writer_rounds : true;
  if (data_rounds < bounds_.data_rounds && has_rounds) {
    if (writes) begin_round(state, p, Purpose::write);
    auto needed = guards_.adoption_before_names ? ChangeStep::adopted : ChangeStep::none;
    if (changes && sets_[proposer.set].joint() && proposer.step == needed)
      begin_round(state, p, Purpose::settle);
    else if (!bounds_.split_roles || p == 0)
      begin_round(state, p, Purpose::read);
  }
  if (changes && state.rounds[static_cast<size_t>(Register::replica_set)] < bounds_.set_rounds &&
      may_change_set(proposer)) {
    if (bounds_.atomic_set_writes)
      write_set(state, p);
    else
      begin_round(state, p, Purpose::change_set);
  }
}

// A proposer abandons its current round, in any phase, when it starts another.
void Protocol::begin_round(const State& state, int p, Purpose purpose) const {
  auto reg = static_cast<size_t>(register_of(purpose));
  int top = state.proposers[static_cast<size_t>(p)].top[reg];
  bool alone = bounds_.split_roles && purpose == Purpose::change_set;  // no competing proposer
  int most = alone ? std::min(top + 1, kMaxRound) : bounds_.most_round_number;
  for (int number = top + 1; number <= most; ++number) {
    if (purpose == Purpose::write && bounds_.writer_number > 0 && number != bounds_.writer_number) continue;
    State after = state;
    Proposer& proposer = after.proposers[static_cast<size_t>(p)];
    proposer.top[reg] = static_cast<uint8_t>(number);
    proposer.round = {};
    proposer.round.phase = Phase::preparing;
    proposer.round.purpose = purpose;
    proposer.round.ballot = ballot_of(number, p);
    proposer.round.set = proposer.set;
    proposer.round.floor = acknowledged_version(state, register_of(purpose));
    ++after.rounds[reg];
    emit(Kind::begin_round, p, static_cast<int>(purpose), number, after);
  }
}

// Delivered only while promises are counted: a later promise only restricts the replica, and a less
// restricted replica allows every run that a more restricted one does.
void Protocol::deliver_prepare(const State& state, int p, int r) const {
  const Round& round = state.proposers[static_cast<size_t>(p)].round;
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  if (round.phase != Phase::preparing || !contains(sets_[round.set].members(), r)) return;
  if (!answers(replica, round.set)) return;
  auto reg = static_cast<size_t>(register_of(round.purpose));
  VoteStep vote = votes_.prepare(replica.registers[reg], round.ballot);
  if (!vote.granted) return;
  State after = state;
  after.replicas[static_cast<size_t>(r)].registers[reg] = vote.state;
  Round& counted = after.proposers[static_cast<size_t>(p)].round;
  counted.promises |= member(r);
  if (vote.state.accepted > counted.best_accepted) {
    counted.best_accepted = vote.state.accepted;
    counted.value = vote.state.value;
  }
  if (is_quorum(counted.set, counted.promises)) propose(after, p);
  emit(Kind::prepare, p, r, 0, after);
}

// Proposes the current value again, or its successor.
void Protocol::propose(State& state, int p) const {
  Round& round = state.proposers[static_cast<size_t>(p)].round;
  Register reg = register_of(round.purpose);
  if (!guards_.promise_order) round.value = 0;
  if (round.purpose == Purpose::write && version_of(reg, round.value) < bounds_.data_versions)
    round.value = next_data_value(round.value, p);
  if (round.purpose == Purpose::change_set && round.value == round.set) round.value = next_set(round.set, p);
  round.phase = Phase::accepting;
  round.promises = 0;
  round.best_accepted = 0;
  AcceptRequest& request = state.accepts[static_cast<size_t>(reg)][round.ballot];
  if (request.sent && request.value != round.value) state.broken = Broken::two_values_of_one_ballot;
  request = {true, round.set, round.value};
}

void Protocol::deliver_accept(const State& state, Register reg, Ballot ballot, int r) const {
  const AcceptRequest& request = state.accepts[static_cast<size_t>(reg)][ballot];
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  if (!contains(sets_[request.set].members(), r) || !answers(replica, request.set)) return;
  RegisterState known = replica.registers[static_cast<size_t>(reg)];
  VoteStep vote = votes_.accept(known, ballot, request.value);
  if (!vote.granted) return;
  int p = proposer_of(ballot);
  const Round& round = state.proposers[static_cast<size_t>(p)].round;
  bool counts = round.phase == Phase::accepting && round.ballot == ballot &&
                register_of(round.purpose) == reg && !contains(round.accepts, r);
  if (!counts && vote.state == known && !replica.copied[static_cast<size_t>(reg)]) return;
  State after = state;
  after.replicas[static_cast<size_t>(r)].registers[static_cast<size_t>(reg)] = vote.state;
  after.replicas[static_cast<size_t>(r)].copied[static_cast<size_t>(reg)] = false;
  if (counts) {
    Round& counted = after.proposers[static_cast<size_t>(p)].round;
    counted.accepts |= member(r);
    if (is_quorum(counted.set, counted.accepts)) conclude(after, p);
  }
  emit(Kind::accept, static_cast<int>(reg), ballot, r, after);
}

// Acknowledges the round's value to the client.
void Protocol::conclude(State& state, int p) const {
  Proposer& proposer = state.proposers[static_cast<size_t>(p)];
  Round round = proposer.round;
  Register reg = register_of(round.purpose);
  proposer.round = {};
  if (version_of(reg, round.value) < round.floor) state.broken = Broken::stale_read;
  record(state, reg, round.value);
  if (round.purpose == Purpose::settle) proposer.step = ChangeStep::settled;
  if (reg == Register::replica_set) learn(state, p, round.value);
}

// Checks an acknowledged value against all those before it.
void Protocol::record(State& state, Register reg, Value value) const {
  uint8_t version = version_of(reg, value);
  if (version == 0) return;
  auto& values = state.acknowledged[static_cast<size_t>(reg)];
  if (Value parent = parent_of(reg, value); parent != 0) {
    if (values[1] != 0 && values[1] != parent) state.broken = Broken::chain;
    values[1] = parent;  // it has a successor, so it was chosen
  }
  if (values[version] != 0 && values[version] != value) state.broken = Broken::two_values;
  values[version] = value;
}

}  // namespace dunlinwing::test::model
