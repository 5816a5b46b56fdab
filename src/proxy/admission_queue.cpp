// First come, first served. A request that would wait longer than it may
// behind those that wait is turned away at once, and one that has waited so long
// because the list stopped moving is turned away then.
#include "proxy/admission_queue.hpp"

#include <algorithm>

namespace dunlinwing::proxy {

AdmissionResult AdmissionQueues::admit(const std::string& s, int inflight, int longest, TimePoint start_by) {
  auto w = std::make_shared<Waiter>();
  Duration left;
  {
    std::lock_guard lock(mutex_);
    auto& t = queues_[s];
    t.limit = inflight;
    if (t.running < t.limit && t.waiters.empty()) {
      ++t.running;
      return AdmissionResult::admitted;
    }
    left = start_by - ports_.clock.now();
    if (static_cast<int>(t.waiters.size()) >= longest) return AdmissionResult::queue_full;
    double wait = t.latency_ms * static_cast<double>(t.waiters.size() + 1) / std::max(t.limit, 1);
    if (left <= Duration(0) || wait > static_cast<double>(left.count())) return AdmissionResult::too_late;
    w->condition = ports_.tasks.condition();
    t.waiters.push_back(w);
  }
  for (;;) {
    w->condition->wait(left);
    std::lock_guard lock(mutex_);
    if (w->admitted) return AdmissionResult::admitted;
    left = start_by - ports_.clock.now();
    if (left > Duration(0)) continue;
    auto& q = queues_[s].waiters;
    q.erase(std::remove(q.begin(), q.end(), w), q.end());
    return AdmissionResult::too_late;
  }
}

void AdmissionQueues::release(const std::string& s, Duration took) {
  std::lock_guard lock(mutex_);
  auto& t = queues_[s];
  --t.running;
  t.latency_ms += (static_cast<double>(took.count()) - t.latency_ms) / 16;
  while (t.running < t.limit && !t.waiters.empty()) {
    auto w = t.waiters.front();
    t.waiters.pop_front();
    w->admitted = true;
    ++t.running;
    w->condition->notify();
  }
}

Duration AdmissionQueues::drain_time(const std::string& s) {
  std::lock_guard lock(mutex_);
  auto& t = queues_[s];
  return Duration(
      static_cast<int64_t>(t.latency_ms * static_cast<double>(t.waiters.size() + 1) / std::max(t.limit, 1)));
}

std::pair<int, int> AdmissionQueues::load(const std::string& s) {
  std::lock_guard lock(mutex_);
  auto& t = queues_[s];
  return {t.running, static_cast<int>(t.waiters.size())};
}

int AdmissionQueues::running_requests() {
  std::lock_guard lock(mutex_);
  int n = 0;
  for (auto& [k, t] : queues_) n += t.running + static_cast<int>(t.waiters.size());
  return n;
}

}  // namespace dunlinwing::proxy
