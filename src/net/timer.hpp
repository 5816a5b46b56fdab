/// @file
/// Timers of an event loop. They cost no system calls: the loop looks up the earliest before it sleeps.
///
/// Threads: a timer is used by one thread, whose event loop runs its callback.
#pragma once
#include <chrono>
#include <functional>
#include <map>
#include <optional>

namespace dunlinwing::net {

class TimerQueue;

/// Runs a callback once at a given time, on the dispatcher's fiber.
class Timer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { clear(); }

  /// Replaces any earlier time and callback.
  /// @param callback  must not suspend
  void set(TimePoint time, std::function<void()> callback);
  void clear();

 private:
  friend class TimerQueue;
  std::optional<std::multimap<TimePoint, Timer*>::iterator> entry_;  ///< in the thread's queue, while set
  std::function<void()> callback_;
};

/// The pending timers of one thread.
class TimerQueue {
 public:
  /// The queue of the calling thread.
  static TimerQueue& of_this_thread();

  /// Runs the callbacks of due timers.
  /// @return whether any timer was due
  bool run_due(Timer::TimePoint now);

  /// When the earliest timer is due; nullopt when none is set.
  std::optional<Timer::TimePoint> earliest() const;

 private:
  friend class Timer;
  std::multimap<Timer::TimePoint, Timer*> timers_;
};

}  // namespace dunlinwing::net
