#include "consensus/refill.hpp"

#include "consensus/vote.hpp"

namespace dunlinwing::consensus {
namespace {

// Whether a majority may ever have voted, seen from a blank disk that hears every other replica.
bool may_have_voted(const ReplicaSetView& set, size_t born) {
  auto replicas = set.all().size();
  return replicas - born >= majority_of(replicas);
}

// How many others of the complete list have to tell what they hold before this disk may
// vote: so many that every quorum in which its former self may have voted is among them.
size_t refill_quorum(const ReplicaSetView& set, const std::string& node_name) {
  auto& list = set.complete_list();
  return majority_of(list.size() - (contains_name(list, node_name) ? 1 : 0));
}

// Whether a set after the present one was written at one of those asked. It may be in force
// already, and then quorums count that those asked do not know of.
bool shows_later_set(const RefillSurvey& survey, const ReplicaSetView& set) {
  auto found = survey.registers.find(kReplicaSetKey);
  if (found == survey.registers.end()) return false;
  pb::ReplicaSet later;
  return later.ParseFromString(found->second.value().data()) && later.epoch() > set.epoch();
}

bool nothing_was_recorded(const RefillSurvey& survey, const ReplicaSetView& set, bool first_start) {
  bool nothing_seen = survey.every() && !survey.with_registers && !survey.voting;
  bool set_never_changed = set.epoch() <= 1 && !set.joint();
  return nothing_seen && set_never_changed && (first_start || !may_have_voted(set, survey.joining));
}

}  // namespace

void add_response(RefillSurvey& survey, const Replica& replica, const pb::Snapshot& image,
                  ReplicaSetView& set) {
  survey.newer_set |= set.adopt(image.replica_set());
  ++survey.responded;
  survey.joining += image.stage() != pb::REPLICA_EMPTY;
  survey.with_registers += image.registers_size() > 0;
  if (image.stage() != pb::REPLICA_VOTING) return;
  ++survey.voting;
  survey.voting_complete += contains(set.complete_list(), replica);
  for (auto& state : image.registers())
    survey.registers[state.name()] = merge_highest(survey.registers[state.name()], state);
}

RefillStep next_step(const RefillSurvey& survey, pb::ReplicaStage stage, const ReplicaSetView& set,
                     const std::string& node_name, bool first_start) {
  if (survey.newer_set || !set.has(node_name) || shows_later_set(survey, set))
    return RefillStep::survey_again;
  if (stage == pb::REPLICA_JOINING) {
    bool all_born = survey.every() && survey.joining == survey.requested;
    return survey.voting > 0 || all_born ? RefillStep::become_voting : RefillStep::survey_again;
  }
  if (survey.voting_complete >= refill_quorum(set, node_name)) return RefillStep::adopt_state;
  if (nothing_was_recorded(survey, set, first_start)) return RefillStep::become_joining;
  return survey.every() && !survey.voting ? RefillStep::undecidable : RefillStep::survey_again;
}

}  // namespace dunlinwing::consensus
