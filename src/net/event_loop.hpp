/// @file
/// The threads of a process, each with an event loop (net/fiber.hpp). When no fiber is ready a thread sleeps
/// until a handler completes or its earliest timer is due.
///
/// Threads: thread 0 is for control, the others are for traffic.
#pragma once
#include <boost/asio/io_context.hpp>

#include "base/ports.hpp"
#include "net/fiber.hpp"
#include "net/system_clock.hpp"
#include "net/system_random.hpp"
#include "net/timer.hpp"

namespace dunlinwing::net {

/// A condition whose wait() is called on the calling thread only.
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

  /// Ends the process at once: whatever must last has been synced before.
  [[noreturn]] static void stop(int status);

  /// Runs the task in a fiber of the given thread.
  void spawn_on(int thread, std::function<void()> task);

  /// Runs the task in a fiber of the calling thread.
  void spawn(std::function<void()> task) override;

  std::shared_ptr<base::Condition> condition() override;

  /// That of the calling thread, which has to be one of a pool's.
  static boost::asio::io_context& here();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::net
