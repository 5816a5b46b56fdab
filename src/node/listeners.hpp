/// @file
/// The listening sockets of a process: for peers, for clients, for the control API and for readiness checks.
///
/// Threads: start() before the event loops run; the other functions on the control thread.
#pragma once
#include "net/http_server.hpp"
#include "net/peer_server.hpp"
#include "node/settings.hpp"
#include "node/socket_budget.hpp"

namespace dunlinwing::node {

/// The request handlers. Each request is handled in a fiber of its own.
struct ListenerHandlers {
  net::PeerHandler peers;
  net::HttpHandler clients;
  net::HttpHandler control;  ///< the control API; also answers at the readiness address
};

class Listeners {
 public:
  /// All arguments must outlive the listeners.
  Listeners(net::EventLoopPool& pool, const Settings& settings, const SocketBudget& sockets, link::Link& link,
            base::MemoryAccount& memory);

  /// Listens on all configured addresses.
  /// @return why listening failed; empty on success
  [[nodiscard]] std::optional<std::string> start(const ListenerHandlers& handlers);

  /// Applies the limits of a configuration to client connections.
  void set_client_limits(const config::RoutingConfiguration& configuration);

  bool serves_clients() const { return clients_ != nullptr; }

  /// Client requests that are being read, handled or answered.
  int running_client_requests() const { return clients_ ? clients_->running_requests() : 0; }

  /// Closes each client connection after its next response.
  void drain_clients();

  /// Stops accepting client connections and closes the idle ones.
  void close_clients();

 private:
  std::optional<std::string> listen_for_control(const net::HttpHandler& handler);
  net::HttpLimits http_limits(size_t max_connections) const;
  size_t max_client_connections() const;

  net::EventLoopPool& pool_;
  const Settings& settings_;
  const SocketBudget& sockets_;
  link::Link& link_;
  base::MemoryAccount& memory_;
  std::unique_ptr<net::HttpServer> clients_;    ///< null when no address is configured
  std::unique_ptr<net::HttpServer> control_;    ///< null when no address is configured
  std::unique_ptr<net::HttpServer> readiness_;  ///< null when no address is configured
};

}  // namespace dunlinwing::node
