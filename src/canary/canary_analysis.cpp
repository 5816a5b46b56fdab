#include "canary/canary_analysis.hpp"

#include <algorithm>

namespace dunlinwing::canary {

CanaryAnalysis::Report CanaryAnalysis::add_reports(const std::string& service,
                                                   const std::map<std::string, pb::NodeStatus>& statuses,
                                                   Canary& canary) {
  Report report;
  for (const auto& [source, status] : statuses)
    for (const auto& counts : status.canary_counts()) {
      if (counts.service() != service || counts.number() != canary.number) continue;
      auto& bad_responses = canary.bad_responses[{source, status.version().incarnation()}];
      bad_responses = std::max(bad_responses, counts.bad());
      report.aborted |= counts.aborted();
    }
  for (const auto& [counter, bad_responses] : canary.bad_responses) report.bad_responses += bad_responses;
  return report;
}

void CanaryAnalysis::update(const std::map<std::string, pb::ServiceState>& states,
                            const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit) {
  statistics_.update(states, statuses);
  for (const auto& [service, state] : states) {
    auto& canary = canaries_[service];
    if (state.canary().empty()) {
      aborted_.erase(service);
      continue;
    }
    if (canary.number != state.canary_number()) {
      canary = {state.canary_number(), {}};
      aborted_.erase(service);
    }
    auto report = add_reports(service, statuses, canary);
    bool too_many = std::max(report.bad_responses, state.bad()) >= limit;
    bool clearly_worse = state.deadline_ms() && is_clearly_worse(statistics_.at(service));
    if (report.aborted || too_many || clearly_worse) aborted_.insert(service);
  }
}

}  // namespace dunlinwing::canary
