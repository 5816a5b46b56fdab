#include "proxy/admission_queue.hpp"

#include <algorithm>

namespace dunlinwing::proxy {
namespace {
constexpr double kLatencyWeight = 1.0 / 16;  // weight of the latest request in the mean
}  // namespace

double AdmissionQueues::Queue::drain_ms() const {
  return latency_ms * static_cast<double>(waiters.size() + 1) / std::max(limit, 1);
}

AdmissionResult AdmissionQueues::admit(const std::string& service, int max_running, int max_waiting,
                                       TimePoint start_by, const base::CancellationPtr& cancellation) {
  if (base::is_cancelled(cancellation)) return AdmissionResult::cancelled;
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard lock(mutex_);
    auto& queue = queues_[service];
    queue.limit = max_running;
    if (queue.running < queue.limit && queue.waiters.empty()) {
      ++queue.running;
      return AdmissionResult::admitted;
    }
    if (static_cast<int>(queue.waiters.size()) >= max_waiting) return AdmissionResult::queue_full;
    const Duration remaining = start_by - ports_.clock.now();
    if (remaining <= Duration(0) || queue.drain_ms() > static_cast<double>(remaining.count()))
      return AdmissionResult::too_late;
    waiter = std::make_shared<Waiter>();
    waiter->condition = ports_.tasks.condition();
    queue.waiters.push_back(waiter);
  }
  return await_admission(service, waiter, start_by, cancellation);
}

AdmissionResult AdmissionQueues::await_admission(const std::string& service,
                                                 const std::shared_ptr<Waiter>& waiter, TimePoint start_by,
                                                 const base::CancellationPtr& cancellation) {
  const base::CancellationSubscription subscription(cancellation, [&] { waiter->condition->notify(); });
  for (;;) {
    waiter->condition->wait(start_by - ports_.clock.now());
    const std::lock_guard lock(mutex_);
    if (waiter->admitted) return AdmissionResult::admitted;
    const bool cancelled = base::is_cancelled(cancellation);
    if (!cancelled && ports_.clock.now() < start_by) continue;
    auto& waiters = queues_[service].waiters;
    waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter), waiters.end());
    return cancelled ? AdmissionResult::cancelled : AdmissionResult::too_late;
  }
}

void AdmissionQueues::release(const std::string& service, Duration latency) {
  const std::lock_guard lock(mutex_);
  auto& queue = queues_[service];
  --queue.running;
  queue.latency_ms += (static_cast<double>(latency.count()) - queue.latency_ms) * kLatencyWeight;
  while (queue.running < queue.limit && !queue.waiters.empty()) {
    auto waiter = queue.waiters.front();
    queue.waiters.pop_front();
    waiter->admitted = true;
    ++queue.running;
    waiter->condition->notify();
  }
}

Duration AdmissionQueues::drain_time(const std::string& service) {
  const std::lock_guard lock(mutex_);
  return Duration(static_cast<int64_t>(queues_[service].drain_ms()));
}

ServiceLoad AdmissionQueues::load(const std::string& service) {
  const std::lock_guard lock(mutex_);
  const auto& queue = queues_[service];
  return {queue.running, static_cast<int>(queue.waiters.size())};
}

int AdmissionQueues::running_requests() {
  const std::lock_guard lock(mutex_);
  int total = 0;
  for (const auto& [service, queue] : queues_)
    total += queue.running + static_cast<int>(queue.waiters.size());
  return total;
}

}  // namespace dunlinwing::proxy
