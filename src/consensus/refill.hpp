// How a disk that may not vote comes to it: what it heard of the other replicas in one round of
// asks, and the step that follows from it. Pure; the acceptor asks, waits and writes.
//
// A disk goes from blank to born to formed, and only a formed one votes. At the first start of
// a fleet blank turns to born when every replica answers and none has a register. At any
// other start it does so only when, besides, so many others are born that those that may ever
// have voted are no majority: then nothing was ever acknowledged. Born turns to formed when
// every replica is born, or one is formed. A blank disk among formed ones has been lost: it
// waits one round's limit, so that no round still counts a vote that its old disk gave, and
// then takes the highest promise and value from a majority of the others. So does a machine
// that has just been made a replica.
#pragma once
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

// What the other replicas told of themselves, each with a dump of all that it holds.
struct RefillSurvey {
  size_t requested = 0, responded = 0;
  size_t joining = 0;          // disks that are born or formed
  size_t voting = 0;           // disks that vote
  size_t voting_complete = 0;  // of these, the ones on the list that holds everything ever chosen
  size_t with_registers = 0;   // replies that hold any register
  bool newer_set = false;      // somebody knows a newer replica set than this node did
  std::map<std::string, pb::RegisterState> registers;  // the highest of each, from disks that vote

  bool every() const { return responded == requested; }
};

enum class RefillStep {
  survey_again,    // too few have answered, or they are of another set than the one in force
  adopt_state,     // a blank disk takes what the others hold, and votes
  become_joining,  // nothing was ever recorded
  become_voting,
  undecidable,  // all answer, and none can tell whether anything was ever recorded
};

// Adds one reply to the survey and takes the replica set that it names.
void add_response(RefillSurvey& survey, const Replica& replica, const pb::Snapshot& image,
                  ReplicaSetView& set);

// `first_start`: this is known to be the first start of the whole fleet.
RefillStep next_step(const RefillSurvey& survey, pb::ReplicaStage stage, const ReplicaSetView& set,
                     const std::string& node_name, bool first_start);

}  // namespace dunlinwing::consensus
