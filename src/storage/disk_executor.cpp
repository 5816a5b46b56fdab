// One thread, one job at a time, in the order in which they came.
#include "storage/disk_executor.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace dunlinwing::storage {
namespace {
struct Job {
  std::function<void()> f;
  std::shared_ptr<base::Condition> condition;
  bool done = false;
};
}  // namespace

struct DiskExecutor::Impl {
  base::Tasks& tasks;
  std::mutex mutex;
  std::condition_variable cv;
  std::deque<std::shared_ptr<Job>> jobs;
  bool stop = false;
  std::thread t;

  explicit Impl(base::Tasks& ts) : tasks(ts) {}
  void work() {
    std::unique_lock lock(mutex);
    for (;;) {
      cv.wait(lock, [&] { return stop || !jobs.empty(); });
      if (stop) return;
      auto j = jobs.front();
      jobs.pop_front();
      lock.unlock();
      j->f();
      lock.lock();
      j->done = true;
      j->condition->notify();
    }
  }
};

DiskExecutor::DiskExecutor(base::Tasks& tasks) : impl_(std::make_unique<Impl>(tasks)) {
  impl_->t = std::thread([this] { impl_->work(); });
}

DiskExecutor::~DiskExecutor() {
  {
    std::lock_guard lock(impl_->mutex);
    impl_->stop = true;
  }
  impl_->cv.notify_all();
  impl_->t.join();
}

void DiskExecutor::run(std::function<void()> f) {
  auto j = std::make_shared<Job>();
  j->f = std::move(f);
  j->condition = impl_->tasks.condition();
  {
    std::lock_guard lock(impl_->mutex);
    impl_->jobs.push_back(j);
  }
  impl_->cv.notify_one();
  for (;;) {
    j->condition->wait(Duration(3600000));
    std::lock_guard lock(impl_->mutex);
    if (j->done) return;
  }
}

}  // namespace dunlinwing::storage
