#include "node/rejection_log.hpp"

#include "base/log.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("limits");
constexpr Duration kInterval(10000);
}  // namespace

void RejectionLog::update(TimePoint now) {
  if (now - logged_at_ < kInterval) return;
  logged_at_ = now;
  auto counts = handler_.rejections().counts();
  std::map<std::string, std::map<std::string, uint64_t>> increases;  // by service and reason
  for (const auto& [key, count] : counts) {
    const auto before = logged_.find(key);
    const uint64_t increase = count - std::min(count, before == logged_.end() ? 0 : before->second);
    if (increase > 0 && !key.service.empty()) increases[key.service][proxy::label(key.reason)] += increase;
  }
  logged_ = std::move(counts);
  for (const auto& [service, by_reason] : increases) {
    std::string reasons;
    for (const auto& [reason, count] : by_reason) reasons += fmt::format(" {} {},", reason, count);
    log_service(service, reasons);
  }
}

void RejectionLog::log_service(const std::string& service, const std::string& reasons) {
  const auto configuration = handler_.snapshot()->configuration;
  if (!configuration || !configuration->services.count(service)) return;
  const auto allowed = handler_.upstream_client().limits_of(configuration->services.at(service));
  const auto used = handler_.upstream_client().limit_counters().counts()[service];
  logger.info(
      "{}: service {} rejected requests:{} quota {:.1f} requests/s, {} connections per instance; since the "
      "start: rate limit granted {} and denied {}, retries granted {} and denied {}, {} waits for a "
      "connection and {} connections denied.",
      node_name_, service, reasons, allowed.rate, allowed.connections, used.rate_granted, used.rate_denied,
      used.retries_granted, used.retries_denied, used.connection_waits, used.connections_denied);
}

}  // namespace dunlinwing::node
