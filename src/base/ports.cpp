#include "base/ports.hpp"

#include <fmt/format.h>

namespace dunlinwing::base {

void sleep(Ports& ports, Duration duration, const CancellationPtr& cancellation) {
  if (!cancellation) return ports.clock.sleep(duration);
  const auto condition = ports.tasks.condition();
  const CancellationSubscription subscription(cancellation, [&] { condition->notify(); });
  condition->wait(duration);
}

std::string random_token(Random& random) {
  return fmt::format("{:016x}{:016x}", random.draw(), random.draw());
}

}  // namespace dunlinwing::base
