#include "net/peer_server.hpp"

#include <list>

#include "base/log.hpp"
#include "net/address.hpp"
#include "net/connection.hpp"
#include "net/listen.hpp"
#include "net/peer_frame.hpp"

namespace dunlinwing::net {
namespace {
constexpr base::Log logger("peer");
constexpr Duration kIdleTimeout(30000);   // without a byte from the peer
constexpr Duration kWriteTimeout(5000);   // for a response
constexpr Duration kRoomCheckPeriod(50);  // how soon it is checked again whether a connection has ended
constexpr Duration kAcceptRetry(50);      // before accepting again after a failed accept

/// The connections from peers. Above half of the limit, connections are closed after their response. At the
/// limit no more are accepted until one has ended; new ones wait in the backlog and are not rejected.
class PeerServer : public std::enable_shared_from_this<PeerServer> {
 public:
  PeerServer(EventLoopPool& pool, PeerHandler handler, size_t max_connections, link::Link* link)
      : pool_(pool), handler_(std::move(handler)), max_connections_(max_connections), link_(link) {}

  /// Accepts connections for as long as the process runs.
  void accept_connections(Acceptor& acceptor) {
    room_ = pool_.condition();
    for (;;) {
      wait_for_room();
      Connection::Socket socket(pool_.io(0));
      const auto [error] = await<>([&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
      if (error) {
        logger.warn("Accepting a connection from a peer failed: {}.", error.message());
        SystemClock().sleep(kAcceptRetry);
        continue;
      }
      configure_socket(socket);
      ++open_;
      pool_.spawn([self = shared_from_this(), connection = std::make_shared<Connection>(std::move(socket))] {
        self->serve(connection);
      });
    }
  }

 private:
  using IdleList = std::list<std::shared_ptr<Connection>>;

  void serve(const std::shared_ptr<Connection>& connection) {
    bool keep_open = serve_call(*connection);
    while (keep_open && !is_crowded()) {
      const MessageWait wait = await_next_call(connection);
      keep_open = wait != MessageWait::ended && serve_call(*connection) && wait == MessageWait::received;
    }
    connection->close();
    --open_;
    room_->notify();
  }

  /// Waits for the first bytes of the next call. Until they arrive the connection may be evicted.
  MessageWait await_next_call(const std::shared_ptr<Connection>& connection) {
    if (!connection->buffered().empty()) return MessageWait::received;
    Timer timeout;
    interrupt_after(timeout, kIdleTimeout, *connection);
    const auto place = idle_.insert(idle_.end(), connection);
    const MessageWait wait = connection->await_message();
    idle_.erase(place);
    return wait;
  }

  /// Reads a call and answers it; false when the connection must end.
  bool serve_call(Connection& connection) {
    Timer timeout;
    interrupt_after(timeout, kIdleTimeout, connection);
    pb::PeerRequest request;
    if (read_frame(connection, request, [&] { interrupt_after(timeout, kIdleTimeout, connection); }))
      return false;
    timeout.clear();
    connection.clear_interrupt();  // the call was complete as its time ended, so it is handled and answered
    auto response = handle(connection, request);
    response.set_request_id(request.request_id());
    if (!await_link(request, response)) return false;
    interrupt_after(timeout, kWriteTimeout, connection);
    return !write_frame(connection, response);
  }

  /// Accounts for a call on the link. A response to a fetch waits until the link has capacity for it.
  bool await_link(const pb::PeerRequest& request, const pb::PeerResponse& response) {
    const link::LinkUse use{link_, traffic_class_of(request)};
    use.count_received(request.ByteSizeLong());
    const size_t bytes = response.ByteSizeLong();
    if (use.traffic_class == link::TrafficClass::fetches)
      return use.await_outbound(bytes, SystemClock().now(), bytes, kWriteTimeout);
    use.count_sent(bytes);
    return true;
  }

  /// The caller sends no bytes between its call and the response, so only the connection's end is read.
  pb::PeerResponse handle(Connection& connection, const pb::PeerRequest& request) {
    base::CancellationPtr
        caller_disconnected;  // null for control calls: they are short and are not cancelled
    if (request.has_forward()) {
      caller_disconnected = std::make_shared<base::Cancellation>();
      connection.on_read_done([&connection, caller_disconnected] {
        if (connection.has_ended()) caller_disconnected->cancel();
      });
      connection.start_read();
    }
    auto response = handler_(request, caller_disconnected);
    connection.on_read_done(nullptr);
    return response;
  }

  static void interrupt_after(Timer& timer, Duration time, Connection& connection) {
    timer.set(std::chrono::steady_clock::now() + time, [&connection] { connection.interrupt(); });
  }

  bool is_crowded() const { return open_ * 2 > max_connections_; }

  void wait_for_room() {
    while (open_ >= max_connections_) {
      evict();
      room_->wait(kRoomCheckPeriod);
    }
  }

  /// Ends the connection that has waited longest for its next call, if any is idle.
  void evict() {
    for (const auto& connection : idle_)
      if (connection->is_idle_in_kernel()) return connection->interrupt();
  }

  EventLoopPool& pool_;
  PeerHandler handler_;
  size_t max_connections_;
  link::Link* link_;  ///< null: traffic is not paced
  size_t open_ = 0;
  IdleList idle_;                          ///< those that wait for their next call, longest waiting first
  std::shared_ptr<base::Condition> room_;  ///< where the accepting fiber waits for a connection to end
};
}  // namespace

std::optional<std::string> serve_peers(EventLoopPool& pool, const std::string& address, PeerHandler handler,
                                       size_t max_connections, link::Link* link) {
  if (!parse_address(address)) return "the peer address is not IP:port";
  auto listening = listen_on(pool.io(0), address);
  if (auto* error = std::get_if<std::string>(&listening)) return *error;
  auto server = std::make_shared<PeerServer>(pool, std::move(handler), max_connections, link);
  pool.spawn_on(0, [server, acceptor = std::get<std::shared_ptr<Acceptor>>(listening)] {
    server->accept_connections(*acceptor);
  });
  return {};
}

}  // namespace dunlinwing::net
