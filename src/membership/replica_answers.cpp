#include "membership/replica_answers.hpp"

#include <algorithm>
#include <set>

#include "consensus/vote.hpp"

namespace dunlinwing::membership {

const ReplicaAnswers::Answers* ReplicaAnswers::find(const std::string& replica) const {
  auto found = by_replica_.find(replica);
  return found == by_replica_.end() ? nullptr : &found->second;
}

std::vector<std::string> ReplicaAnswers::take(const std::string& replica, const pb::PullReply& reply,
                                              TimePoint asked, TimePoint now) {
  auto& answers = by_replica_[replica];
  // After a restart it tells anew what it has accepted, which may be less: its disk may be lost.
  if (answers.boot != reply.boot()) answers.registers.clear();
  answers.boot = reply.boot();
  answers.seen = reply.seen();
  answers.answered = now;
  answers.asked = asked;
  if (!reply.mute()) answers.voted = now;
  std::vector<std::string> names;
  for (auto& state : reply.slots()) {
    answers.registers[state.name()] = state;
    names.push_back(state.name());
  }
  return names;
}

void ReplicaAnswers::state_position(const std::string& replica, pb::Pull& pull) const {
  auto* answers = find(replica);
  pull.set_boot(answers ? answers->boot : 0);
  pull.set_seen(answers ? answers->seen : 0);
}

std::vector<std::string> ReplicaAnswers::names() const {
  std::set<std::string> names;
  for (auto& [replica, answers] : by_replica_)
    for (auto& [name, state] : answers.registers) names.insert(name);
  return {names.begin(), names.end()};
}

const pb::RegisterState* ReplicaAnswers::told_by(const std::string& replica, const std::string& name) const {
  auto* answers = find(replica);
  if (!answers) return nullptr;
  auto state = answers->registers.find(name);
  return state == answers->registers.end() ? nullptr : &state->second;
}

bool ReplicaAnswers::told_in_time(const std::string& replica, TimePoint now) const {
  auto* answers = find(replica);
  return answers && now - answers->asked <= word_limit_;
}

const pb::RegisterState* ReplicaAnswers::latest_at_quorum(const consensus::ReplicaSetView& set,
                                                          const std::string& name, TimePoint now) const {
  const pb::RegisterState* latest = nullptr;
  for (auto& replica : set.all()) {
    auto* state = told_by(replica.name, name);
    if (state && (!latest || consensus::lower(latest->accepted(), state->accepted()))) latest = state;
  }
  if (!latest) return nullptr;
  consensus::MemberFlags has_latest;
  for (auto& replica : set.all()) {
    auto* state = told_by(replica.name, name);
    has_latest.push_back(state && !state->copied() && told_in_time(replica.name, now) &&
                         consensus::equal(latest->accepted(), state->accepted()));
  }
  return set.is_quorum(has_latest) ? latest : nullptr;
}

bool ReplicaAnswers::voted_within(const std::string& replica, TimePoint now, Duration within) const {
  auto* answers = find(replica);
  return answers && answers->voted != TimePoint(0) && now - answers->voted < within;
}

Contact ReplicaAnswers::contact(const std::string& replica, TimePoint now, TimePoint since) const {
  auto* answers = find(replica);
  auto age = [&](TimePoint at) { return now - std::max(at, since); };
  return {age(answers ? answers->answered : TimePoint(0)), age(answers ? answers->voted : TimePoint(0))};
}

}  // namespace dunlinwing::membership
