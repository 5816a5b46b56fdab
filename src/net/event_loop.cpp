// The scheduler is a plain ready-list. Only the dispatcher fiber ever runs
// handlers and alarms, so neither can try to notify the fiber that runs it.
// Fibers meet across threads through the io_context alone; on one thread a notify
// is a mere push. The reactor is asked when no fiber is ready, and once in a
// number of rounds when some always is: each asking is a system call.
#include "net/event_loop.hpp"

#include <sys/mman.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cerrno>
#include <new>
#include <random>
#include <thread>

#include "base/log.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;
namespace bf = boost::fibers;

namespace {
constexpr base::Log logger("wire");

class List final : public bf::algo::algorithm {
 public:
  List(std::function<void()> idle, std::function<void()> poll)
      : idle_(std::move(idle)), poll_(std::move(poll)) {}
  void awakened(bf::context* c) noexcept override { c->ready_link(q_); }
  bf::context* pick_next() noexcept override {
    if (bf::context::active()->is_context(bf::type::dispatcher_context)) poll_();
    if (q_.empty()) return nullptr;
    auto* c = &q_.front();
    q_.pop_front();
    return c;
  }
  bool has_ready_fibers() const noexcept override { return !q_.empty(); }
  void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override { idle_(); }
  void notify() noexcept override {}

 private:
  std::function<void()> idle_, poll_;
  bf::scheduler::ready_queue_type q_;
};

thread_local asio::io_context* tls_io = nullptr;

constexpr int kRoundsUnasked = 32;

class RealSpot final : public base::Condition, public std::enable_shared_from_this<RealSpot> {
 public:
  explicit RealSpot(asio::io_context& io) : io_(io) {}
  bool wait(Duration s) override {
    if (woken_) {
      boost::this_fiber::yield();  // one that is always woken must not keep the others out
    } else if (s > Duration(0)) {
      auto* me = parked_ = bf::context::active();
      Timer a;
      a.set(std::chrono::steady_clock::now() + s, [this] { go(); });
      while (parked_) me->suspend();
    }
    return std::exchange(woken_, false);
  }
  void notify() override {
    if (tls_io == &io_) return here();
    asio::post(io_, [me = shared_from_this()] { me->here(); });
  }

 private:
  void here() {
    woken_ = true;
    go();
  }
  void go() {
    if (auto* p = std::exchange(parked_, nullptr)) bf::context::active()->schedule(p);
  }
  asio::io_context& io_;
  bool woken_ = false;
  bf::context* parked_ = nullptr;
};
}  // namespace

struct Timers {
  std::multimap<Timer::TimePoint, Timer*> all;
  static Timers& mine() {
    thread_local Timers a;
    return a;
  }
  bool ring(Timer::TimePoint now) {
    bool any = false;
    for (; !all.empty() && all.begin()->first <= now; any = true) {
      auto* a = all.begin()->second;
      auto f = std::move(a->callback_);
      a->clear();
      f();
    }
    return any;
  }
};

void Timer::set(TimePoint at, std::function<void()> f) {
  clear();
  callback_ = std::move(f);
  entry_ = Timers::mine().all.emplace(at, this);
  armed_ = true;
}

void Timer::clear() {
  if (std::exchange(armed_, false)) Timers::mine().all.erase(entry_);
}

namespace {
// Fibers' stacks: mapped with a page below that faults, and used again, so a
// new connection maps nothing.
class Stacks {
 public:
  typedef boost::context::stack_traits traits_type;
  boost::context::stack_context allocate() {
    auto& v = spare();
    void* at;
    if (!v.empty()) {
      at = v.back();
      v.pop_back();
    } else {
      at = ::mmap(nullptr, kSize + kGuard, PROT_READ | PROT_WRITE,
                  MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
      if (at == MAP_FAILED) throw std::bad_alloc();
      ::mprotect(at, kGuard, PROT_NONE);
    }
    boost::context::stack_context c;
    c.size = kSize;
    c.sp = static_cast<char*>(at) + kGuard + kSize;
    return c;
  }
  void deallocate(boost::context::stack_context& c) noexcept {
    void* at = static_cast<char*>(c.sp) - kSize - kGuard;
    auto& v = spare();
    if (v.size() < kMostSpare)
      v.push_back(at);
    else
      ::munmap(at, kSize + kGuard);
  }

 private:
  static constexpr size_t kSize = 128 << 10, kGuard = 4096, kMostSpare = 256;
  static std::vector<void*>& spare() {
    thread_local auto* v = [] {
      auto* s = new std::vector<void*>;
      s->reserve(kMostSpare);
      return s;
    }();
    return *v;
  }
};

void launch(std::function<void()> f) {
  bf::fiber(bf::launch::post, std::allocator_arg, Stacks(), std::move(f)).detach();
}
}  // namespace

void run_fibers(std::function<void()> idle, std::function<void()> poll, std::function<void()> first) {
  bf::use_scheduling_algorithm<List>(std::move(idle), std::move(poll));
  first();
}

bool still_idle(int fd) {
  char c;
  return ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct EventLoopPool::Impl {
  std::vector<std::unique_ptr<asio::io_context>> io;
  std::vector<std::thread> ts;
};

EventLoopPool::EventLoopPool(int n) : impl_(std::make_unique<Impl>()) {
  for (int i = 0; i < n; ++i) impl_->io.push_back(std::make_unique<asio::io_context>(1));
}

EventLoopPool::~EventLoopPool() = default;
int EventLoopPool::size() const { return static_cast<int>(impl_->io.size()); }
asio::io_context& EventLoopPool::io(int i) { return *impl_->io[i]; }
asio::io_context& EventLoopPool::here() { return *tls_io; }

namespace {
// Each pool thread's main fiber parks for good; its work is done by others.
void body(asio::io_context& io, const std::function<void()>& first) {
  tls_io = &io;
  auto guard = asio::make_work_guard(io);
  auto& alarms = Timers::mine();
  int rounds = 0;
  auto idle = [&] {
    rounds = 0;
    if (alarms.all.empty()) {
      io.run_one();
      return;
    }
    if (alarms.ring(std::chrono::steady_clock::now())) return;
    if (!io.run_one_until(alarms.all.begin()->first)) alarms.ring(std::chrono::steady_clock::now());
  };
  auto poll = [&] {
    if (++rounds < kRoundsUnasked) return;
    rounds = 0;
    io.poll();
    alarms.ring(std::chrono::steady_clock::now());
  };
  run_fibers(idle, poll, [&] {
    if (first) launch(first);
    for (;;) bf::context::active()->suspend();
  });
}
}  // namespace

void EventLoopPool::run(std::function<void()> first) {
  for (int i = 1; i < size(); ++i) impl_->ts.emplace_back([this, i] { body(io(i), {}); });
  body(io(0), first);
  stop(0);  // never reached: its main fiber is parked
}

void EventLoopPool::stop(int code) { ::_exit(code); }

void EventLoopPool::spawn_on(int i, std::function<void()> f) {
  if (tls_io == &io(i)) return launch(std::move(f));
  asio::post(io(i), [f = std::move(f)]() mutable { launch(std::move(f)); });
}

void EventLoopPool::spawn(std::function<void()> f) { launch(std::move(f)); }

std::shared_ptr<base::Condition> make_condition() { return std::make_shared<RealSpot>(*tls_io); }
std::shared_ptr<base::Condition> EventLoopPool::condition() { return make_condition(); }

TimePoint SystemClock::now() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return TimePoint(t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

int64_t SystemClock::wall_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void SystemClock::sleep(Duration s) {
  auto* me = bf::context::active();
  bool up = false;
  Timer a;
  a.set(std::chrono::steady_clock::now() + s, [&] {
    up = true;
    bf::context::active()->schedule(me);
  });
  while (!up) me->suspend();
}

uint64_t SystemRandom::draw() {
  thread_local std::mt19937_64 g = [] {
    uint64_t s[4];
    if (getrandom(s, sizeof s, 0) != sizeof s) logger.warn("The system gave no randomness.");
    std::seed_seq q(std::begin(s), std::end(s));
    return std::mt19937_64(q);
  }();
  return g();
}

}  // namespace dunlinwing::net
