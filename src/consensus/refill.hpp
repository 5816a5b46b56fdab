/// @file
/// How the replica of a disk that may not vote comes to vote: what the other replicas reported in one round
/// of snapshot requests, and the step that follows from it. Pure; the acceptor sends, waits and writes.
///
/// A disk goes from empty to joining to voting (pb::ReplicaStage).
/// - Empty to joining, at the first start of a fleet: when every replica answers and none has a register. At
///   any other start only when, besides, so many others are joining that those that may ever have voted are
///   no majority: then nothing was ever acknowledged.
/// - Joining to voting: when every replica is joining, or one votes.
/// - An empty disk among voting ones has been lost: it waits one round's timeout, so that no round still
/// counts
///   a vote that its old disk gave, and then takes the highest promise and value from a majority of the
///   others. So does a machine that has just been made a replica.
///
/// Threads: the functions have no state of their own.
#pragma once
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

/// What the other replicas reported of themselves, each with a snapshot of all that it holds.
struct RefillSurvey {
  size_t requested = 0;        ///< replicas that were asked: all others of the set
  size_t responded = 0;        ///< of these, the ones that answered
  size_t joining = 0;          ///< disks that are joining or vote
  size_t voting = 0;           ///< disks that vote
  size_t voting_complete = 0;  ///< of these, the ones on the list that holds everything ever chosen
  size_t with_registers = 0;   ///< replicas that hold any register
  bool newer_set = false;      ///< somebody knows a newer replica set than this node did
  std::map<std::string, pb::RegisterState> registers;  ///< the highest of each, from disks that vote

  bool all_responded() const { return responded == requested; }
};

enum class RefillStep {
  survey_again,    ///< too few have answered, or they are of another set than the one in force
  adopt_state,     ///< an empty disk takes what the others hold, and votes
  become_joining,  ///< nothing was ever recorded
  become_voting,
  undecidable,  ///< all answer, and none can tell whether anything was ever recorded
};

/// Adds one response to the survey and takes the replica set that it names.
void add_response(RefillSurvey& survey, const Replica& replica, const pb::Snapshot& snapshot,
                  ReplicaSetView& set);

/// @param stage        of the disk of this node; not VOTING
/// @param first_start  this is known to be the first start of the whole fleet
[[nodiscard]] RefillStep next_step(const RefillSurvey& survey, pb::ReplicaStage stage,
                                   const ReplicaSetView& set, const std::string& node_name, bool first_start);

}  // namespace dunlinwing::consensus
