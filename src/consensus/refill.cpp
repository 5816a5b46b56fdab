#include "consensus/refill.hpp"

#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {

// The epoch of the replica set from the settings, before any change of it.
constexpr uint64_t kInitialEpoch = 1;

// Whether a majority may ever have voted, as far as an empty disk can tell once every other replica has
// responded. A joining disk knows that it has never voted.
bool may_have_voted(const ReplicaSetView& set, size_t joining) {
  const auto replicas = set.all().size();
  return replicas - joining >= majority_of(replicas);
}

// How many other replicas of the complete list have to report their registers before this disk may vote:
// enough that they include a member of each quorum in which the lost disk of this node may have voted.
size_t refill_quorum(const ReplicaSetView& set, const std::string& node_name) {
  const auto& list = set.complete_list();
  return majority_of(list.size() - (contains_name(list, node_name) ? 1 : 0));
}

// Whether one of the surveyed replicas has accepted a newer set than the current one. It may be in force
// already; then some quorums include replicas that were not surveyed.
bool reports_newer_set(const RefillSurvey& survey, const ReplicaSetView& set) {
  auto found = survey.registers.find(kReplicaSetKey);
  if (found == survey.registers.end()) return false;
  pb::ReplicaSet later;
  return later.ParseFromString(found->second.value().data()) && later.epoch() > set.epoch();
}

bool nothing_was_recorded(const RefillSurvey& survey, const ReplicaSetView& set, bool first_start) {
  const bool nothing_seen = survey.all_responded() && !survey.with_registers && !survey.voting;
  const bool set_never_changed = set.epoch() <= kInitialEpoch && !set.joint();
  return nothing_seen && set_never_changed && (first_start || !may_have_voted(set, survey.joining));
}

}  // namespace

void add_response(RefillSurvey& survey, const Replica& replica, const pb::Snapshot& snapshot,
                  ReplicaSetView& set) {
  survey.newer_set |= set.adopt(snapshot.replica_set());
  ++survey.responded;
  if (snapshot.stage() != pb::REPLICA_EMPTY) ++survey.joining;
  if (snapshot.registers_size() > 0) ++survey.with_registers;
  if (snapshot.stage() != pb::REPLICA_VOTING) return;
  ++survey.voting;
  if (contains(set.complete_list(), replica)) ++survey.voting_on_complete_list;
  for (const auto& state : snapshot.registers()) {
    auto& highest = survey.registers[state.name()];
    highest = merge_highest(highest, state);
  }
}

RefillStep next_step(const RefillSurvey& survey, pb::ReplicaStage stage, const ReplicaSetView& set,
                     const std::string& node_name, bool first_start) {
  if (survey.newer_set || !set.has(node_name) || reports_newer_set(survey, set))
    return RefillStep::survey_again;
  if (stage == pb::REPLICA_JOINING) {
    const bool all_joining = survey.all_responded() && survey.joining == survey.requested;
    return survey.voting > 0 || all_joining ? RefillStep::become_voting : RefillStep::survey_again;
  }
  if (survey.voting_on_complete_list >= refill_quorum(set, node_name)) return RefillStep::adopt_state;
  if (nothing_was_recorded(survey, set, first_start)) return RefillStep::become_joining;
  return survey.all_responded() && !survey.voting ? RefillStep::undecidable : RefillStep::survey_again;
}

}  // namespace dunlinwing::consensus
