#include "node/shutdown_sequence.hpp"

#include "base/log.hpp"

namespace dunlinwing::node {
namespace {
constexpr base::Log logger("relay");
constexpr Duration kBusyCheck(10);         // period of the checks for running requests
constexpr Duration kExitWaitPeriod(1000);  // sleep period of a fiber that only waits for the process to exit
}  // namespace

// Requests that still run in the last sixth of the grace period may be aborted. Those that end before must be
// answered, which takes a while: the backend instance's response has to arrive and to be sent to the client
// over a link that may be saturated.
ShutdownTimes shutdown_times(Duration grace, Duration bound) {
  if (grace > Duration(0)) return {grace * 9 / 20, grace * 11 / 12};
  return {bound * 5 / 8, bound * 2};
}

ShutdownSequence::ShutdownSequence(base::Clock& clock, Node& node, Listeners& listeners, ShutdownTimes times)
    : clock_(clock), node_(node), listeners_(listeners), times_(times) {}

void ShutdownSequence::run() {
  while (begun_) clock_.sleep(kExitWaitPeriod);
  begun_ = true;
  const TimePoint begin = clock_.now();
  logger.info("{}: shutdown requested; draining.", node_.config().name);
  listeners_.drain_clients();
  node_.begin_shutdown();
  // The platform checks every second whether this node is ready and sends clients until it learns that the
  // node is not; until then they are served.
  const TimePoint stop_serving = begin + times_.stop_serving;
  if (clock_.now() < stop_serving) clock_.sleep(stop_serving - clock_.now());
  node_.request_handler().start_draining();
  listeners_.close_clients();
  while (is_busy() && clock_.now() < begin + times_.abort_requests) clock_.sleep(kBusyCheck);
  logger.info("{}: stopped.", node_.config().name);
}

bool ShutdownSequence::is_busy() const {
  return node_.request_handler().running_requests() > 0 || listeners_.running_client_requests() > 0 ||
         node_.can_transfer_replica();
}

}  // namespace dunlinwing::node
