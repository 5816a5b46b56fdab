// The reactor is polled when no fiber is ready, and once in kRoundsBetweenPolls scheduling rounds when some
// fiber always is: each poll is a system call.
#include "net/event_loop.hpp"

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace fibers = boost::fibers;

namespace {
constexpr int kRoundsBetweenPolls = 32;

thread_local asio::io_context* current_io = nullptr;  // of this thread; null outside of event loops

class FiberCondition final : public base::Condition, public std::enable_shared_from_this<FiberCondition> {
 public:
  explicit FiberCondition(asio::io_context& io) : io_(io) {}

  bool wait(Duration limit) override {
    if (notified_) {
      boost::this_fiber::yield();  // a condition that is always notified must not starve other fibers
    } else if (limit > Duration(0)) {
      auto* fiber = waiting_ = fibers::context::active();
      Timer timeout;
      timeout.set(std::chrono::steady_clock::now() + limit, [this] { resume(); });
      while (waiting_) fiber->suspend();
    }
    return std::exchange(notified_, false);
  }

  void notify() override {
    if (current_io == &io_) return notify_here();
    asio::post(io_, [self = shared_from_this()] { self->notify_here(); });
  }

 private:
  void notify_here() {
    notified_ = true;
    resume();
  }

  void resume() {
    if (auto* fiber = std::exchange(waiting_, nullptr)) fibers::context::active()->schedule(fiber);
  }

  asio::io_context& io_;
  bool notified_ = false;
  fibers::context* waiting_ = nullptr;
};

/// Runs a thread's I/O handlers and timers while none of its fibers runs.
class LoopDriver {
 public:
  explicit LoopDriver(asio::io_context& io) : io_(io) {}

  /// Called when no fiber is ready.
  void idle() {
    rounds_ = 0;
    const auto earliest = timers_.earliest();
    if (!earliest) {
      io_.run_one();
      return;
    }
    if (timers_.run_due(std::chrono::steady_clock::now())) return;
    if (io_.run_one_until(*earliest) == 0) timers_.run_due(std::chrono::steady_clock::now());
  }

  /// Called once per scheduling round.
  void poll() {
    if (++rounds_ < kRoundsBetweenPolls) return;
    rounds_ = 0;
    io_.poll();
    timers_.run_due(std::chrono::steady_clock::now());
  }

 private:
  asio::io_context& io_;
  TimerQueue& timers_ = TimerQueue::of_this_thread();
  int rounds_ = 0;  ///< since the reactor was last polled
};

// Each thread's main fiber stays suspended; other fibers do the work.
void run_loop(asio::io_context& io, const std::function<void()>& first) {
  current_io = &io;
  const auto guard = asio::make_work_guard(io);
  LoopDriver driver(io);
  run_fibers([&] { driver.idle(); }, [&] { driver.poll(); },
             [&] {
               if (first) launch_fiber(first);
               for (;;) fibers::context::active()->suspend();
             });
}
}  // namespace

struct EventLoopPool::Impl {
  std::vector<std::unique_ptr<asio::io_context>> io;  ///< by thread
  std::vector<std::thread> threads;  ///< all but the first, which is the thread that calls run()
};

EventLoopPool::EventLoopPool(int threads) : impl_(std::make_unique<Impl>()) {
  for (int i = 0; i < threads; ++i) impl_->io.push_back(std::make_unique<asio::io_context>(1));
}

EventLoopPool::~EventLoopPool() = default;
int EventLoopPool::size() const { return static_cast<int>(impl_->io.size()); }
asio::io_context& EventLoopPool::io(int thread) { return *impl_->io[thread]; }
asio::io_context& EventLoopPool::io_of_this_thread() { return *current_io; }

void EventLoopPool::run(const std::function<void()>& first) {
  for (int i = 1; i < size(); ++i) impl_->threads.emplace_back([this, i] { run_loop(io(i), {}); });
  run_loop(io(0), first);
  stop(0);  // never reached: the main fiber is suspended
}

void EventLoopPool::stop(int status) { ::_exit(status); }

void EventLoopPool::spawn_on(int thread, std::function<void()> task) {
  if (current_io == &io(thread)) return launch_fiber(std::move(task));
  asio::post(io(thread), [task = std::move(task)]() mutable { launch_fiber(std::move(task)); });
}

void EventLoopPool::spawn(std::function<void()> task) { launch_fiber(std::move(task)); }

std::shared_ptr<base::Condition> make_condition() { return std::make_shared<FiberCondition>(*current_io); }
std::shared_ptr<base::Condition> EventLoopPool::condition() { return make_condition(); }

}  // namespace dunlinwing::net
