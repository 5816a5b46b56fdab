#include "control_api/operator_write_log.hpp"

#include "base/log.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("orders");

constexpr int kHundred = 100;  // statuses of one class

bool is_acknowledged(const OperatorWriteTimes& times) { return times.status / kHundred == 2; }

bool is_rejected(const OperatorWriteTimes& times) {
  return times.status / kHundred == 3 || times.status / kHundred == 4;
}

std::string executor(const OperatorWriteTimes& times) {
  return times.forward.coordinator.empty() ? "no coordinator" : times.forward.coordinator;
}

Duration after_received(const OperatorWriteTimes& times, TimePoint stage) { return stage - times.received; }

void count(OperatorWriteTotals& totals, const OperatorWriteTimes& times) {
  if (is_rejected(times)) {
    ++totals.rejected;
    return;
  }
  if (!is_acknowledged(times)) {
    ++totals.failed;
    return;
  }
  ++totals.acknowledged;
  totals.until_written += after_received(times, times.written);
  totals.until_acknowledged += after_received(times, times.responded);
}
}  // namespace

void record_operator_write(const ApiContext& context,
                           const std::shared_ptr<const OperatorWriteTimes>& times) {
  count(context.write_totals, *times);
  if (!is_acknowledged(*times))
    return logger.warn("{}: operator request {} got status {} from {} in {} calls after {} ms{}.",
                       context.node.config().name, times->request, times->status, executor(*times),
                       times->forward.calls, after_received(*times, times->responded).count(),
                       times->written > TimePoint(0) ? "" : "; its write is not complete yet");
  context.ports.tasks.spawn([&context, times] {
    const bool in_force = context.node.state_cache().await_pull(context.node.config().bound);
    const Duration until_in_force = after_received(*times, context.ports.clock.now());
    if (in_force) {
      ++context.write_totals.in_force;
      context.write_totals.until_in_force += until_in_force;
    }
    logger.info(
        "{}: operator request {} was written by {} in {} calls after {} ms, acknowledged after {} ms and {} "
        "after {} ms.",
        context.node.config().name, times->request, executor(*times), times->forward.calls,
        after_received(*times, times->written).count(), after_received(*times, times->responded).count(),
        in_force ? "in force here" : "not in force here", until_in_force.count());
  });
}

}  // namespace dunlinwing::control_api
