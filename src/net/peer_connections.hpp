/// @file
/// A thread's pool of connections to other nodes: those lent for a call, and idle ones for reuse.
///
/// Invariant: their number is bounded, because a process that runs out of descriptors accepts no connections.
/// Threads: used only by the thread that owns it.
#pragma once
#include <list>
#include <map>
#include <vector>

#include "net/connection.hpp"

namespace dunlinwing::net {

class PeerConnections {
 public:
  using Clock = std::chrono::steady_clock;

  struct Lease {
    std::shared_ptr<Connection> connection;  ///< null: none was available within the limit
    bool reused = false;                     ///< it has carried a call before
  };

  /// Conditions for lending a connection.
  struct LendingTerms {
    size_t max_connections = 0;  ///< limit on open connections; one address may borrow only a part of them,
                                 ///< so that an unresponsive node does not exhaust them
    bool for_traffic = false;    ///< for forwarded client requests: some connections are reserved for control
  };

  /// Waits within the limit for an idle connection, or until a new one may be opened.
  /// @param address  IP:port
  Lease acquire(const std::string& address, const WaitLimit& limit, const LendingTerms& terms);

  /// Returns a connection after a complete response, with no unread bytes.
  void give_back(const std::string& address, std::shared_ptr<Connection> connection,
                 const LendingTerms& terms);

  /// Resets the connection, so that undelivered bytes are never delivered.
  void discard(const std::string& address, const std::shared_ptr<Connection>& connection,
               const LendingTerms& terms);

  /// Number of open connections, idle and lent.
  size_t open() const { return lent_ + idle_count(); }

 private:
  struct Idle {
    std::shared_ptr<Connection> connection;
    Clock::time_point since;
  };
  struct Peer {
    std::vector<Idle> idle;  ///< most recently used last
    size_t lent = 0;
  };
  struct Waiter {
    std::string address;
    std::shared_ptr<base::Condition> condition;
    bool for_traffic = false;
    bool woken = false;
  };

  bool may_lend(const std::string& address, const LendingTerms& terms);
  std::shared_ptr<Connection> take_idle(Peer& peer);
  Peer* longest_idle();
  bool make_room(size_t max_connections);
  void lend(const std::string& address, const LendingTerms& terms);
  void release_lent(const std::string& address, const LendingTerms& terms);
  void wake_next(size_t max_connections);
  bool await_room(const std::string& address, const WaitLimit& limit, const LendingTerms& terms);
  void prune(Clock::time_point now);
  size_t idle_count() const;

  std::map<std::string, Peer> peers_;
  std::list<Waiter> waiters_;  ///< in order of arrival
  size_t lent_ = 0;
  size_t lent_for_traffic_ = 0;  ///< of these
  Clock::time_point pruned_{};
};

/// The pool of the calling thread.
PeerConnections& peer_connections();

}  // namespace dunlinwing::net
