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
size_t refill_quorum(const ReplicaSetView& set, const std::string& me) {
  auto& list = set.complete_list();
  return majority_of(list.size() - (contains_name(list, me) ? 1 : 0));
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
  bool nothing_seen = survey.every() && !survey.with_registers && !survey.formed;
  bool set_never_changed = set.epoch() <= 1 && !set.joint();
  return nothing_seen && set_never_changed && (first_start || !may_have_voted(set, survey.born));
}

}  // namespace

void add_reply(RefillSurvey& survey, const Replica& replica, const pb::Image& image, ReplicaSetView& set) {
  survey.newer_set |= set.adopt(image.set());
  ++survey.heard;
  survey.born += image.stage() != pb::BLANK;
  survey.with_registers += image.slots_size() > 0;
  if (image.stage() != pb::FORMED) return;
  ++survey.formed;
  survey.formed_complete += contains(set.complete_list(), replica);
  for (auto& state : image.slots())
    survey.registers[state.name()] = higher(survey.registers[state.name()], state);
}

RefillStep next_step(const RefillSurvey& survey, pb::Stage stage, const ReplicaSetView& set,
                     const std::string& me, bool first_start) {
  if (survey.newer_set || !set.has(me) || shows_later_set(survey, set)) return RefillStep::ask_again;
  if (stage == pb::BORN) {
    bool all_born = survey.every() && survey.born == survey.asked;
    return survey.formed > 0 || all_born ? RefillStep::become_formed : RefillStep::ask_again;
  }
  if (survey.formed_complete >= refill_quorum(set, me)) return RefillStep::take;
  if (nothing_was_recorded(survey, set, first_start)) return RefillStep::become_born;
  return survey.every() && !survey.formed ? RefillStep::doubtful : RefillStep::ask_again;
}

}  // namespace dunlinwing::consensus
