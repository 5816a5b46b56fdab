/// @file
/// The threads of a process, each with an event loop (net/fiber.hpp). When no fiber is ready a thread sleeps
/// until a handler completes or its earliest timer is due.
///
/// Threads: thread 0 runs control tasks, the others serve traffic.
#pragma once
#include <boost/asio/io_context.hpp>

#include "base/ports.hpp"
#include "net/fiber.hpp"
#include "net/system_clock.hpp"
#include "net/system_random.hpp"
#include "net/timer.hpp"

namespace dunlinwing::net {

/// Creates a condition whose wait() may be called only on the calling thread.
std::shared_ptr<base::Condition> make_condition();

class EventLoopPool final : public base::Tasks {
 public:
  explicit EventLoopPool(int threads);
  EventLoopPool(const EventLoopPool&) = delete;
  EventLoopPool& operator=(const EventLoopPool&) = delete;
  ~EventLoopPool() override;

  int size() const;
  boost::asio::io_context& io(int thread);

  /// Runs all loops, the first on the calling thread.
  /// @param first  runs in a fiber of thread 0
  [[noreturn]] void run(const std::function<void()>& first);

  /// Ends the process at once, without destructors: durable data must have been synced before.
  [[noreturn]] static void stop(int status);

  /// Runs the task in a fiber of the given thread.
  void spawn_on(int thread, std::function<void()> task);

  /// Runs the task in a fiber of the calling thread.
  void spawn(std::function<void()> task) override;

  std::shared_ptr<base::Condition> condition() override;

  /// The io_context of the calling thread, which must belong to a pool.
  static boost::asio::io_context& io_of_this_thread();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::net
