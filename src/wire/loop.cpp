// The scheduler is a plain ready-list. Only the dispatcher fiber ever runs
// handlers, so a handler can never try to wake the fiber that runs it. Fibers
// sleep and meet across threads through the io_context alone.
#include "wire/loop.hpp"

#include <sys/random.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <random>
#include <thread>

#include "base/log.hpp"

namespace dunlinwing::wire {
namespace asio = boost::asio;
namespace bf = boost::fibers;

namespace {
constexpr base::Log lg("wire");

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

class RealSpot final : public base::Spot, public std::enable_shared_from_this<RealSpot> {
 public:
  explicit RealSpot(asio::io_context& io) : io_(io), t_(io) {}
  bool park(Span s) override {
    if (!woken_) {
      t_.expires_after(std::max(s, Span(0)));
      await<>([&](auto h) { t_.async_wait(std::move(h)); });
    }
    return std::exchange(woken_, false);
  }
  void wake() override {
    asio::post(io_, [me = shared_from_this()] {
      me->woken_ = true;
      me->t_.cancel();
    });
  }

 private:
  asio::io_context& io_;
  asio::steady_timer t_;
  bool woken_ = false;
};
}  // namespace

void run_fibers(std::function<void()> idle, std::function<void()> poll, std::function<void()> first) {
  bf::use_scheduling_algorithm<List>(std::move(idle), std::move(poll));
  first();
}

bool still_idle(int fd) {
  char c;
  return ::recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

struct Pool::Impl {
  std::vector<std::unique_ptr<asio::io_context>> io;
  std::vector<std::thread> ts;
};

Pool::Pool(int n) : p_(std::make_unique<Impl>()) {
  for (int i = 0; i < n; ++i) p_->io.push_back(std::make_unique<asio::io_context>(1));
}

Pool::~Pool() = default;
int Pool::size() const { return static_cast<int>(p_->io.size()); }
asio::io_context& Pool::io(int i) { return *p_->io[i]; }
asio::io_context& Pool::here() { return *tls_io; }

namespace {
// Each pool thread's main fiber parks for good; its work is done by others.
void body(asio::io_context& io, const std::function<void()>& first) {
  tls_io = &io;
  auto guard = asio::make_work_guard(io);
  run_fibers([&] { io.run_one(); }, [&] { io.poll(); }, [&] {
    if (first) bf::fiber(bf::launch::post, first).detach();
    for (;;) bf::context::active()->suspend();
  });
}
}  // namespace

void Pool::run(std::function<void()> first) {
  for (int i = 1; i < size(); ++i) p_->ts.emplace_back([this, i] { body(io(i), {}); });
  body(io(0), first);
}

void Pool::stop(int code) { ::_exit(code); }

void Pool::spawn_on(int i, std::function<void()> f) {
  asio::post(io(i), [f = std::move(f)]() mutable { bf::fiber(bf::launch::post, std::move(f)).detach(); });
}

void Pool::spawn(std::function<void()> f) { bf::fiber(bf::launch::post, std::move(f)).detach(); }

std::shared_ptr<base::Spot> Pool::spot() { return std::make_shared<RealSpot>(*tls_io); }

Tick RealClock::now() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return Tick(t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

int64_t RealClock::wall_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void RealClock::nap(Span s) {
  asio::steady_timer t(Pool::here(), s);
  await<>([&](auto h) { t.async_wait(std::move(h)); });
}

uint64_t RealChance::draw() {
  thread_local std::mt19937_64 g = [] {
    uint64_t s[4];
    if (getrandom(s, sizeof s, 0) != sizeof s) lg.warn("The system gave no randomness.");
    std::seed_seq q(std::begin(s), std::end(s));
    return std::mt19937_64(q);
  }();
  return g();
}

}  // namespace dunlinwing::wire
