/// @file
/// Connections to backend instances: the number open to each address, the idle ones, and the waiting
/// requests.
///
/// Invariants: a connection stays on the thread that opened it. The connections open to an address, in use or
/// idle, never exceed the limit given for its backend instance. The mutex guards all private members, and is
/// never held while a fiber is suspended. Threads: any.
#pragma once
#include <deque>
#include <mutex>

#include "net/connection.hpp"
#include "net/declined_requests.hpp"

namespace dunlinwing::net {

constexpr size_t kResponseReadSize = 8 << 10;  // most responses fit in one read

/// What a request needs of its connection.
struct ConnectionNeeds {
  std::string address;      ///< IP:port
  bool idempotent = false;  ///< the connection may be one that the peer is about to close
  int max_connections = 0;  ///< limit on connections open to the address; 0: no limit
  std::string request_id;   ///< the connection must not be one on which this request was declined
};

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// A connection taken from the pool. It is closed if the lease is destroyed without give_back().
  class Lease {
   public:
    Lease(std::shared_ptr<ConnectionPool> pool, std::string address, bool is_reused)
        : reused(is_reused), pool_(std::move(pool)), address_(std::move(address)) {}
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease();

    /// Returns the connection to the pool.
    /// @param keep_alive  the peer's Keep-Alive time; nullopt: it stated none
    void give_back(std::optional<Duration> keep_alive);

    /// Resets the connection, so that undelivered bytes are never delivered.
    void discard();

    std::shared_ptr<Connection> connection;
    bool reused = false;        ///< a response has been read from the connection before
    DeclinedRequests declined;  ///< on this connection

   private:
    std::shared_ptr<ConnectionPool> pool_;  ///< null once given back
    std::string address_;
  };

  /// @param max_idle  limit on idle connections over all addresses
  explicit ConnectionPool(size_t max_idle) : max_idle_(max_idle) {}

  /// Takes an idle connection or opens one; suspends the calling fiber while neither is possible.
  /// @param on_wait  called if the caller had to wait, with whether it was granted one; may be null
  /// @return null when no connection was available within the limit
  [[nodiscard]] std::unique_ptr<Lease> acquire(const ConnectionNeeds& needs, const WaitLimit& limit,
                                               const std::function<void(bool granted)>& on_wait = {});

  /// Closes the idle connections.
  void clear();

  int idle() const;
  int connections_to(const std::string& address) const;  ///< in use or idle

 private:
  struct IdleConnection {
    std::shared_ptr<Connection> connection;
    boost::asio::io_context* io_context;  ///< of the thread that opened it
    TimePoint since;
    TimePoint unsafe_until;      ///< may be used for every request until then
    TimePoint idempotent_until;  ///< may be used for idempotent requests until then
    DeclinedRequests declined;   ///< on this connection
  };
  struct Backend {
    std::vector<IdleConnection> idle;  ///< most recently used last
    int open = 0;                      ///< in use or idle
    std::deque<std::shared_ptr<base::Condition>> waiting;
  };

  /// Result of take_or_reserve().
  struct Reservation {
    bool granted = false;
    bool waited = false;
    std::shared_ptr<Connection> connection;  ///< null: a slot is reserved for one that the caller opens
    DeclinedRequests declined;               ///< on the connection
  };

  Reservation take_or_reserve(const ConnectionNeeds& needs, const WaitLimit& limit);
  std::optional<Reservation> take_idle(Backend& backend, const ConnectionNeeds& needs);
  void drop(Backend& backend, size_t index);
  void drop_longest_idle();
  static void notify_waiter(Backend& backend);
  void prune(TimePoint now);
  void connection_ended(const std::string& address, const Connection* ended);
  void give_back(const std::string& address, IdleConnection returned, std::optional<Duration> keep_alive);
  void connection_closed(const std::string& address);

  size_t max_idle_;
  size_t idle_ = 0;  ///< over all addresses
  TimePoint pruned_{};
  mutable std::mutex mutex_;
  std::map<std::string, Backend> backends_;  ///< by address
};

}  // namespace dunlinwing::net
