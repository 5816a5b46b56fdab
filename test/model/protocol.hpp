// A model of the consensus protocol: the steps enabled in a state and their
// results. The voting is the product's code (votes.hpp); quorums, rounds, refills
// and changes of the replica set are modelled as specified in docs/design.md.
#pragma once
#include "explorer.hpp"
#include "state.hpp"

namespace dunlinwing::test::model {

// The mechanisms that keep the protocol safe. An exploration without one of them must find a violation.
struct Guards {
  bool previous_majority = true;      // a joint quorum needs a majority of the previous set too
  bool finish_registers = true;       // all registers are finished before the joint set is left
  bool adoption_before_names = true;  // a quorum adopts the joint set before the names are read
  bool names_from_adopters = true;    // only replies of adopters of the joint set count when names are read
  bool refill = true;                 // a replica that lost its disk is refilled before it votes
  bool refill_wait = true;  // and first waits for the round limit, after which its old votes do not count
  bool newer_set_in_dump = true;     // and ignores a dump that contains a newer set than its own
  bool promise_order = true;         // a proposer adopts the highest accepted value of its promises
  bool copies_are_no_votes = true;   // a read does not count a value copied in a refill as an accept vote
  bool old_replies_of_reads = true;  // a read does not count replies older than the round limit
};

// The initial state of a run.
enum class Start : uint8_t {
  first_set,   // nothing has happened
  joint_set,   // A and B have voted for the joint set and P1 knows it; nobody has adopted it
  second_set,  // the change is done: A and B have voted for the second set, C knows of no change
};

// Limits of a run.
struct Bounds {
  int replicas = 3;           // in the first set: A, B, C
  bool change = false;        // C may be replaced by D through a joint set
  bool rival_change = false;  // and B by E through a competing one
  Start start = Start::first_set;
  int data_versions = 1;
  int data_rounds = 3;  // started by all proposers in total
  int set_rounds = 0;
  int most_round_number = 2;
  bool split_roles = false;        // P1 changes the set and reads, P2 writes; otherwise each does everything
  bool atomic_set_writes = false;  // a write of the replica set is one step, accepted by any minimal quorum
  int writer_rounds = 1;           // with split roles: how many of the data rounds P2 may start
  int writer_number = 0;           // and with which round number; 0: any
  int losses = 0;                  // of disks, one at a time
  int restarts = 0;                // of proposers
  int reads = 0;                   // without a round
};

class Protocol {
 public:
  using State = model::State;
  enum class Kind : uint8_t {
    begin_round,
    prepare,
    accept,
    learn_from_replica,
    learn_chosen,
    restart,
    lose_disk,
    wait_over,
    dump,
    adopt,
    no_names,
    begin_read,
    read_reply,
    write_set
  };

  Protocol(Bounds bounds, Guards guards);
  State initial() const;
  State canonical(const State& state) const;
  std::string violation(const State& state) const { return text(state.broken); }
  std::string describe(const State& before, Action action, const State& after) const;
  template <class Visit>
  void each_step(const State& state, Visit visit) const {
    steps_.clear();
    collect(state);
    for (auto& step : steps_) visit(step.action, step.after);
  }

 private:
  struct Step {
    Action action;
    State after;
  };

  // protocol.cpp: replica sets, and the collection of all steps
  void collect(const State& state) const;
  void begin_within_change(State& state) const;
  // rounds.cpp
  void begin_rounds(const State& state, int proposer) const;
  void begin_round(const State& state, int proposer, Purpose purpose) const;
  bool may_change_set(const Proposer& proposer) const;
  void deliver_prepare(const State& state, int proposer, int replica) const;
  void deliver_accept(const State& state, Register reg, Ballot ballot, int replica) const;
  void propose(State& state, int proposer) const;
  void conclude(State& state, int proposer) const;
  void record(State& state, Register reg, Value value) const;
  // membership.cpp: refills, changes of the replica set; reads.cpp: reads
  void refills(const State& state, int replica) const;
  void lose_disk(const State& state, int replica) const;
  void take_dump(const State& state, int replica, int from) const;
  void changes(const State& state, int proposer) const;
  void write_set(const State& state, int proposer) const;
  void learn(State& state, int proposer, SetId set) const;
  void reads(const State& state) const;
  void read_reply(const State& state, int replica) const;
  void forget_old_votes(State& state, int replica) const;

  bool is_quorum(SetId set, Members members) const;
  bool answers(const Replica& replica, SetId asked_under) const;
  bool may_still_count(const State& state, Register reg, Ballot ballot) const;
  SetId next_set(SetId set, int proposer) const;
  uint8_t epoch(SetId set) const { return sets_[set].epoch; }
  void emit(Kind kind, int first, int second, int third, const State& after) const;

  Bounds bounds_;
  Guards guards_;
  std::array<ReplicaSet, kSets> sets_;
  mutable Votes votes_;
  mutable std::vector<Step> steps_;  // reused between states
};

}  // namespace dunlinwing::test::model
