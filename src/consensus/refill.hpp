/// @file
/// Decides how a replica whose disk may not vote becomes a voting one: the responses of the other replicas to
/// one round of snapshot requests, and the next step. Pure functions; the acceptor does the I/O.
///
/// A disk changes from empty to joining to voting (pb::ReplicaStage).
/// - Empty to joining, at the first start of a fleet: when every replica responds and none has a register. At
///   any other start, the replicas that are not joining must also be fewer than a majority: only those may
///   ever have voted, so nothing was ever acknowledged.
/// - Joining to voting: when every replica is joining, or at least one votes.
/// - An empty disk among voting ones is a replacement for a lost one: it waits one round timeout, so that no
///   round still counts a vote of the lost disk, and then copies the highest promise and value of each
///   register from a majority of the other replicas. So does a machine that has just become a replica.
///
/// Threads: the functions are stateless.
#pragma once
#include "consensus/replica_set.hpp"

namespace dunlinwing::consensus {

/// Summary of the snapshots that the other replicas reported.
struct RefillSurvey {
  size_t requested = 0;                ///< replicas that a snapshot was requested from: all others of the set
  size_t responded = 0;                ///< of these, the ones that responded
  size_t joining = 0;                  ///< disks that are joining or voting
  size_t voting = 0;                   ///< disks that are voting
  size_t voting_on_complete_list = 0;  ///< of these, the ones on ReplicaSetView::complete_list()
  size_t with_registers = 0;           ///< replicas that have at least one register
  bool newer_set = false;              ///< a response contained a newer replica set than this node had
  std::map<std::string, pb::RegisterState> registers;  ///< the highest state of each, from voting disks

  bool all_responded() const { return responded == requested; }
};

enum class RefillStep {
  survey_again,    ///< too few responses, or a newer replica set may be in force
  adopt_state,     ///< store the reported registers on the empty disk, then vote
  become_joining,  ///< nothing was ever recorded
  become_voting,
  undecidable,  ///< all responded, but whether anything was ever recorded is unknown
};

/// Adds one response to the survey and adopts its replica set if that is newer.
void add_response(RefillSurvey& survey, const Replica& replica, const pb::Snapshot& snapshot,
                  ReplicaSetView& set);

/// @param stage        of this node's disk; not VOTING
/// @param first_start  whether this is known to be the first start of the whole fleet
[[nodiscard]] RefillStep next_step(const RefillSurvey& survey, pb::ReplicaStage stage,
                                   const ReplicaSetView& set, const std::string& node_name, bool first_start);

}  // namespace dunlinwing::consensus
