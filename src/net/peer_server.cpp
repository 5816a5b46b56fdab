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
constexpr std::chrono::seconds kIdleTimeout(30);  // without a byte from the peer
constexpr std::chrono::seconds kWriteTimeout(5);  // for a response
constexpr Duration kRoomCheck(50);    // how soon it is checked again whether a connection has ended
constexpr Duration kAcceptRetry(50);  // until the next try, when a connection could not be accepted

/// The connections of peers. When more than half of them are open none stays open after its response, and
/// when all are, no more are accepted until one has ended: who waits outside is not turned away.
class PeerServer : public std::enable_shared_from_this<PeerServer> {
 public:
  PeerServer(EventLoopPool& pool, PeerHandler handler, size_t max_connections)
      : pool_(pool), handler_(std::move(handler)), max_connections_(max_connections) {}

  /// Accepts connections for as long as the process runs.
  void accept_connections(Acceptor& acceptor) {
    room_ = pool_.condition();
    for (;;) {
      evict_if_full();
      while (open_ >= max_connections_) room_->wait(kRoomCheck);
      Connection::Socket socket(pool_.io(0));
      const auto [error] = await<>([&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
      if (error) {
        logger.warn("A peer's connection was lost while being accepted: {}.", error.message());
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
    if (serve_call(*connection, [] {}))
      while (serve_next_call(connection)) {
      }
    connection->close();
    --open_;
    room_->notify();
  }

  /// A call on a connection that has carried one before: until its first byte comes it may be evicted.
  bool serve_next_call(const std::shared_ptr<Connection>& connection) {
    const auto place = idle_.insert(idle_.end(), connection);
    bool listed = true;
    const auto unlist = [&] {
      // An evicted connection is off the list already.
      if (std::exchange(listed, false) && !connection->is_interrupted()) idle_.erase(place);
    };
    if (!connection->buffered().empty()) unlist();
    return serve_call(*connection, unlist);
  }

  /// Reads a call and answers it; false when the connection is to end.
  /// @param on_bytes  called when bytes have come, and when none come any more
  bool serve_call(Connection& connection, const std::function<void()>& on_bytes) {
    Timer timeout;
    const auto limit = [&](std::chrono::seconds time) {
      timeout.set(std::chrono::steady_clock::now() + time, [&] { connection.interrupt(); });
    };
    limit(kIdleTimeout);
    pb::PeerRequest request;
    const auto error = read_frame(connection, request, [&] {
      on_bytes();
      limit(kIdleTimeout);
    });
    on_bytes();
    if (error) return false;
    timeout.clear();
    auto response = handler_(request);
    response.set_request_id(request.request_id());
    limit(kWriteTimeout);
    return !write_frame(connection, response) && !is_crowded();
  }

  bool is_crowded() const { return open_ * 2 > max_connections_; }

  void evict_if_full() {
    if (open_ < max_connections_ || idle_.empty()) return;
    idle_.front()->interrupt();
    idle_.pop_front();
  }

  EventLoopPool& pool_;
  PeerHandler handler_;
  size_t max_connections_;
  size_t open_ = 0;
  IdleList idle_;  ///< those that wait for a further call, the one that waits longest first
  std::shared_ptr<base::Condition> room_;  ///< where the accepting fiber waits for a connection to end
};
}  // namespace

std::optional<std::string> serve_peers(EventLoopPool& pool, const std::string& address, PeerHandler handler,
                                       size_t max_connections) {
  if (!split_address(address)) return "the peer address is not IP:port";
  auto listening = listen_on(pool.io(0), address);
  if (auto* error = std::get_if<std::string>(&listening)) return *error;
  auto server = std::make_shared<PeerServer>(pool, std::move(handler), max_connections);
  pool.spawn_on(0, [server, acceptor = std::get<std::shared_ptr<Acceptor>>(listening)] {
    server->accept_connections(*acceptor);
  });
  return {};
}

}  // namespace dunlinwing::net
