#include "limits/limit_counters.hpp"

namespace dunlinwing::limits {

void LimitCounters::record_rate(const std::string& service, bool granted, uint64_t waited_ms) {
  const std::lock_guard lock(mutex_);
  auto& counts = counts_[service];
  ++(granted ? counts.rate_granted : counts.rate_denied);
  counts.rate_wait_ms += waited_ms;
}

void LimitCounters::record_retry(const std::string& service, bool granted) {
  const std::lock_guard lock(mutex_);
  auto& counts = counts_[service];
  ++(granted ? counts.retries_granted : counts.retries_denied);
}

void LimitCounters::record_connection_wait(const std::string& service, bool granted) {
  const std::lock_guard lock(mutex_);
  auto& counts = counts_[service];
  ++counts.connection_waits;
  if (!granted) ++counts.connections_denied;
}

std::map<std::string, LimitCounts> LimitCounters::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace dunlinwing::limits
