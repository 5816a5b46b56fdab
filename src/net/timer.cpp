#include "net/timer.hpp"

namespace dunlinwing::net {

TimerQueue& TimerQueue::of_this_thread() {
  thread_local TimerQueue queue;
  return queue;
}

bool TimerQueue::run_due(Timer::TimePoint now) {
  bool any = false;
  for (; !timers_.empty() && timers_.begin()->first <= now; any = true) {
    Timer* timer = timers_.begin()->second;
    const auto callback = std::move(timer->callback_);
    timer->clear();
    callback();
  }
  return any;
}

std::optional<Timer::TimePoint> TimerQueue::earliest() const {
  if (timers_.empty()) return {};
  return timers_.begin()->first;
}

void Timer::set(TimePoint time, std::function<void()> callback) {
  clear();
  callback_ = std::move(callback);
  entry_ = TimerQueue::of_this_thread().timers_.emplace(time, this);
}

void Timer::clear() {
  if (!entry_) return;
  TimerQueue::of_this_thread().timers_.erase(*entry_);
  entry_.reset();
}

}  // namespace dunlinwing::net
