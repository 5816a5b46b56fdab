#include "proxy/outcome_counters.hpp"

namespace dunlinwing::proxy {

void OutcomeCounters::record(const OutcomeKey& key, bool good, bool slow, Duration latency) {
  const std::lock_guard lock(mutex_);
  auto& outcomes = counts_[key];
  (good ? outcomes.good : outcomes.bad)++;
  outcomes.slow += slow;
  outcomes.total_ms += static_cast<uint64_t>(latency.count());
}

void OutcomeCounters::record_canary(const std::string& service, uint64_t canary_number, bool good) {
  const std::lock_guard lock(mutex_);
  auto& failures = canary_failures_[service];
  if (failures.canary_number != canary_number) failures = {canary_number, 0};
  failures.failed_attempts += !good;
}

std::map<OutcomeKey, canary::OutcomeCounts> OutcomeCounters::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

std::map<OutcomeKey, canary::OutcomeCounts> OutcomeCounters::totals() const {
  const std::lock_guard lock(mutex_);
  auto totals = retired_;
  for (const auto& [key, outcomes] : counts_) totals[{key.service, key.version, {}}] += outcomes;
  return totals;
}

std::map<std::string, CanaryFailures> OutcomeCounters::canary_failures() const {
  const std::lock_guard lock(mutex_);
  return canary_failures_;
}

void OutcomeCounters::retain_routes(const std::set<std::string>& labels) {
  const std::lock_guard lock(mutex_);
  std::erase_if(counts_, [&](const auto& entry) {
    const auto& [key, outcomes] = entry;
    if (labels.count(key.route)) return false;
    retired_[{key.service, key.version, {}}] += outcomes;
    return true;
  });
}

}  // namespace dunlinwing::proxy
