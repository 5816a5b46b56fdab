#include "membership/replica_responses.hpp"

#include <algorithm>
#include <set>

#include "consensus/vote.hpp"

namespace dunlinwing::membership {

const ReplicaResponses::Report* ReplicaResponses::find(const std::string& replica) const {
  auto found = reports_.find(replica);
  return found == reports_.end() ? nullptr : &found->second;
}

std::vector<std::string> ReplicaResponses::record(const std::string& replica,
                                                  const pb::PullResponse& response, TimePoint requested_at,
                                                  TimePoint now) {
  auto& report = reports_[replica];
  // After a restart the replica reports everything it has accepted again; that may be less, if it lost its
  // disk.
  if (report.boot_id != response.boot_id()) report.registers.clear();
  const uint64_t position_before = report.boot_id == response.boot_id() ? report.position : 0;
  report.boot_id = response.boot_id();
  report.position = response.position();
  report.responded_at = now;
  report.requested_at = requested_at;
  if (!response.non_voting()) report.voted_at = now;
  std::vector<std::string> names;
  for (const auto& state : response.registers()) {
    report.registers[state.name()] = state;
    names.push_back(state.name());
  }
  for (const auto& held : response.unchanged()) {
    const auto* known = reported_at(held);
    if (!known) {
      report.position = position_before;  // the replica has to report it again, with its value
      continue;
    }
    auto state = *known;
    state.clear_refilled();  // this replica has accepted it itself
    report.registers[held.name()] = std::move(state);
    names.push_back(held.name());
  }
  return names;
}

const pb::RegisterState* ReplicaResponses::reported_at(const pb::HeldRegister& held) const {
  for (const auto& [replica, report] : reports_) {
    const auto found = report.registers.find(held.name());
    if (found != report.registers.end() && consensus::is_equal(found->second.accepted(), held.accepted()))
      return &found->second;
  }
  return nullptr;
}

void ReplicaResponses::set_position(const std::string& replica, pb::PullRequest& pull) const {
  auto* report = find(replica);
  pull.set_boot_id(report ? report->boot_id : 0);
  pull.set_position(report ? report->position : 0);
}

std::vector<std::string> ReplicaResponses::names() const {
  std::set<std::string> names;
  for (const auto& [replica, report] : reports_)
    for (const auto& [name, state] : report.registers) names.insert(name);
  return {names.begin(), names.end()};
}

const pb::RegisterState* ReplicaResponses::reported_by(const std::string& replica,
                                                       const std::string& name) const {
  auto* report = find(replica);
  if (!report) return nullptr;
  auto state = report->registers.find(name);
  return state == report->registers.end() ? nullptr : &state->second;
}

bool ReplicaResponses::responded_in_time(const std::string& replica, TimePoint now) const {
  auto* report = find(replica);
  return report && now - report->requested_at <= lifetime_;
}

const pb::RegisterState* ReplicaResponses::latest(const consensus::ReplicaSetView& set,
                                                  const std::string& name) const {
  const pb::RegisterState* latest = nullptr;
  for (const auto& replica : set.all()) {
    auto* state = reported_by(replica.name, name);
    if (state && (!latest || consensus::is_lower(latest->accepted(), state->accepted()))) latest = state;
  }
  return latest;
}

const pb::RegisterState* ReplicaResponses::latest_at_quorum(const consensus::ReplicaSetView& set,
                                                            const std::string& name, TimePoint now) const {
  const pb::RegisterState* latest = this->latest(set, name);
  if (!latest) return nullptr;
  consensus::MemberFlags has_latest;
  for (const auto& replica : set.all()) {
    auto* state = reported_by(replica.name, name);
    has_latest.push_back(state && !state->refilled() && responded_in_time(replica.name, now) &&
                         consensus::is_equal(latest->accepted(), state->accepted()));
  }
  return set.is_quorum(has_latest) ? latest : nullptr;
}

bool ReplicaResponses::voted_within(const std::string& replica, TimePoint now, Duration within) const {
  auto* report = find(replica);
  return report && report->voted_at != TimePoint(0) && now - report->voted_at < within;
}

ReplicaContact ReplicaResponses::contact(const std::string& replica, TimePoint now, TimePoint since) const {
  auto* report = find(replica);
  auto age = [&](TimePoint at) { return now - std::max(at, since); };
  return {age(report ? report->responded_at : TimePoint(0)), age(report ? report->voted_at : TimePoint(0))};
}

}  // namespace dunlinwing::membership
