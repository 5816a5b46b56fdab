#include "net/wait_limit.hpp"

#include <boost/asio/post.hpp>

namespace dunlinwing::net {

WaitLimitGuard::WaitLimitGuard(Connection& connection, const WaitLimit& limit)
    : target_(std::make_shared<Target>(Target{&connection})) {
  timer_.set(limit.end, [&connection] { connection.interrupt(); });
  if (!limit.cancellation) return;
  auto interrupt = [target = target_] {
    if (target->connection) target->connection->interrupt();
  };
  subscription_.emplace(limit.cancellation, [interrupt, own_loop = &EventLoopPool::here()] {
    if (own_loop == &EventLoopPool::here()) return interrupt();
    boost::asio::post(*own_loop, interrupt);
  });
}

void WaitLimitGuard::release() {
  timer_.clear();
  subscription_.reset();
  target_->connection = nullptr;
}

}  // namespace dunlinwing::net
