// The product's voting functions in the compact encoding of the model.
//
// A replica's state of a register is three small numbers in the model and a
// protobuf message in the product. Each distinct step is computed once by
// `consensus::prepare`, `accept` and `merge_highest` and cached in a table, so
// the explorer runs the product's code at the cost of an array access.
#pragma once
#include <cstdint>
#include <vector>

namespace dunlinwing::test::model {

inline constexpr int kProposers = 2;
inline constexpr int kMaxRound = 4;
inline constexpr int kBallots = kProposers * kMaxRound;  // a ballot is 1..kBallots; 0 is none
inline constexpr int kValues = 8;                        // of one register, 0 being "never written"

using Ballot = uint8_t;
using Value = uint8_t;

// Numbered so that ballots compare as numbers in the order of `consensus::is_lower`.
constexpr Ballot ballot_of(int round, int proposer) {
  return static_cast<Ballot>((round - 1) * kProposers + proposer + 1);
}
constexpr int round_of(Ballot ballot) { return (ballot - 1) / kProposers + 1; }
constexpr int proposer_of(Ballot ballot) { return (ballot - 1) % kProposers; }

// The state of one register on a replica's disk.
struct RegisterState {
  Ballot promised = 0;
  Ballot accepted = 0;
  Value value = 0;
  bool operator==(const RegisterState&) const = default;
};

struct VoteStep {
  RegisterState state;
  bool granted = false;
};

// Tables of the product's functions, filled on first use of each step.
class Votes {
 public:
  Votes();
  VoteStep prepare(RegisterState state, Ballot ballot);
  VoteStep accept(RegisterState state, Ballot ballot, Value value);
  RegisterState higher(RegisterState a, RegisterState b);

 private:
  std::vector<int32_t> prepared_, accepted_, merged_;
};

}  // namespace dunlinwing::test::model
