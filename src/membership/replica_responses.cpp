#include "membership/replica_responses.hpp"

#include <algorithm>
#include <set>

#include "consensus/vote.hpp"

namespace dunlinwing::membership {

const ReplicaResponses::Answers* ReplicaResponses::find(const std::string& replica) const {
  auto found = by_replica_.find(replica);
  return found == by_replica_.end() ? nullptr : &found->second;
}

std::vector<std::string> ReplicaResponses::take(const std::string& replica, const pb::PullResponse& reply,
                                                TimePoint asked, TimePoint now) {
  auto& answers = by_replica_[replica];
  // After a restart it tells anew what it has accepted, which may be less: its disk may be lost.
  if (answers.boot != reply.boot_id()) answers.registers.clear();
  answers.boot = reply.boot_id();
  answers.seen = reply.position();
  answers.answered = now;
  answers.asked = asked;
  if (!reply.non_voting()) answers.voted = now;
  std::vector<std::string> names;
  for (auto& state : reply.registers()) {
    answers.registers[state.name()] = state;
    names.push_back(state.name());
  }
  return names;
}

void ReplicaResponses::set_position(const std::string& replica, pb::PullRequest& pull) const {
  auto* answers = find(replica);
  pull.set_boot_id(answers ? answers->boot : 0);
  pull.set_position(answers ? answers->seen : 0);
}

std::vector<std::string> ReplicaResponses::names() const {
  std::set<std::string> names;
  for (auto& [replica, answers] : by_replica_)
    for (auto& [name, state] : answers.registers) names.insert(name);
  return {names.begin(), names.end()};
}

const pb::RegisterState* ReplicaResponses::reported_by(const std::string& replica,
                                                       const std::string& name) const {
  auto* answers = find(replica);
  if (!answers) return nullptr;
  auto state = answers->registers.find(name);
  return state == answers->registers.end() ? nullptr : &state->second;
}

bool ReplicaResponses::told_in_time(const std::string& replica, TimePoint now) const {
  auto* answers = find(replica);
  return answers && now - answers->asked <= word_limit_;
}

const pb::RegisterState* ReplicaResponses::latest_at_quorum(const consensus::ReplicaSetView& set,
                                                            const std::string& name, TimePoint now) const {
  const pb::RegisterState* latest = nullptr;
  for (auto& replica : set.all()) {
    auto* state = reported_by(replica.name, name);
    if (state && (!latest || consensus::is_lower(latest->accepted(), state->accepted()))) latest = state;
  }
  if (!latest) return nullptr;
  consensus::MemberFlags has_latest;
  for (auto& replica : set.all()) {
    auto* state = reported_by(replica.name, name);
    has_latest.push_back(state && !state->refilled() && told_in_time(replica.name, now) &&
                         consensus::is_equal(latest->accepted(), state->accepted()));
  }
  return set.is_quorum(has_latest) ? latest : nullptr;
}

bool ReplicaResponses::voted_within(const std::string& replica, TimePoint now, Duration within) const {
  auto* answers = find(replica);
  return answers && answers->voted != TimePoint(0) && now - answers->voted < within;
}

ReplicaContact ReplicaResponses::contact(const std::string& replica, TimePoint now, TimePoint since) const {
  auto* answers = find(replica);
  auto age = [&](TimePoint at) { return now - std::max(at, since); };
  return {age(answers ? answers->answered : TimePoint(0)), age(answers ? answers->voted : TimePoint(0))};
}

}  // namespace dunlinwing::membership
