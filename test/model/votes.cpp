// Translates between the model's numbers and the product's messages.
#include "votes.hpp"

#include <string>

#include "consensus/vote.hpp"

namespace dunlinwing::test::model {
namespace {

constexpr int kUnknown = -1;
constexpr int kBallotChoices = kBallots + 1;
constexpr int kStates = kBallotChoices * kBallotChoices * kValues;
constexpr const char* kRegisterName = "register";

int index_of(RegisterState state) {
  return (state.promised * kBallotChoices + state.accepted) * kValues + state.value;
}

RegisterState state_at(int index) {
  RegisterState state;
  state.value = static_cast<Value>(index % kValues);
  state.accepted = static_cast<Ballot>(index / kValues % kBallotChoices);
  state.promised = static_cast<Ballot>(index / kValues / kBallotChoices);
  return state;
}

pb::Ballot message_of(Ballot ballot) {
  pb::Ballot message;
  if (ballot == 0) return message;
  message.set_round(static_cast<uint64_t>(round_of(ballot)));
  message.set_node("node-" + std::to_string(proposer_of(ballot)));
  return message;
}

Ballot ballot_from(const pb::Ballot& message) {
  if (message.round() == 0) return 0;
  return ballot_of(static_cast<int>(message.round()), message.node().back() - '0');
}

pb::Value value_message(Value value) {
  pb::Value message;
  message.set_version(value);  // opaque to the voting functions, which only copy it
  return message;
}

pb::RegisterState message_of(RegisterState state) {
  pb::RegisterState message;
  message.set_name(kRegisterName);
  *message.mutable_promised() = message_of(state.promised);
  *message.mutable_accepted() = message_of(state.accepted);
  *message.mutable_value() = value_message(state.value);
  return message;
}

RegisterState state_from(const pb::RegisterState& message) {
  return {ballot_from(message.promised()), ballot_from(message.accepted()),
          static_cast<Value>(message.value().version())};
}

// A step as one number: the state's index and, in the lowest bit, the vote.
int32_t packed(const consensus::VoteStep& step) {
  return index_of(state_from(step.state)) * 2 + (step.granted ? 1 : 0);
}

VoteStep unpacked(int32_t entry) { return {state_at(entry / 2), entry % 2 == 1}; }

}  // namespace

Votes::Votes()
    : prepared_(kStates * kBallotChoices, kUnknown),
      accepted_(kStates * kBallotChoices * kValues, kUnknown),
      merged_(kStates * kStates, kUnknown) {}

VoteStep Votes::prepare(RegisterState state, Ballot ballot) {
  int32_t& entry = prepared_[static_cast<size_t>(index_of(state) * kBallotChoices + ballot)];
  if (entry == kUnknown) {
    pb::Prepare request;
    request.set_name(kRegisterName);
    *request.mutable_ballot() = message_of(ballot);
    entry = packed(consensus::prepare(message_of(state), request));
  }
  return unpacked(entry);
}

VoteStep Votes::accept(RegisterState state, Ballot ballot, Value value) {
  int32_t& entry =
      accepted_[static_cast<size_t>((index_of(state) * kBallotChoices + ballot) * kValues + value)];
  if (entry == kUnknown) {
    pb::Accept request;
    request.set_name(kRegisterName);
    *request.mutable_ballot() = message_of(ballot);
    *request.mutable_value() = value_message(value);
    entry = packed(consensus::accept(message_of(state), request));
  }
  return unpacked(entry);
}

RegisterState Votes::higher(RegisterState a, RegisterState b) {
  int32_t& entry = merged_[static_cast<size_t>(index_of(a) * kStates + index_of(b))];
  if (entry == kUnknown) entry = index_of(state_from(consensus::merge_highest(message_of(a), message_of(b))));
  return state_at(entry);
}

}  // namespace dunlinwing::test::model
