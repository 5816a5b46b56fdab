/// @file
/// Tells those who work on a request that nobody waits for its response any more. Whoever waits for such a
/// request's sake subscribes, and is called once when the request is cancelled.
///
/// Threads: every function may be called from any thread. Callbacks run on the thread that cancels, under the
/// cancellation's own lock: they must be short, must not suspend the fiber and must not use the cancellation.
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

  /// Calls all who have subscribed. Once cancelled it stays so.
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

/// Has a function called when a request is cancelled, at once if it is already. Once this is destroyed the
/// function is not called, and does not run.
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
