#include "control_api/operator_write_log.hpp"

#include "base/log.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("orders");

bool is_acknowledged(const OperatorWriteTimes& times) { return times.status / 100 == 2; }

int64_t ms_after_received(const OperatorWriteTimes& times, TimePoint stage) {
  return (stage - times.received).count();
}
}  // namespace

void log_operator_write(const ApiContext& context, const std::shared_ptr<const OperatorWriteTimes>& times) {
  if (!is_acknowledged(*times))
    return logger.warn("{}: operator request {} got status {} after {} ms{}.", context.node.config().name,
                       times->request, times->status, ms_after_received(*times, times->responded),
                       times->written > TimePoint(0) ? "" : "; its write is not complete yet");
  context.ports.tasks.spawn([&context, times] {
    const bool in_force = context.node.state_cache().await_pull(context.node.config().bound);
    const TimePoint now = context.ports.clock.now();
    logger.info(
        "{}: operator request {} was written after {} ms, acknowledged after {} ms and {} after {} ms.",
        context.node.config().name, times->request, ms_after_received(*times, times->written),
        ms_after_received(*times, times->responded), in_force ? "in force here" : "not in force here",
        ms_after_received(*times, now));
  });
}

}  // namespace dunlinwing::control_api
