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
  std::mutex m;
  std::condition_variable cv;
  std::deque<std::shared_ptr<Job>> jobs;
  bool stop = false;
  std::thread t;

  explicit Impl(base::Tasks& ts) : tasks(ts) {}
  void work() {
    std::unique_lock l(m);
    for (;;) {
      cv.wait(l, [&] { return stop || !jobs.empty(); });
      if (stop) return;
      auto j = jobs.front();
      jobs.pop_front();
      l.unlock();
      j->f();
      l.lock();
      j->done = true;
      j->condition->notify();
    }
  }
};

DiskExecutor::DiskExecutor(base::Tasks& t) : p_(std::make_unique<Impl>(t)) {
  p_->t = std::thread([this] { p_->work(); });
}

DiskExecutor::~DiskExecutor() {
  {
    std::lock_guard l(p_->m);
    p_->stop = true;
  }
  p_->cv.notify_all();
  p_->t.join();
}

void DiskExecutor::run(std::function<void()> f) {
  auto j = std::make_shared<Job>();
  j->f = std::move(f);
  j->condition = p_->tasks.condition();
  {
    std::lock_guard l(p_->m);
    p_->jobs.push_back(j);
  }
  p_->cv.notify_one();
  for (;;) {
    j->condition->wait(Duration(3600000));
    std::lock_guard l(p_->m);
    if (j->done) return;
  }
}

}  // namespace dunlinwing::storage
