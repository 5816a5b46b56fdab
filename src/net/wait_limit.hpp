/// @file
/// Applies wait limits to operations on a connection.
#pragma once
#include "net/connection.hpp"

namespace dunlinwing::net {

/// Interrupts a connection when a limit expires during this guard's lifetime.
/// Threads: used by the connection's own thread. The cancellation may be triggered on any thread.
class WaitLimitGuard {
 public:
  /// @param connection  must outlive the guard, or exist until release()
  WaitLimitGuard(Connection& connection, const WaitLimit& limit);
  WaitLimitGuard(const WaitLimitGuard&) = delete;
  WaitLimitGuard& operator=(const WaitLimitGuard&) = delete;
  ~WaitLimitGuard() { release(); }

  /// Disables the guard: it no longer interrupts the connection.
  void release();

 private:
  /// Shared with handlers that a cancellation on another thread posts to the connection's event loop.
  struct Target {
    Connection* connection;  ///< null once released
  };

  std::shared_ptr<Target> target_;  ///< null without a cancellation
  Timer timer_;
  std::optional<base::CancellationSubscription> subscription_;
};

}  // namespace dunlinwing::net
