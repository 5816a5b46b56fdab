#include "proxy/refusal_log.hpp"

#include "base/json.hpp"
#include "base/log.hpp"

namespace dunlinwing::proxy {
namespace {
constexpr base::Log logger("refusals");
constexpr size_t kMaxTextBytes = 200;  // of an id or a target, which clients choose

std::string quote_start(const std::string& text) { return base::quote(text.substr(0, kMaxTextBytes)); }

std::string describe_attempts(const AttemptAccount& attempts) {
  if (attempts.records.empty()) return attempts.sent > 0 ? "sent by shields" : "no attempt";
  std::string text;
  for (const auto& attempt : attempts.records) {
    if (!text.empty()) text += "; ";
    text += describe(attempt);
  }
  return text;
}
}  // namespace

void RefusalLog::record(const Refusal& refusal) {
  const auto level = refusal.may_repeat ? base::LogLevel::debug : base::LogLevel::info;
  if (!base::is_logged(level) || !limiter_.acquire(clock_.now())) return;
  if (const uint64_t suppressed = limiter_.take_suppressed())
    logger.info("{}: {} refusals were not logged.", node_name_, suppressed);
  base::log_line(level, logger.part(),
                 fmt::format("{}: refused {} ({} {}) with {} after {} ms, {}; {}.", node_name_,
                             quote_start(refusal.request.id), refusal.request.method,
                             quote_start(refusal.request.target), refusal.status, refusal.elapsed.count(),
                             label(refusal.reason), describe_attempts(refusal.attempts)));
}

}  // namespace dunlinwing::proxy
