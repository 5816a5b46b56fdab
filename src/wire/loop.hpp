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

namespace dunlinwing::wire {

using Ec = boost::system::error_code;

// Runs fibers on the calling thread; `idle` is called when none is ready and
// must make progress or block; `poll` is called once a round.
void run_fibers(std::function<void()> idle, std::function<void()> poll, std::function<void()> first);

// Parks the calling fiber until `f`'s handler has run on this same thread.
template <class... T, class F>
std::tuple<Ec, T...> await(F&& f) {
  std::optional<std::tuple<Ec, T...>> out;
  auto* me = boost::fibers::context::active();
  f([&out, me](Ec e, T... t) {
    out.emplace(e, std::move(t)...);
    boost::fibers::context::active()->schedule(me);
  });
  while (!out) me->suspend();
  return std::move(*out);
}

// Runs something once, on this thread and between fibers, at a given time. It
// costs no system call: the loop looks for the earliest before it sleeps.
class Alarm {
 public:
  using At = std::chrono::steady_clock::time_point;
  Alarm() = default;
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;
  ~Alarm() { clear(); }
  void set(At at, std::function<void()> f);  // `f` must not wait
  void clear();

 private:
  friend struct Alarms;
  bool on_ = false;
  std::multimap<At, Alarm*>::iterator it_;
  std::function<void()> f_;
};

// Whether a kept connection is still whole: open, and nothing came unasked.
bool still_idle(int fd);

std::shared_ptr<base::Condition> make_spot();  // of the calling thread

// A pool of threads. Thread 0 carries control, the others carry traffic.
class Pool final : public base::Tasks {
 public:
  explicit Pool(int n);
  ~Pool() override;
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
  std::unique_ptr<Impl> p_;
};

class RealClock final : public base::Clock {
 public:
  TimePoint now() override;  // CLOCK_BOOTTIME
  int64_t wall_ms() override;
  void sleep(Duration s) override;
};

class RealChance final : public base::Random {
 public:
  uint64_t draw() override;
};

}  // namespace dunlinwing::wire
