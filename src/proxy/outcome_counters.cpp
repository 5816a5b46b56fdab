#include "proxy/outcome_counters.hpp"

namespace dunlinwing::proxy {

void OutcomeCounters::record(const OutcomeKey& key, bool good, bool slow, Duration latency) {
  const std::lock_guard lock(mutex_);
  auto& outcomes = counts_[key];
  (good ? outcomes.good : outcomes.bad)++;
  outcomes.slow += slow;
  outcomes.total_ms += static_cast<uint64_t>(latency.count());
}

CanaryAttempts& OutcomeCounters::attempts_at(const std::string& service, uint64_t canary_number) {
  auto& attempts = canary_attempts_[service];
  if (attempts.canary_number != canary_number) attempts = {canary_number, 0, 0};
  return attempts;
}

void OutcomeCounters::record_sent_to_canary(const std::string& service, uint64_t canary_number) {
  const std::lock_guard lock(mutex_);
  ++attempts_at(service, canary_number).sent;
}

void OutcomeCounters::record_canary_failure(const std::string& service, uint64_t canary_number) {
  const std::lock_guard lock(mutex_);
  ++attempts_at(service, canary_number).failed;
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

std::map<std::string, CanaryAttempts> OutcomeCounters::canary_attempts() const {
  const std::lock_guard lock(mutex_);
  return canary_attempts_;
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
