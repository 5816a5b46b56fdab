/// @file
/// Ends what waits on a connection once its limit is over.
#pragma once
#include "net/connection.hpp"

namespace dunlinwing::net {

/// Interrupts a connection once a limit is over, for as long as this lives.
/// Threads: used by the connection's own thread. A cancellation may come from any.
class WaitLimitGuard {
 public:
  /// @param connection  outlives the guard, or its release()
  WaitLimitGuard(Connection& connection, const WaitLimit& limit);
  WaitLimitGuard(const WaitLimitGuard&) = delete;
  WaitLimitGuard& operator=(const WaitLimitGuard&) = delete;
  ~WaitLimitGuard() { release(); }

  /// The connection is not interrupted any more.
  void release();

 private:
  /// What a cancellation on another thread posts to the connection's own refers to.
  struct Target {
    Connection* connection;  ///< null once released
  };

  std::shared_ptr<Target> target_;  ///< null where nothing can be cancelled
  Timer timer_;
  std::optional<base::CancellationSubscription> subscription_;
};

}  // namespace dunlinwing::net
