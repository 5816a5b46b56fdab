#include "control_api/order_log.hpp"

#include "base/log.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("orders");

bool is_acknowledged(const OrderStages& stages) { return stages.status / 100 == 2; }

int64_t after_taken(const OrderStages& stages, TimePoint stage) { return (stage - stages.taken).count(); }
}  // namespace

void log_order(const ApiContext& context, const std::shared_ptr<const OrderStages>& stages) {
  if (!is_acknowledged(*stages))
    return logger.warn("{}: operator request {} got status {} after {} ms{}.", context.node.config().name,
                       stages->order, stages->status, after_taken(*stages, stages->answered),
                       stages->written > TimePoint(0) ? "" : "; its write is not complete yet");
  context.ports.tasks.spawn([&context, stages] {
    const bool in_force = context.node.state_cache().await_pull(context.node.config().bound);
    const TimePoint now = context.ports.clock.now();
    logger.info(
        "{}: operator request {} was written after {} ms, acknowledged after {} ms and {} after {} ms.",
        context.node.config().name, stages->order, after_taken(*stages, stages->written),
        after_taken(*stages, stages->answered), in_force ? "in force here" : "not in force here",
        after_taken(*stages, now));
  });
}

}  // namespace dunlinwing::control_api
