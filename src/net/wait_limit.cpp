#include "net/wait_limit.hpp"

#include <boost/asio/post.hpp>

namespace dunlinwing::net {

WaitLimitGuard::WaitLimitGuard(Connection& connection, const WaitLimit& limit) {
  timer_.set(limit.end, [&connection] { connection.interrupt(); });
  if (!limit.cancellation) return;
  target_ = std::make_shared<Target>(Target{&connection});
  auto interrupt = [target = target_] {
    if (target->connection) target->connection->interrupt();
  };
  subscription_.emplace(limit.cancellation, [interrupt, own_loop = &EventLoopPool::io_of_this_thread()] {
    if (own_loop == &EventLoopPool::io_of_this_thread()) return interrupt();
    boost::asio::post(*own_loop, interrupt);
  });
}

void WaitLimitGuard::release() {
  timer_.clear();
  subscription_.reset();
  if (target_) target_->connection = nullptr;
}

}  // namespace dunlinwing::net
