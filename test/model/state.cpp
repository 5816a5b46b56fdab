// Versions and parents of values, and the text of each type in a trace.
#include "state.hpp"

namespace dunlinwing::test::model {
namespace {
constexpr Value kFirstOfVersionTwo = 1 + kProposers;
}

uint8_t version_of(Register reg, Value value) {
  if (value == 0) return 0;
  if (reg == Register::data) return value < kFirstOfVersionTwo ? 1 : 2;
  return value == kJointSet || value == kRivalJointSet ? 1 : 2;
}

Value parent_of(Register reg, Value value) {
  if (version_of(reg, value) < 2) return 0;
  if (reg == Register::replica_set) return value - 1;
  return static_cast<Value>(1 + (value - kFirstOfVersionTwo) / kProposers);
}

Value next_data_value(Value parent, int writer) {
  if (parent == 0) return static_cast<Value>(1 + writer);
  return static_cast<Value>(kFirstOfVersionTwo + (parent - 1) * kProposers + writer);
}

std::string text(Register reg) { return reg == Register::data ? "data" : "holders"; }

std::string text_of_value(Register reg, Value value) {
  if (value == 0) return "nothing";
  if (reg == Register::replica_set) return text_of_set(value);
  int writer = version_of(reg, value) == 1 ? value - 1 : (value - kFirstOfVersionTwo) % kProposers;
  std::string own =
      "version " + std::to_string(version_of(reg, value)) + " by P" + std::to_string(writer + 1);
  return parent_of(reg, value) == 0 ? own : own + " after " + text_of_value(reg, parent_of(reg, value));
}

std::string text_of_ballot(Ballot ballot) {
  if (ballot == 0) return "none";
  return std::to_string(round_of(ballot)) + ".P" + std::to_string(proposer_of(ballot) + 1);
}

std::string text_of_set(SetId set) {
  switch (set) {
    case kFirstSet:
      return "epoch 1";
    case kJointSet:
      return "epoch 2 (joint)";
    case kSecondSet:
      return "epoch 3";
    case kRivalJointSet:
      return "rival epoch 2 (joint)";
    default:
      return "rival epoch 3";
  }
}

std::string text_of_replica(int replica) { return std::string(1, static_cast<char>('A' + replica)); }

std::string text(Purpose purpose) {
  switch (purpose) {
    case Purpose::none:
      return "nothing";
    case Purpose::write:
      return "write data";
    case Purpose::read:
      return "read data by a full round";
    case Purpose::settle:
      return "finish data for the change";
    case Purpose::change_set:
      return "write the next replica set";
  }
  return {};
}

std::string text(Broken broken) {
  switch (broken) {
    case Broken::nothing:
      return {};
    case Broken::two_values:
      return "two values acknowledged for one version of a register";
    case Broken::two_values_of_one_ballot:
      return "two values proposed under one ballot";
    case Broken::chain:
      return "a version does not follow the one acknowledged before it";
    case Broken::stale_read:
      return "a read returned an older version than one acknowledged before it began";
  }
  return {};
}

}  // namespace dunlinwing::test::model
