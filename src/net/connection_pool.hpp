// Connections to workers: how many each address holds, which are idle, and who
// waits for one. A connection stays on the thread that made it.
#pragma once
#include <deque>
#include <mutex>

#include "net/connection.hpp"

namespace dunlinwing::net {

constexpr size_t kResponseReadSize = 8 << 10;  // most answers fit in one read

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  // A connection out of the pool. Destroyed without `keep`, it is closed.
  class Lease {
   public:
    Lease(std::shared_ptr<ConnectionPool> k, std::string address)
        : pool_(std::move(k)), address_(std::move(address)) {}
    Lease(const Lease&) = delete;
    ~Lease();
    // Gives it back to the pool. `stated`: the other side's Keep-Alive time, if it stated one.
    // With `only_safe` it no longer carries what must not run twice.
    void give_back(std::optional<Duration> stated, bool only_safe = false);
    void abandon();  // resets it: what was not delivered yet never will be
    std::shared_ptr<Connection> connection;
    bool reused = false;  // it has carried an answer before

   private:
    std::shared_ptr<ConnectionPool> pool_;
    std::string address_;
  };

  explicit ConnectionPool(size_t most) : max_idle_(most) {}
  // Null when neither an idle connection fits nor a new one stands in time.
  std::unique_ptr<Lease> acquire(const std::string& address, bool safe, int most, TimePoint end);
  void clear();
  int idle() const;
  int connections_to(const std::string& address) const;

 private:
  struct IdleConnection {
    std::shared_ptr<Connection> connection;
    boost::asio::io_context* io_context;
    TimePoint since, unsafe_until,
        idempotent_until;  // for requests that must not run twice until `sure`, for others until `until`
  };
  struct Backend {
    std::vector<IdleConnection> idle;  // the latest used last
    int open = 0;
    std::deque<std::shared_ptr<base::Condition>> waiting;
  };
  using Hosts = std::map<std::string, Backend>;

  std::shared_ptr<Connection> take(Backend& h, bool safe);
  void drop(Backend& h, size_t i);
  void notify_waiter(Backend& h);
  void prune(TimePoint now);
  void connection_ended(const std::string& address, Connection* l);
  void give_back(const std::string& address, std::shared_ptr<Connection> connection,
                 std::optional<Duration> stated, bool only_safe);
  void connection_closed(const std::string& address);

  size_t max_idle_, idle_ = 0;
  TimePoint pruned_{};
  mutable std::mutex mutex_;
  Hosts hosts_;
};

}  // namespace dunlinwing::net
