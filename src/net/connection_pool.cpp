// An idle connection has a read pending, so its end is noticed at once and the
// descriptor given back. Those that only grew old go when any other is sought:
// no timer watches over them.
#include "net/connection_pool.hpp"

#include <boost/asio/post.hpp>

namespace dunlinwing::net {
namespace asio = boost::asio;

namespace {
// Of the time after which the worker closes an idle connection, the part in
// which we use it: for what must not be sent twice, and for the rest.
constexpr double kSurePart = 1.0 / 3, kPart = 0.7;
constexpr Duration kSureUnstated(1000), kUnstated(4000);
constexpr size_t kMostIdleEach = 64;
constexpr Duration kPruneEvery(1000);

std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }

// Closes it on its own thread, which may be waiting on it.
void end(const std::shared_ptr<Connection>& connection, asio::io_context* io) {
  if (io == &EventLoopPool::here()) return connection->close();
  asio::post(*io, [connection] { connection->close(); });
}
}  // namespace

// The lock is held for all that is private here, and never while parked.
std::shared_ptr<Connection> ConnectionPool::take(Backend& h, bool safe) {
  auto t = now();
  auto* here = &EventLoopPool::here();
  for (size_t i = h.idle.size(); i-- > 0;) {
    auto& o = h.idle[i];
    if (t >= o.idempotent_until) {
      drop(h, i);
      continue;
    }
    if (o.io_context != here) continue;
    if (!o.connection->is_idle() || (!safe && t < o.unsafe_until && !o.connection->is_idle_in_system())) {
      drop(h, i);
      continue;
    }
    if (!safe && t >= o.unsafe_until) continue;
    auto connection = std::move(o.connection);
    connection->on_read_done(nullptr);
    h.idle.erase(h.idle.begin() + i);
    --idle_;
    return connection;
  }
  return nullptr;
}

void ConnectionPool::drop(Backend& h, size_t i) {
  end(h.idle[i].connection, h.idle[i].io_context);
  h.idle.erase(h.idle.begin() + i);
  --idle_;
  notify_waiter(h);
}

void ConnectionPool::notify_waiter(Backend& h) {
  --h.open;
  if (h.waiting.empty()) return;
  h.waiting.front()->notify();
  h.waiting.pop_front();
}

void ConnectionPool::prune(TimePoint t) {
  if (t - pruned_ < kPruneEvery) return;
  pruned_ = t;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    auto& h = it->second;
    for (size_t i = h.idle.size(); i-- > 0;)
      if (t >= h.idle[i].idempotent_until) drop(h, i);
    it = h.open == 0 && h.waiting.empty() ? hosts_.erase(it) : std::next(it);
  }
}

std::unique_ptr<ConnectionPool::Lease> ConnectionPool::acquire(const std::string& address, bool safe,
                                                               int most, TimePoint end) {
  std::shared_ptr<Connection> connection;
  bool used = false;
  for (std::shared_ptr<base::Condition> condition;;) {
    std::unique_lock lock(mutex_);
    auto t = now();
    prune(t);
    auto& h = hosts_[address];
    if (condition) std::erase(h.waiting, condition);
    connection = take(h, safe);
    if (!connection && most > 0 && h.open >= most && !h.idle.empty())
      drop(h, 0);  // unfit for this one, or another thread's
    used = connection != nullptr;
    if (used || most <= 0 || h.open < most) {
      h.open += !used;
      break;
    }
    if (t >= end) return nullptr;
    if (!condition) condition = make_condition();
    h.waiting.push_back(condition);
    lock.unlock();
    condition->wait(std::chrono::ceil<Duration>(end - t));
  }
  auto loan = std::make_unique<Lease>(shared_from_this(), address);
  loan->reused = used;
  loan->connection = used ? std::move(connection) : Connection::connect(address, end).first;
  if (!loan->connection) return nullptr;
  return loan;
}

ConnectionPool::Lease::~Lease() {
  if (connection) connection->close();
  if (pool_) pool_->connection_closed(address_);
}

void ConnectionPool::Lease::give_back(std::optional<Duration> stated, bool only_safe) {
  std::exchange(pool_, nullptr)->give_back(address_, std::move(connection), stated, only_safe);
}

void ConnectionPool::Lease::abandon() {
  connection->reset();
  connection.reset();
}

void ConnectionPool::connection_closed(const std::string& address) {
  std::lock_guard g(mutex_);
  notify_waiter(hosts_[address]);
}

void ConnectionPool::give_back(const std::string& address, std::shared_ptr<Connection> connection,
                               std::optional<Duration> stated, bool only_safe) {
  auto t = now();
  connection->start_read(kResponseReadSize);
  connection->on_read_done([k = weak_from_this(), address, raw = connection.get()] {
    if (auto me = k.lock()) me->connection_ended(address, raw);
  });
  std::lock_guard g(mutex_);
  auto& h = hosts_[address];
  auto part = [&](double p) { return std::chrono::duration_cast<Duration>(*stated * p); };
  auto sure = only_safe ? Duration(0) : stated ? part(kSurePart) : kSureUnstated;
  h.idle.push_back(
      {std::move(connection), &EventLoopPool::here(), t, t + sure, t + (stated ? part(kPart) : kUnstated)});
  ++idle_;
  if (h.idle.size() > kMostIdleEach) drop(h, 0);
  if (idle_ > max_idle_) {
    Backend* old = nullptr;
    for (auto& [a, x] : hosts_)
      if (!x.idle.empty() && (!old || x.idle[0].since < old->idle[0].since)) old = &x;
    drop(*old, 0);
  }
  if (!h.waiting.empty()) {
    h.waiting.front()->notify();
    h.waiting.pop_front();
  }
}

// Its end came, or bytes nobody asked for.
void ConnectionPool::connection_ended(const std::string& address, Connection* l) {
  std::lock_guard g(mutex_);
  auto f = hosts_.find(address);
  if (f == hosts_.end()) return;
  auto& v = f->second.idle;
  for (size_t i = 0; i < v.size(); ++i)
    if (v[i].connection.get() == l) return drop(f->second, i);
}

void ConnectionPool::clear() {
  std::lock_guard g(mutex_);
  for (auto& [a, h] : hosts_)
    while (!h.idle.empty()) drop(h, h.idle.size() - 1);
}

int ConnectionPool::idle() const {
  std::lock_guard g(mutex_);
  return static_cast<int>(idle_);
}

int ConnectionPool::connections_to(const std::string& address) const {
  std::lock_guard g(mutex_);
  auto f = hosts_.find(address);
  return f == hosts_.end() ? 0 : f->second.open;
}

}  // namespace dunlinwing::net
