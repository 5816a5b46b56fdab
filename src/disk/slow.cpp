// One thread, one job at a time. The image is made on the caller's thread
// before the job is handed over, since tables belong to the caller.
#include "disk/slow.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace dunlinwing::disk {
namespace {
struct Job {
  std::vector<pb::Record> rs;
  pb::Image image;
  std::shared_ptr<base::Spot> spot;
  std::optional<base::DiskDefect> res;
  bool done = false;
};
}  // namespace

struct Aside::Impl {
  std::unique_ptr<base::Disk> d;
  base::Tasks& tasks;
  std::mutex m;
  std::condition_variable cv;
  std::deque<std::shared_ptr<Job>> jobs;
  bool stop = false;
  std::thread t;

  Impl(std::unique_ptr<base::Disk> x, base::Tasks& ts) : d(std::move(x)), tasks(ts) {}
  void work() {
    std::unique_lock l(m);
    for (;;) {
      cv.wait(l, [&] { return stop || !jobs.empty(); });
      if (stop) return;
      auto j = jobs.front();
      jobs.pop_front();
      l.unlock();
      auto r = d->save(j->rs, [&] { return j->image; });
      l.lock();
      j->res = r;
      j->done = true;
      j->spot->wake();
    }
  }
};

Aside::Aside(std::unique_ptr<base::Disk> d, base::Tasks& t) : p_(std::make_unique<Impl>(std::move(d), t)) {
  p_->t = std::thread([this] { p_->work(); });
}

Aside::~Aside() {
  {
    std::lock_guard l(p_->m);
    p_->stop = true;
  }
  p_->cv.notify_all();
  p_->t.join();
}

base::Loaded Aside::load() { return p_->d->load(); }

std::optional<base::DiskDefect> Aside::save(const std::vector<pb::Record>& rs,
                                            const std::function<pb::Image()>& whole) {
  auto j = std::make_shared<Job>();
  j->rs = rs;
  j->image = whole();
  j->spot = p_->tasks.spot();
  {
    std::lock_guard l(p_->m);
    p_->jobs.push_back(j);
  }
  p_->cv.notify_one();
  for (;;) {
    j->spot->park(Span(3600000));
    std::lock_guard l(p_->m);
    if (j->done) return j->res;
  }
}

}  // namespace dunlinwing::disk
