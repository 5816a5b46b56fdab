#include "node/listeners.hpp"

#include "node/memory_budget.hpp"

namespace dunlinwing::node {
namespace {
constexpr size_t kBodyBytes = 8U << 20;   // limit for one request, until a configuration sets it
constexpr double kBodiesShare = 1.0 / 4;  // of the machine's memory, for the bodies of all requests
constexpr double kBytesPerMegabyte = 1 << 20;
}  // namespace

Listeners::Listeners(net::EventLoopPool& pool, const Settings& settings, const SocketBudget& sockets,
                     link::Link& link, base::MemoryAccount& memory)
    : pool_(pool), settings_(settings), sockets_(sockets), link_(link), memory_(memory) {}

// By sockets and by memory; 0: no limit.
size_t Listeners::max_client_connections() const {
  const size_t bytes = make_memory_budget(settings_.memory_mb).connections;
  if (bytes == SIZE_MAX) return sockets_.clients;
  const size_t by_memory = std::max<size_t>(1, bytes / net::kConnectionBytes);
  return sockets_.clients == 0 ? by_memory : std::min(sockets_.clients, by_memory);
}

net::HttpLimits Listeners::http_limits(size_t max_connections) const {
  net::HttpLimits limits;
  limits.body_bytes = kBodyBytes;
  if (settings_.memory_mb > 0)
    limits.all_bodies_bytes = static_cast<size_t>(settings_.memory_mb * kBytesPerMegabyte * kBodiesShare);
  limits.max_connections = max_connections;
  return limits;
}

std::optional<std::string> Listeners::start(const ListenerHandlers& handlers) {
  if (auto error =
          net::serve_peers(pool_, settings_.node.peer_address, handlers.peers, sockets_.peers_served, &link_))
    return error;
  if (settings_.client_address.empty()) return {};
  if (auto error = listen_for_control(handlers.control)) return error;
  clients_ = std::make_unique<net::HttpServer>(pool_, "clients", http_limits(max_client_connections()),
                                               handlers.clients,
                                               link::LinkUse{&link_, link::TrafficClass::clients}, memory_);
  return clients_->listen(settings_.client_address, pool_.size() > 1 ? 1 : 0, pool_.size());
}

// The control API runs on thread 0 only.
std::optional<std::string> Listeners::listen_for_control(const net::HttpHandler& handler) {
  control_ = std::make_unique<net::HttpServer>(pool_, "control", http_limits(sockets_.operators), handler,
                                               link::LinkUse{&link_, link::TrafficClass::control}, memory_);
  if (auto error = control_->listen(settings_.control_address, 0, 1)) return error;
  if (settings_.readiness_address.empty()) return {};
  readiness_ = std::make_unique<net::HttpServer>(pool_, "readiness", http_limits(sockets_.readiness), handler,
                                                 link::LinkUse{&link_, link::TrafficClass::control}, memory_);
  return readiness_->listen(settings_.readiness_address, 0, 1);
}

void Listeners::set_client_limits(const config::RoutingConfiguration& configuration) {
  if (!clients_) return;
  net::HttpLimits limits = http_limits(max_client_connections());
  limits.head_bytes = static_cast<size_t>(configuration.head_bytes);
  limits.body_bytes = static_cast<size_t>(configuration.body_bytes);
  limits.head_timeout = configuration.head_timeout;
  limits.idle_timeout = configuration.idle_timeout;
  clients_->set_limits(limits);
}

void Listeners::drain_clients() {
  if (clients_) clients_->drain();
}

void Listeners::close_clients() {
  if (!clients_) return;
  clients_->close();
  clients_->close_idle();
}

}  // namespace dunlinwing::node
