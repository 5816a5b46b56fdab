/// @file
/// Signals the code that handles a request that its response is no longer needed. Code that waits on behalf
/// of the request subscribes; its callback is called once when the request is cancelled.
///
/// Threads: every function may be called from any thread. Callbacks run on the thread that calls cancel(),
/// under the lock of the Cancellation: they must be short, must not suspend the fiber and must not use the
/// Cancellation.
#pragma once
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace dunlinwing::base {

class Cancellation {
 public:
  Cancellation() = default;
  Cancellation(const Cancellation&) = delete;
  Cancellation& operator=(const Cancellation&) = delete;

  /// Calls every subscribed callback. A cancellation cannot be undone.
  void cancel();

  bool is_cancelled() const { return cancelled_; }

 private:
  friend class CancellationSubscription;
  using Callbacks = std::list<std::function<void()>>;

  std::mutex mutex_;
  std::atomic<bool> cancelled_{false};  ///< set under mutex_
  Callbacks callbacks_;                 ///< guarded by mutex_; empty once cancelled
};

/// Null: the request is never cancelled.
using CancellationPtr = std::shared_ptr<Cancellation>;

inline bool is_cancelled(const CancellationPtr& cancellation) {
  return cancellation && cancellation->is_cancelled();
}

/// Calls a function when a request is cancelled, or at once if it is cancelled already. Once this object is
/// destroyed, the function is not running and will not be called.
class CancellationSubscription {
 public:
  CancellationSubscription(CancellationPtr cancellation, std::function<void()> callback);
  CancellationSubscription(const CancellationSubscription&) = delete;
  CancellationSubscription& operator=(const CancellationSubscription&) = delete;
  ~CancellationSubscription();

 private:
  CancellationPtr cancellation_;
  Cancellation::Callbacks::iterator entry_;  ///< valid while `subscribed_` and not cancelled
  bool subscribed_ = false;
};

}  // namespace dunlinwing::base
