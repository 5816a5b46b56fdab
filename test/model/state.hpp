// A state of the model: replicas, proposers, a reader, the accept requests in
// flight, and the values acknowledged so far.
//
// Every field is a byte, so a state has no padding and its bytes can be hashed.
// Unused fields are zero, so equivalent situations are equal states.
#pragma once
#include <array>
#include <string>

#include "votes.hpp"

namespace dunlinwing::test::model {

inline constexpr int kReplicas = 5;
inline constexpr int kVersions = 3;  // of a register: 0 (never written), 1 and 2

using Members = uint8_t;  // a set of replicas, one bit each
constexpr Members member(int replica) { return static_cast<Members>(1 << replica); }
constexpr bool contains(Members members, int replica) { return (members & member(replica)) != 0; }

enum class Register : uint8_t { data, replica_set };
inline constexpr int kRegisters = 2;

// All possible replica sets. Each is also its value in the register "holders";
// the first one is known from the settings.
using SetId = uint8_t;
inline constexpr SetId kFirstSet = 0;        // epoch 1, stable
inline constexpr SetId kJointSet = 1;        // epoch 2: the first set and its successor
inline constexpr SetId kSecondSet = 2;       // epoch 3, stable
inline constexpr SetId kRivalJointSet = 3;   // epoch 2 of a competing change
inline constexpr SetId kRivalSecondSet = 4;  // epoch 3 of a competing change
inline constexpr int kSets = 5;

struct ReplicaSet {
  uint8_t epoch = 0;
  Members replicas = 0;
  Members previous = 0;  // empty unless joint
  bool joint() const { return previous != 0; }
  Members members() const { return replicas | previous; }
};

// Whether a replica votes, and otherwise the stage of its refill.
enum class Stage : uint8_t {
  absent,  // not part of this run
  voting,
  waiting,    // lost its disk less than the round limit ago
  gathering,  // collects dumps after a loss
  joining,    // a new member, collects dumps for the first time
};

struct Replica {
  std::array<RegisterState, kRegisters> registers;
  SetId set = kFirstSet;  // adopted; of a non-voting replica: the set under which it refills
  Stage stage = Stage::absent;
  Members gathered = 0;                   // the replicas whose dumps it has
  std::array<bool, kRegisters> copied{};  // the accepted value is from a dump, not from its own vote
  bool voting() const { return stage == Stage::voting; }
  bool refilling() const { return stage == Stage::gathering || stage == Stage::joining; }
};

enum class Phase : uint8_t { idle, preparing, accepting };

enum class Purpose : uint8_t {
  none,
  write,       // the next version of the data register
  read,        // the current value of the data register
  settle,      // like read, as a step of a change of the replica set
  change_set,  // the next replica set
};

// A Paxos round in the memory of its proposer.
struct Round {
  Phase phase = Phase::idle;
  Purpose purpose = Purpose::none;
  Ballot ballot = 0;
  SetId set = kFirstSet;  // quorums are formed in this set
  uint8_t floor = 0;      // version acknowledged before the round began
  Members promises = 0;
  Ballot best_accepted = 0;  // among the promises
  Value value = 0;           // of that ballot; when accepting: proposed
  Members accepts = 0;
};

constexpr Register register_of(Purpose purpose) {
  return purpose == Purpose::change_set ? Register::replica_set : Register::data;
}

// The progress of a proposer in leaving its joint set.
enum class ChangeStep : uint8_t {
  none,
  adopted,  // a quorum of the joint set has adopted it
  settled,  // every register listed after that is finished
};

struct Proposer {
  Round round;
  SetId set = kFirstSet;                  // the newest known
  std::array<uint8_t, kRegisters> top{};  // highest round number used; forgotten in a restart
  Members adopters = 0;                   // replicas that confirmed the adoption of `set`
  ChangeStep step = ChangeStep::none;
};

// An accept request; once sent it may arrive at any replica at any time.
struct AcceptRequest {
  bool sent = false;
  SetId set = kFirstSet;
  Value value = 0;
};

// A read of the data register without a round, which collects replies one by one.
struct Reader {
  bool active = false;
  SetId set = kFirstSet;
  uint8_t floor = 0;                         // version acknowledged before the read began
  Members copies = 0;                        // replicas that reported their value as a copy
  std::array<uint8_t, kReplicas> replies{};  // 0: none, otherwise the accepted ballot plus one
};

enum class Broken : uint8_t { nothing, two_values, two_values_of_one_ballot, chain, stale_read };

struct State {
  std::array<Replica, kReplicas> replicas;
  std::array<Proposer, kProposers> proposers;
  std::array<std::array<AcceptRequest, kBallots + 1>, kRegisters> accepts;  // by ballot
  Reader reader;
  std::array<std::array<Value, kVersions>, kRegisters> acknowledged{};  // by version
  std::array<uint8_t, kRegisters> rounds{};                             // begun so far
  uint8_t losses = 0;
  uint8_t restarts = 0;
  uint8_t reads = 0;
  Broken broken = Broken::nothing;
};

// Values of the data register: version 1 by writer w is 1 + w; version 2 by w with parent p is 3 + 2(p - 1) +
// w.
uint8_t version_of(Register reg, Value value);
Value parent_of(Register reg, Value value);
Value next_data_value(Value parent, int writer);

std::string text(Register reg);
std::string text_of_value(Register reg, Value value);
std::string text_of_ballot(Ballot ballot);
std::string text_of_set(SetId set);
std::string text_of_replica(int replica);
std::string text(Purpose purpose);
std::string text(Broken broken);

}  // namespace dunlinwing::test::model
