// Describes the steps of a trace.
#include "protocol.hpp"

namespace dunlinwing::test::model {
namespace {

std::string proposer_name(int p) { return "P" + std::to_string(p + 1); }

// The phase of a round that a step completed, if any.
std::string consequence(const State& before, const State& after, int p) {
  auto& was = before.proposers[static_cast<size_t>(p)].round;
  auto& is = after.proposers[static_cast<size_t>(p)].round;
  Register reg = register_of(was.purpose);
  if (was.phase == Phase::preparing && is.phase == Phase::accepting)
    return "; a quorum promised, it proposes " + text_of_value(reg, is.value);
  if (was.phase == Phase::accepting && is.phase == Phase::idle)
    return "; a quorum accepted, acknowledged: " + text_of_value(reg, was.value);
  return {};
}

std::string describe_round(const State& before, Action action, const State& after) {
  auto& round = after.proposers[action.first].round;
  return proposer_name(action.first) + " begins round " + text_of_ballot(round.ballot) + " under " +
         text_of_set(before.proposers[action.first].set) + " to " + text(round.purpose);
}

std::string describe_accept(const State& before, Action action, const State& after) {
  auto reg = static_cast<Register>(action.first);
  auto& request = before.accepts[action.first][action.second];
  return text_of_replica(action.third) + " accepts " + text_of_ballot(action.second) + " of " + text(reg) +
         ": " + text_of_value(reg, request.value) + " (requested under " + text_of_set(request.set) + ")" +
         consequence(before, after, proposer_of(action.second));
}

std::string describe_dump(const State& before, Action action, const State& after) {
  auto& replica = after.replicas[action.first];
  auto& data = replica.registers[static_cast<size_t>(Register::data)];
  return text_of_replica(action.first) + " receives a dump from " + text_of_replica(action.second) +
         " under " + text_of_set(before.replicas[action.first].set) +
         (replica.voting() ? "; refilled, it votes: promised " + text_of_ballot(data.promised) +
                                 ", accepted " + text_of_value(Register::data, data.value)
                           : "");
}

}  // namespace

std::string Protocol::describe(const State& before, Action action, const State& after) const {
  switch (static_cast<Kind>(action.kind)) {
    case Kind::begin_round:
      return describe_round(before, action, after);
    case Kind::prepare:
      return text_of_replica(action.second) + " promises " +
             text_of_ballot(before.proposers[action.first].round.ballot) + " of " +
             text(register_of(before.proposers[action.first].round.purpose)) +
             consequence(before, after, action.first);
    case Kind::accept:
      return describe_accept(before, action, after);
    case Kind::learn_from_replica:
      return text_of_replica(action.second) + " reports " + text_of_set(after.proposers[action.first].set) +
             " to " + proposer_name(action.first);
    case Kind::learn_chosen:
      return proposer_name(action.first) + " finds " + text_of_set(action.second) + " at a quorum";
    case Kind::restart:
      return proposer_name(action.first) + " restarts and forgets its round, its ballots and its set";
    case Kind::lose_disk:
      return text_of_replica(action.first) + " loses its disk" +
             (after.replicas[action.first].voting() ? " and votes at once" : "");
    case Kind::wait_over:
      return text_of_replica(action.first) + " has waited for one round limit";
    case Kind::dump:
      return describe_dump(before, action, after);
    case Kind::adopt:
      return text_of_replica(action.second) + " adopts " + text_of_set(before.proposers[action.first].set) +
             " and confirms it to " + proposer_name(action.first);
    case Kind::no_names:
      return proposer_name(action.first) + " reads the register names: there are none to finish";
    case Kind::write_set: {
      std::string voters;
      for (int r = 0; r < kReplicas; ++r)
        if (contains(action.third, r)) voters += text_of_replica(r);
      return proposer_name(action.first) + " writes " + text_of_set(action.second) + " with the votes of " +
             voters;
    }
    case Kind::begin_read:
      return "a read begins under " + text_of_set(action.first);
    case Kind::read_reply:
      return text_of_replica(action.first) + " replies to the read" +
             (after.reader.active ? "" : "; a quorum agrees, the read returns");
  }
  return {};
}

}  // namespace dunlinwing::test::model
