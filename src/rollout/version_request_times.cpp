#include "rollout/version_request_times.hpp"

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
Duration from_ms(uint64_t ms) { return Duration(static_cast<int64_t>(ms)); }
}  // namespace

bool has_deadline_rollout(const pb::ServiceState& state) {
  return !state.canary().empty() && state.deadline_ms() > 0;
}

void VersionRequestTimes::update(TimePoint pulled_at, const States& states) {
  std::erase_if(requests_, [&](const auto& entry) {
    const auto state = states.find(entry.first);
    return state == states.end() || !has_deadline_rollout(state->second);
  });
  for (const auto& [service, state] : states) {
    if (!has_deadline_rollout(state)) continue;
    auto& request = requests_[service];
    if (request.canary_number == state.canary_number()) continue;
    request = {state.canary_number(), std::nullopt};
    if (pulled_at_ != TimePoint(0)) request.at = pulled_at_ + (pulled_at - pulled_at_) / 2;
  }
  pulled_at_ = pulled_at;
}

std::optional<TimePoint> VersionRequestTimes::requested_at(const std::string& service,
                                                           uint64_t canary_number) const {
  const auto request = requests_.find(service);
  if (request == requests_.end() || request->second.canary_number != canary_number) return {};
  return request->second.at;
}

void VersionRequestTimes::report(TimePoint now, pb::NodeStatus& status) const {
  for (const auto& [service, request] : requests_) {
    if (!request.at) continue;
    auto* reported = status.add_rollout_ages();
    reported->set_service(service);
    reported->set_number(request.canary_number);
    reported->set_age_ms(static_cast<uint64_t>(std::max<int64_t>(0, (now - *request.at).count())));
  }
}

std::optional<TimePoint> reported_request_time(const std::map<std::string, pb::NodeStatus>& statuses,
                                               const std::string& service, uint64_t canary_number,
                                               TimePoint now) {
  std::optional<TimePoint> earliest;
  for (const auto& [source, status] : statuses)
    for (const auto& rollout : status.rollout_ages()) {
      if (rollout.service() != service || rollout.number() != canary_number) continue;
      const TimePoint at = now - from_ms(status.age_ms()) - from_ms(rollout.age_ms());
      earliest = std::min(earliest.value_or(at), at);
    }
  return earliest;
}

}  // namespace dunlinwing::rollout
