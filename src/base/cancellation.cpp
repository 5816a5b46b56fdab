#include "base/cancellation.hpp"

namespace dunlinwing::base {

void Cancellation::cancel() {
  const std::lock_guard lock(mutex_);
  if (cancelled_) return;
  cancelled_ = true;
  for (const auto& callback : callbacks_) callback();
  callbacks_.clear();
}

CancellationSubscription::CancellationSubscription(CancellationPtr cancellation,
                                                   std::function<void()> callback)
    : cancellation_(std::move(cancellation)) {
  if (!cancellation_) return;
  {
    const std::lock_guard lock(cancellation_->mutex_);
    if (!cancellation_->cancelled_) {
      entry_ = cancellation_->callbacks_.insert(cancellation_->callbacks_.end(), std::move(callback));
      subscribed_ = true;
      return;
    }
  }
  callback();
}

CancellationSubscription::~CancellationSubscription() {
  if (!subscribed_) return;
  const std::lock_guard lock(cancellation_->mutex_);
  if (!cancellation_->cancelled_) cancellation_->callbacks_.erase(entry_);
}

}  // namespace dunlinwing::base
