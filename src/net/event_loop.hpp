// The glue between Boost.Fiber and Asio: each pool thread has one io_context
// and one fiber scheduler. When no fiber is ready the thread sleeps in the
// io_context until the earliest alarm; a handler that completes makes its fiber
// ready again. `await` turns any asynchronous operation into a call that parks
// the fiber.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <tuple>

#include "base/ports.hpp"

namespace dunlinwing::net {

using ErrorCode = boost::system::error_code;

// Runs fibers on the calling thread; `idle` is called when none is ready and
// must make progress or block; `poll` is called once a round.
void run_fibers(std::function<void()> idle, std::function<void()> poll, std::function<void()> first);

// Parks the calling fiber until `f`'s handler has run on this same thread.
template <class... T, class F>
std::tuple<ErrorCode, T...> await(F&& f) {
  std::optional<std::tuple<ErrorCode, T...>> out;
  auto* me = boost::fibers::context::active();
  f([&out, me](ErrorCode e, T... t) {
    out.emplace(e, std::move(t)...);
    boost::fibers::context::active()->schedule(me);
  });
  while (!out) me->suspend();
  return std::move(*out);
}

// Runs something once, on this thread and between fibers, at a given time. It
// costs no system call: the loop looks for the earliest before it sleeps.
class Timer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { clear(); }
  void set(TimePoint at, std::function<void()> f);  // `f` must not wait
  void clear();

 private:
  friend struct Timers;
  bool armed_ = false;
  std::multimap<TimePoint, Timer*>::iterator entry_;
  std::function<void()> callback_;
};

// Whether a kept connection is still whole: open, and nothing came unasked.
bool still_idle(int fd);

std::shared_ptr<base::Condition> make_condition();  // of the calling thread

// A pool of threads. Thread 0 carries control, the others carry traffic.
class EventLoopPool final : public base::Tasks {
 public:
  explicit EventLoopPool(int n);
  ~EventLoopPool() override;
  int size() const;
  boost::asio::io_context& io(int i);
  [[noreturn]] void run(std::function<void()> first);  // `first` runs as a fiber of thread 0
  // Ends the process at once: whatever must last has been synced before.
  [[noreturn]] static void stop(int code);
  void spawn_on(int i, std::function<void()> f);
  void spawn(std::function<void()> f) override;  // on the calling thread
  std::shared_ptr<base::Condition> condition() override;
  static boost::asio::io_context& here();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

class SystemClock final : public base::Clock {
 public:
  TimePoint now() override;  // CLOCK_BOOTTIME
  int64_t wall_ms() override;
  void sleep(Duration s) override;
};

class SystemRandom final : public base::Random {
 public:
  uint64_t draw() override;
};

}  // namespace dunlinwing::net
