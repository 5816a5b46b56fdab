/// @file
/// Timers of an event loop. They cost no system call: the loop asks for the earliest before it sleeps.
///
/// Threads: a timer is used by one thread, whose loop runs it.
#pragma once
#include <chrono>
#include <functional>
#include <map>
#include <optional>

namespace dunlinwing::net {

class TimerQueue;

/// Calls something once, between fibers, at a given time.
class Timer {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  ~Timer() { clear(); }

  /// In place of what was set before.
  /// @param callback  must not suspend
  void set(TimePoint time, std::function<void()> callback);
  void clear();

 private:
  friend class TimerQueue;
  std::optional<std::multimap<TimePoint, Timer*>::iterator> entry_;  ///< in the thread's queue, while set
  std::function<void()> callback_;
};

/// The timers of one thread that are set.
class TimerQueue {
 public:
  /// That of the calling thread.
  static TimerQueue& of_this_thread();

  /// Calls what is due.
  /// @return whether anything was
  bool run_due(Timer::TimePoint now);

  /// When the earliest is due; nothing when none is set.
  std::optional<Timer::TimePoint> earliest() const;

 private:
  friend class Timer;
  std::multimap<Timer::TimePoint, Timer*> timers_;
};

}  // namespace dunlinwing::net
