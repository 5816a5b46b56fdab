// One coarse periodic sweep per thread enforces the time limits, instead of a timer for each read and write.
#include "net/http_server.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <list>

#include "base/log.hpp"
#include "net/address.hpp"
#include "net/http_server_connection.hpp"
#include "net/listen.hpp"

namespace dunlinwing::net {
namespace asio = boost::asio;

namespace {
constexpr base::Log logger("http");
// The sweep runs several times within the shortest time limit, but not more or less often than this.
constexpr int kSweepsPerLimit = 4;
constexpr Duration kMinSweepPeriod(50);
constexpr Duration kMaxSweepPeriod(500);
constexpr Duration kAcceptRetry(100);      // before accepting again after a failed accept
constexpr Duration kLogPeriod(10000);      // at most one log line about that per period
constexpr Duration kRoomCheckPeriod(100);  // how soon it is checked again whether a connection may be ended

using State = HttpServerConnection::State;

/// The connections of one thread, used by that thread only, and the sweep that enforces their time limits.
class ConnectionTable {
 public:
  explicit ConnectionTable(HttpServerState& server) : server_(server) {}

  /// Serves a connection until it has ended.
  void serve(Connection::Socket socket, base::MemoryReservation memory) {
    HttpServerConnection connection(std::move(socket), server_, std::move(memory));
    const auto place = connections_.insert(connections_.end(), &connection);
    ++size_;
    if (connections_.size() == 1) schedule_sweep();
    connection.serve();
    connections_.erase(place);
    --size_;
    if (connections_.empty()) sweep_timer_.clear();
  }

  /// From any thread.
  int size() const { return size_; }

  /// Ends one connection in favour of a new one: the one that has been idle for longest, else the slowest.
  void evict() {
    if (auto* oldest = oldest_idle()) return oldest->interrupt();
    const TimePoint now = steady_now();
    HttpServerConnection* slowest = nullptr;
    for (auto* connection : connections_)
      if (connection->is_slow(now) &&
          (!slowest || connection->bytes_per_second(now) < slowest->bytes_per_second(now)))
        slowest = connection;
    if (slowest) slowest->end_as_slow();
  }

  void end_idle() {
    for (auto* connection : connections_)
      if (connection->is_evictable()) connection->interrupt();
  }

 private:
  void schedule_sweep() {
    const auto limits = server_.limits.load();
    const auto shortest =
        std::min({limits->idle_timeout, limits->head_timeout, limits->body_timeout, limits->write_timeout});
    const auto period = std::clamp(shortest / kSweepsPerLimit, kMinSweepPeriod, kMaxSweepPeriod);
    sweep_timer_.set(std::chrono::steady_clock::now() + period, [this] { sweep(); });
  }

  HttpServerConnection* oldest_idle() const {
    HttpServerConnection* oldest = nullptr;
    for (auto* connection : connections_)
      if ((!oldest || connection->state_since() < oldest->state_since()) && connection->is_evictable())
        oldest = connection;
    return oldest;
  }

  void sweep() {
    const auto limits = server_.limits.load();
    const TimePoint now = steady_now();
    for (auto* connection : connections_) connection->end_if_overdue(*limits, now);
    const uint64_t refusals = server_.memory.refusals();
    if (std::exchange(known_refusals_, refusals) != refusals) end_slow(now);
    if (!connections_.empty()) schedule_sweep();
  }

  /// Memory is short: ends the connections that keep it for longer than their clients need.
  void end_slow(TimePoint now) {
    for (auto* connection : connections_)
      if (connection->is_slow(now)) connection->end_as_slow();
  }

  HttpServerState& server_;
  uint64_t known_refusals_ = 0;  ///< of the memory account, as of the last sweep
  std::list<HttpServerConnection*> connections_;
  Timer sweep_timer_;
  std::atomic<int> size_{0};
};
}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<Impl> {
  EventLoopPool& pool;
  std::string name;
  HttpServerState state;
  std::atomic<int> open_connections{0};
  std::shared_ptr<Acceptor> acceptor;                    ///< null until listen()
  std::vector<std::unique_ptr<ConnectionTable>> tables;  ///< by thread
  std::shared_ptr<base::Condition> room;  ///< where the accepting fiber waits for a connection to end
  TimePoint accept_error_logged{-kLogPeriod * 5};

  Impl(EventLoopPool& event_loops, std::string server_name, HttpLimits limits, HttpHandler handler,
       link::LinkUse link, base::MemoryAccount& memory)
      : pool(event_loops), name(std::move(server_name)), state(memory) {
    state.handler = std::move(handler);
    state.link = link;
    state.limits = std::make_shared<const HttpLimits>(limits);
    for (int i = 0; i < pool.size(); ++i) tables.push_back(std::make_unique<ConnectionTable>(state));
  }

  void on_table(int thread, const std::function<void(ConnectionTable&)>& task) {
    asio::post(pool.io(thread), [self = shared_from_this(), thread, task] { task(*self->tables[thread]); });
  }

  void on_each_table(const std::function<void(ConnectionTable&)>& task) {
    for (int i = 0; i < pool.size(); ++i)
      if (tables[i]->size() > 0) on_table(i, task);
  }

  void accept_connections(int first_thread, int end_thread);
  void report_accept_error(ErrorCode error);
  [[nodiscard]] base::MemoryReservation wait_for_room();
  void serve(int thread, Connection::Socket socket, base::MemoryReservation memory);
};

void HttpServer::Impl::accept_connections(int first_thread, int end_thread) {
  for (int thread = first_thread; !state.closing;) {
    if (++thread >= end_thread) thread = first_thread;
    auto socket = std::make_shared<Connection::Socket>(pool.io(thread));
    const auto [error] = await<>([&](auto handler) { acceptor->async_accept(*socket, std::move(handler)); });
    if (state.closing) return;
    if (error) {
      report_accept_error(error);
      on_each_table([](ConnectionTable& table) { table.evict(); });
      SystemClock().sleep(kAcceptRetry);
      continue;
    }
    const auto memory = std::make_shared<base::MemoryReservation>(wait_for_room());
    configure_socket(*socket);
    ++open_connections;
    pool.spawn_on(thread, [self = shared_from_this(), thread, socket, memory] {
      self->serve(thread, std::move(*socket), std::move(*memory));
    });
  }
}

void HttpServer::Impl::report_accept_error(ErrorCode error) {
  const TimePoint now = steady_now();
  if (now - accept_error_logged <= kLogPeriod) return;
  logger.warn("Accepting a connection to {} failed: {}.", name, error.message());
  accept_error_logged = now;
}

// While the connection limit is reached or memory is short, makes the thread with the most connections evict
// idle and slow ones.
// @return the memory for one more connection
base::MemoryReservation HttpServer::Impl::wait_for_room() {
  base::MemoryReservation memory(state.memory, state.small_use());
  for (;;) {
    const size_t most = state.limits.load()->max_connections;
    const bool has_room = most == 0 || open_connections < static_cast<int>(most);
    if ((has_room && memory.grow_to(kConnectionBytes)) || state.closing) return memory;
    state.connection_limit_reached = true;
    const auto fullest = std::max_element(
        tables.begin(), tables.end(), [](auto& table, auto& other) { return table->size() < other->size(); });
    on_table(static_cast<int>(fullest - tables.begin()), [](ConnectionTable& table) { table.evict(); });
    room->wait(kRoomCheckPeriod);
    state.connection_limit_reached = false;
  }
}

void HttpServer::Impl::serve(int thread, Connection::Socket socket, base::MemoryReservation memory) {
  tables[thread]->serve(std::move(socket), std::move(memory));
  --open_connections;
  if (state.connection_limit_reached) room->notify();
}

HttpServer::HttpServer(EventLoopPool& pool, std::string name, HttpLimits limits, HttpHandler handler,
                       link::LinkUse link, base::MemoryAccount& memory)
    : impl_(std::make_shared<Impl>(pool, std::move(name), limits, std::move(handler), link, memory)) {}
HttpServer::~HttpServer() = default;

int HttpServer::running_requests() const { return impl_->state.running_requests; }
int HttpServer::open_connections() const { return impl_->open_connections; }

void HttpServer::set_limits(HttpLimits limits) {
  impl_->state.limits = std::make_shared<const HttpLimits>(limits);
}

void HttpServer::drain() { impl_->state.draining = true; }

void HttpServer::close_idle() {
  impl_->on_each_table([](ConnectionTable& table) { table.end_idle(); });
}

void HttpServer::close() {
  impl_->state.closing = true;
  impl_->pool.spawn_on(0, [impl = impl_] {
    ErrorCode ignored;
    if (impl->acceptor) impl->acceptor->close(ignored);
    if (impl->room) impl->room->notify();
  });
}

std::optional<std::string> HttpServer::listen(const std::string& address, int first_thread, int end_thread) {
  if (!parse_address(address)) return "the address is not IP:port";
  end_thread = std::min(std::max(end_thread, first_thread + 1), impl_->pool.size());
  first_thread = std::min(first_thread, end_thread - 1);
  auto listening = listen_on(impl_->pool.io(0), address);
  if (auto* error = std::get_if<std::string>(&listening)) return *error;
  impl_->acceptor = std::get<std::shared_ptr<Acceptor>>(listening);
  impl_->pool.spawn_on(0, [impl = impl_, first_thread, end_thread] {
    impl->room = impl->pool.condition();
    impl->accept_connections(first_thread, end_thread);
  });
  return {};
}

}  // namespace dunlinwing::net
