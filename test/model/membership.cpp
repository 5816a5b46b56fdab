// Lost disks and refills, and changes of the replica set.
#include <algorithm>
#include <bit>

#include "protocol.hpp"

namespace dunlinwing::test::model {

// Discards the votes that a replica gave before the round limit.
void Protocol::forget_old_votes(State& state, int r) const {
  auto without = [r](Members members) { return static_cast<Members>(members & ~member(r)); };
  if (guards_.refill_wait)
    for (auto& proposer : state.proposers) {
      proposer.round.promises = without(proposer.round.promises);
      proposer.round.accepts = without(proposer.round.accepts);
    }
  if (guards_.old_replies_of_reads) {
    state.reader.replies[static_cast<size_t>(r)] = 0;
    state.reader.copies = without(state.reader.copies);
  }
}

// Only one disk is lost at a time: the next only after the previous replica is refilled.
void Protocol::lose_disk(const State& state, int r) const {
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  bool another = std::any_of(state.replicas.begin(), state.replicas.end(), [](const Replica& other) {
    return other.stage == Stage::waiting || other.stage == Stage::gathering;
  });
  if (!replica.voting() || another || state.losses >= bounds_.losses) return;
  State after = state;
  Replica& empty = after.replicas[static_cast<size_t>(r)];
  empty = {};  // it knows only the set of its settings
  empty.stage = !guards_.refill ? Stage::voting : guards_.refill_wait ? Stage::waiting : Stage::gathering;
  ++after.losses;
  emit(Kind::lose_disk, r, 0, 0, after);
}

void Protocol::refills(const State& state, int r) const {
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  if (replica.stage == Stage::absent) return;
  lose_disk(state, r);
  if (replica.stage == Stage::waiting) {
    State after = state;
    after.replicas[static_cast<size_t>(r)].stage = Stage::gathering;
    forget_old_votes(after, r);
    emit(Kind::wait_over, r, 0, 0, after);
  }
  if (replica.refilling() && contains(sets_[replica.set].members(), r))
    for (int from = 0; from < kReplicas; ++from) take_dump(state, r, from);
}

void Protocol::take_dump(const State& state, int r, int from) const {
  const Replica& replica = state.replicas[static_cast<size_t>(r)];
  const Replica& source = state.replicas[static_cast<size_t>(from)];
  const ReplicaSet& set = sets_[replica.set];
  auto others = static_cast<Members>((set.joint() ? set.previous : set.replicas) & ~member(r));
  if (!source.voting() || !contains(others, from) || contains(replica.gathered, from)) return;
  SetId shown = source.registers[static_cast<size_t>(Register::replica_set)].value;
  if (guards_.newer_set_in_dump && epoch(shown) > epoch(replica.set)) return;
  State after = state;
  Replica& filled = after.replicas[static_cast<size_t>(r)];
  for (size_t reg = 0; reg < kRegisters; ++reg)
    filled.registers[reg] = votes_.higher(filled.registers[reg], source.registers[reg]);
  filled.gathered |= member(from);
  int majority = std::popcount(static_cast<unsigned>(others)) / 2 + 1;
  if (std::popcount(static_cast<unsigned>(filled.gathered)) >= majority) {
    filled.gathered = 0;
    filled.stage = Stage::voting;
    for (size_t reg = 0; reg < kRegisters; ++reg)
      filled.copied[reg] = guards_.copies_are_no_votes && filled.registers[reg].accepted != 0;
  }
  emit(Kind::dump, r, from, 0, after);
}

// Runs a complete round on the register "holders" as one step, with the votes of any minimal quorum.
void Protocol::write_set(const State& state, int p) const {
  const Proposer& proposer = state.proposers[static_cast<size_t>(p)];
  auto reg = static_cast<size_t>(Register::replica_set);
  SetId next = next_set(proposer.set, p);
  uint8_t version = version_of(Register::replica_set, next);
  if (state.acknowledged[reg][version] != 0)
    return;  // lost the compare-and-set; another step delivers the newer set
  Members able = 0;
  for (int r = 0; r < kReplicas; ++r)
    if (answers(state.replicas[static_cast<size_t>(r)], proposer.set)) able |= member(r);
  able &= sets_[proposer.set].members();
  for (unsigned subset = 1; subset < 1u << kReplicas; ++subset) {
    auto voters = static_cast<Members>(subset);
    if ((voters & ~able) != 0 || !is_quorum(proposer.set, voters)) continue;
    bool spare = false;
    for (int r = 0; r < kReplicas; ++r)
      spare |= contains(voters, r) && is_quorum(proposer.set, static_cast<Members>(voters & ~member(r)));
    if (spare) continue;
    State after = state;
    Ballot ballot = ballot_of(version, p);
    for (int r = 0; r < kReplicas; ++r)
      if (contains(voters, r)) {
        Replica& replica = after.replicas[static_cast<size_t>(r)];
        replica.registers[reg] = votes_.accept(replica.registers[reg], ballot, next).state;
        replica.copied[reg] = false;
      }
    ++after.rounds[reg];
    record(after, Register::replica_set, next);
    learn(after, p, next);
    emit(Kind::write_set, p, next, voters, after);
  }
}

// A newer set cancels the current round and the progress made in leaving the previous set.
void Protocol::learn(State& state, int p, SetId set) const {
  Proposer& proposer = state.proposers[static_cast<size_t>(p)];
  if (epoch(set) <= epoch(proposer.set)) return;
  proposer.set = set;
  proposer.round = {};
  proposer.adopters = 0;
  proposer.step = ChangeStep::none;
}

void Protocol::changes(const State& state, int p) const {
  const Proposer& proposer = state.proposers[static_cast<size_t>(p)];
  const ReplicaSet& set = sets_[proposer.set];
  Members without_data = 0;
  std::array<Members, kSets> holding{};  // the replicas that report each set at their latest ballot
  for (int r = 0; r < kReplicas; ++r) {
    const Replica& replica = state.replicas[static_cast<size_t>(r)];
    if (!contains(set.members(), r) || replica.stage == Stage::absent) continue;
    if (epoch(replica.set) > epoch(proposer.set)) {
      State after = state;
      learn(after, p, replica.set);
      emit(Kind::learn_from_replica, p, r, 0, after);
      continue;
    }
    if (replica.voting()) {
      bool heard = !guards_.names_from_adopters || replica.set == proposer.set;
      if (heard && replica.registers[static_cast<size_t>(Register::data)].accepted == 0)
        without_data |= member(r);
      auto set_register = static_cast<size_t>(Register::replica_set);
      if (!replica.copied[set_register]) holding[replica.registers[set_register].value] |= member(r);
    }
    if (bounds_.split_roles && p == 1) continue;  // the writer does not change sets
    bool news = epoch(replica.set) < epoch(proposer.set);
    if (!news && (!set.joint() || contains(proposer.adopters, r))) continue;
    State after = state;
    Replica& adopter = after.replicas[static_cast<size_t>(r)];
    adopter.set = proposer.set;
    if (news && !adopter.voting()) {  // its dumps come from the members of another set
      adopter.registers = {};
      adopter.gathered = 0;
    }
    Proposer& counting = after.proposers[static_cast<size_t>(p)];
    if (set.joint()) counting.adopters |= member(r);
    if (set.joint() && is_quorum(proposer.set, counting.adopters))
      counting.step = std::max(counting.step, ChangeStep::adopted);
    emit(Kind::adopt, p, r, 0, after);
  }
  for (SetId shown = 1; shown < kSets; ++shown) {
    if (epoch(shown) <= epoch(proposer.set) || !is_quorum(proposer.set, holding[shown])) continue;
    State after = state;
    record(after, Register::replica_set, shown);
    learn(after, p, shown);
    emit(Kind::learn_chosen, p, shown, 0, after);
  }
  auto needed = guards_.adoption_before_names ? ChangeStep::adopted : ChangeStep::none;
  if (set.joint() && proposer.step == needed && is_quorum(proposer.set, without_data)) {
    State after = state;
    after.proposers[static_cast<size_t>(p)].step = ChangeStep::settled;
    emit(Kind::no_names, p, 0, 0, after);
  }
  if (state.restarts < bounds_.restarts) {
    State after = state;
    after.proposers[static_cast<size_t>(p)] = {};
    ++after.restarts;
    emit(Kind::restart, p, 0, 0, after);
  }
}

}  // namespace dunlinwing::test::model
