#include "storage/disk_executor.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace dunlinwing::storage {
namespace {

// Condition::wait() requires a time limit; a longer job is waited for again.
constexpr Duration kMaxWait = std::chrono::hours(1);

struct Job {
  std::function<void()> function;
  std::shared_ptr<base::Condition> condition;  ///< notified when the job is done
  bool done = false;                           ///< guarded by the executor's mutex
};

}  // namespace

struct DiskExecutor::Impl {
  base::Tasks& tasks;
  std::mutex mutex;
  std::condition_variable changed;        ///< notified when `jobs` or `stopping` changes
  std::deque<std::shared_ptr<Job>> jobs;  ///< not started yet; guarded by `mutex`
  bool stopping = false;                  ///< guarded by `mutex`
  std::thread thread;

  explicit Impl(base::Tasks& tasks_port) : tasks(tasks_port) {}

  void run_jobs() {
    std::unique_lock lock(mutex);
    for (;;) {
      changed.wait(lock, [&] { return stopping || !jobs.empty(); });
      if (stopping) return;
      auto job = jobs.front();
      jobs.pop_front();
      lock.unlock();
      job->function();
      lock.lock();
      job->done = true;
      job->condition->notify();
    }
  }
};

DiskExecutor::DiskExecutor(base::Tasks& tasks) : impl_(std::make_unique<Impl>(tasks)) {
  impl_->thread = std::thread([this] { impl_->run_jobs(); });
}

DiskExecutor::~DiskExecutor() {
  {
    std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->changed.notify_all();
  impl_->thread.join();
}

void DiskExecutor::run(std::function<void()> function) {
  auto job = std::make_shared<Job>();
  job->function = std::move(function);
  job->condition = impl_->tasks.condition();
  {
    std::lock_guard lock(impl_->mutex);
    impl_->jobs.push_back(job);
  }
  impl_->changed.notify_one();
  for (;;) {
    job->condition->wait(kMaxWait);
    std::lock_guard lock(impl_->mutex);
    if (job->done) return;
  }
}

}  // namespace dunlinwing::storage
