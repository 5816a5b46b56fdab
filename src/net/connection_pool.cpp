// Each idle connection has a read pending, so that its end is noticed at once and the descriptor released.
// Connections that exceed their idle time are closed when any connection is acquired, without a timer.
#include "net/connection_pool.hpp"

#include <boost/asio/post.hpp>

namespace dunlinwing::net {
namespace asio = boost::asio;

namespace {
// Fractions of a backend instance's Keep-Alive time, after which it closes an idle connection, in which the
// connection is reused for requests that must not be sent twice, and for idempotent ones.
constexpr double kUnsafeFraction = 1.0 / 3;
constexpr double kIdempotentFraction = 0.7;
// The same periods for a backend instance that states no Keep-Alive time.
constexpr Duration kUnsafeDefault(1000);
constexpr Duration kIdempotentDefault(4000);
constexpr size_t kMaxIdlePerAddress = 64;
constexpr Duration kPruneEvery(1000);

std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }

Duration fraction_of(Duration duration, double part) {
  return std::chrono::duration_cast<Duration>(duration * part);
}

// Closes the connection on its own thread, which may be waiting on it.
void close_on_thread(const std::shared_ptr<Connection>& connection, asio::io_context* io) {
  if (io == &EventLoopPool::io_of_this_thread()) return connection->close();
  asio::post(*io, [connection] { connection->close(); });
}
}  // namespace

// An idle connection for the request, with what it was declined for; nothing when none is suitable.
std::optional<ConnectionPool::Reservation> ConnectionPool::take_idle(Backend& backend,
                                                                     const ConnectionNeeds& needs) {
  const auto time = now();
  const auto* here = &EventLoopPool::io_of_this_thread();
  for (size_t i = backend.idle.size(); i-- > 0;) {
    auto& idle = backend.idle[i];
    if (time >= idle.idempotent_until) {
      drop(backend, i);
      continue;
    }
    if (idle.io_context != here) continue;
    const bool may_be_unsafe = !needs.idempotent && time < idle.unsafe_until;
    if (!idle.connection->is_idle() || (may_be_unsafe && !idle.connection->is_idle_in_kernel())) {
      drop(backend, i);
      continue;
    }
    if (!needs.idempotent && time >= idle.unsafe_until) continue;
    if (idle.declined.may_contain(needs.request_id)) continue;
    Reservation reservation{true, false, std::move(idle.connection), std::move(idle.declined)};
    reservation.connection->on_read_done(nullptr);
    backend.idle.erase(backend.idle.begin() + static_cast<std::ptrdiff_t>(i));
    --idle_;
    return reservation;
  }
  return {};
}

void ConnectionPool::drop(Backend& backend, size_t index) {
  close_on_thread(backend.idle[index].connection, backend.idle[index].io_context);
  backend.idle.erase(backend.idle.begin() + static_cast<std::ptrdiff_t>(index));
  --idle_;
  --backend.open;
  notify_waiter(backend);
}

void ConnectionPool::notify_waiter(Backend& backend) {
  if (backend.waiting.empty()) return;
  backend.waiting.front()->notify();
  backend.waiting.pop_front();
}

void ConnectionPool::prune(TimePoint time) {
  if (time - pruned_ < kPruneEvery) return;
  pruned_ = time;
  for (auto it = backends_.begin(); it != backends_.end();) {
    auto& backend = it->second;
    for (size_t i = backend.idle.size(); i-- > 0;)
      if (time >= backend.idle[i].idempotent_until) drop(backend, i);
    it = backend.open == 0 && backend.waiting.empty() ? backends_.erase(it) : std::next(it);
  }
}

// Takes an idle connection, or reserves a slot for one that the caller opens; not granted when neither was
// available within the limit.
ConnectionPool::Reservation ConnectionPool::take_or_reserve(const ConnectionNeeds& needs,
                                                            const WaitLimit& limit) {
  const int max_connections = needs.max_connections;
  std::shared_ptr<base::Condition> condition;
  std::optional<base::CancellationSubscription> subscription;
  for (;;) {
    std::unique_lock lock(mutex_);
    prune(now());
    auto& backend = backends_[needs.address];
    if (condition) std::erase(backend.waiting, condition);
    const bool waited = condition != nullptr;
    if (auto taken = take_idle(backend, needs)) {
      taken->waited = waited;
      return std::move(*taken);
    }
    if (max_connections > 0 && backend.open >= max_connections && !backend.idle.empty())
      drop(backend, 0);  // unsuitable for this request, or bound to another thread
    if (max_connections <= 0 || backend.open < max_connections) {
      ++backend.open;
      return {true, waited, nullptr, {}};
    }
    if (limit.is_over()) return {false, waited, nullptr, {}};
    if (!condition) {
      condition = make_condition();
      subscription.emplace(limit.cancellation, [condition] { condition->notify(); });
    }
    backend.waiting.push_back(condition);
    lock.unlock();
    condition->wait(std::chrono::ceil<Duration>(limit.end - now()));
  }
}

std::unique_ptr<ConnectionPool::Lease> ConnectionPool::acquire(const ConnectionNeeds& needs,
                                                               const WaitLimit& limit,
                                                               const std::function<void(bool)>& on_wait) {
  auto reservation = take_or_reserve(needs, limit);
  if (reservation.waited && on_wait) on_wait(reservation.granted);
  if (!reservation.granted) return nullptr;
  auto& connection = reservation.connection;
  auto lease = std::make_unique<Lease>(shared_from_this(), needs.address, connection != nullptr);
  lease->declined = std::move(reservation.declined);
  lease->connection = connection ? std::move(connection) : Connection::connect(needs.address, limit);
  if (!lease->connection) return nullptr;
  return lease;
}

ConnectionPool::Lease::~Lease() {
  if (connection) connection->close();
  if (pool_) pool_->connection_closed(address_);
}

void ConnectionPool::Lease::give_back(std::optional<Duration> keep_alive) {
  if (declined.is_full()) return;
  std::exchange(pool_, nullptr)
      ->give_back(address_, {std::move(connection), nullptr, {}, {}, {}, std::move(declined)}, keep_alive);
}

void ConnectionPool::Lease::discard() {
  connection->reset();
  connection.reset();
}

void ConnectionPool::connection_closed(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& backend = backends_[address];
  --backend.open;
  notify_waiter(backend);
}

void ConnectionPool::give_back(const std::string& address, IdleConnection returned,
                               std::optional<Duration> keep_alive) {
  const auto time = now();
  auto& connection = *returned.connection;
  connection.start_read(kResponseReadSize);
  connection.on_read_done([pool = weak_from_this(), address, ended = &connection] {
    if (const auto self = pool.lock()) self->connection_ended(address, ended);
  });
  const auto unsafe = keep_alive ? fraction_of(*keep_alive, kUnsafeFraction) : kUnsafeDefault;
  const auto idempotent = keep_alive ? fraction_of(*keep_alive, kIdempotentFraction) : kIdempotentDefault;
  returned.io_context = &EventLoopPool::io_of_this_thread();
  returned.since = time;
  returned.unsafe_until = time + unsafe;
  returned.idempotent_until = time + idempotent;
  const std::lock_guard lock(mutex_);
  auto& backend = backends_[address];
  backend.idle.push_back(std::move(returned));
  ++idle_;
  if (backend.idle.size() > kMaxIdlePerAddress) drop(backend, 0);
  if (idle_ > max_idle_) drop_longest_idle();
  notify_waiter(backend);
}

void ConnectionPool::drop_longest_idle() {
  Backend* oldest = nullptr;
  for (auto& [address, backend] : backends_)
    if (!backend.idle.empty() && (!oldest || backend.idle[0].since < oldest->idle[0].since))
      oldest = &backend;
  drop(*oldest, 0);
}

// The peer closed the idle connection or sent unexpected bytes.
void ConnectionPool::connection_ended(const std::string& address, const Connection* ended) {
  const std::lock_guard lock(mutex_);
  const auto found = backends_.find(address);
  if (found == backends_.end()) return;
  auto& idle = found->second.idle;
  for (size_t i = 0; i < idle.size(); ++i)
    if (idle[i].connection.get() == ended) return drop(found->second, i);
}

void ConnectionPool::clear() {
  const std::lock_guard lock(mutex_);
  for (auto& [address, backend] : backends_)
    while (!backend.idle.empty()) drop(backend, backend.idle.size() - 1);
}

int ConnectionPool::idle() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(idle_);
}

int ConnectionPool::connections_to(const std::string& address) const {
  const std::lock_guard lock(mutex_);
  const auto found = backends_.find(address);
  return found == backends_.end() ? 0 : found->second.open;
}

}  // namespace dunlinwing::net
