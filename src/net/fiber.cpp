// The scheduler is a list of ready fibers. Threads interact only through their io_contexts, so a fiber is
// always made ready on its own thread, and that needs no lock.
#include "net/fiber.hpp"

#include <sys/mman.h>

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <new>
#include <vector>

namespace dunlinwing::net {
namespace fibers = boost::fibers;

namespace {
class ReadyList final : public fibers::algo::algorithm {
 public:
  ReadyList(std::function<void()> idle, std::function<void()> poll)
      : idle_(std::move(idle)), poll_(std::move(poll)) {}

  void awakened(fibers::context* fiber) noexcept override { fiber->ready_link(ready_); }

  fibers::context* pick_next() noexcept override {
    if (fibers::context::active()->is_context(fibers::type::dispatcher_context)) poll_();
    if (ready_.empty()) return nullptr;
    auto* next = &ready_.front();
    ready_.pop_front();
    return next;
  }

  bool has_ready_fibers() const noexcept override { return !ready_.empty(); }
  void suspend_until(const std::chrono::steady_clock::time_point& /*time*/) noexcept override { idle_(); }
  void notify() noexcept override {}

 private:
  std::function<void()> idle_;
  std::function<void()> poll_;
  fibers::scheduler::ready_queue_type ready_;
};

/// Allocates fibers' stacks with mmap, each with a guard page below it. Stacks are reused, so that a new
/// connection usually needs no new mapping.
class StackPool {
 public:
  using traits_type = boost::context::stack_traits;  // name required by Boost.Context

  boost::context::stack_context allocate() {
    auto& spare = spare_mappings();
    void* mapping = nullptr;
    if (spare.empty()) {
      mapping = map_stack();
    } else {
      mapping = spare.back();
      spare.pop_back();
    }
    boost::context::stack_context stack;
    stack.size = kStackBytes;
    stack.sp = static_cast<char*>(mapping) + kGuardBytes + kStackBytes;
    return stack;
  }

  void deallocate(boost::context::stack_context& stack) noexcept {
    void* mapping = static_cast<char*>(stack.sp) - kStackBytes - kGuardBytes;
    auto& spare = spare_mappings();
    if (spare.size() < kMaxSpareStacks)
      spare.push_back(mapping);
    else
      ::munmap(mapping, kStackBytes + kGuardBytes);
  }

 private:
  static constexpr size_t kStackBytes = 128 << 10;
  static constexpr size_t kGuardBytes = 4096;
  static constexpr size_t kMaxSpareStacks = 256;  // per thread

  static void* map_stack() {
    void* mapping = ::mmap(nullptr, kStackBytes + kGuardBytes, PROT_READ | PROT_WRITE,
                           MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (mapping == MAP_FAILED) throw std::bad_alloc();
    ::mprotect(mapping, kGuardBytes, PROT_NONE);
    return mapping;
  }

  // Never destroyed: fibers end after the thread's other locals.
  static std::vector<void*>& spare_mappings() {
    thread_local auto* spare = [] {
      auto* reserved = new std::vector<void*>;
      reserved->reserve(kMaxSpareStacks);
      return reserved;
    }();
    return *spare;
  }
};
}  // namespace

void run_fibers(std::function<void()> idle, std::function<void()> poll, const std::function<void()>& first) {
  fibers::use_scheduling_algorithm<ReadyList>(std::move(idle), std::move(poll));
  first();
}

void launch_fiber(std::function<void()> task) {
  fibers::fiber(fibers::launch::post, std::allocator_arg, StackPool(), std::move(task)).detach();
}

}  // namespace dunlinwing::net
