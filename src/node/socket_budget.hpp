/// @file
/// Divides the descriptors that a process may use for sockets, so that client traffic never takes those that
/// control needs: a replica without free descriptors can't answer any node.
#pragma once
#include <algorithm>
#include <cstddef>

namespace dunlinwing::node {

/// Limits on concurrent connections, by kind.
struct SocketBudget {
  size_t clients = 0;          ///< 0: unlimited
  size_t upstream_idle = 512;  ///< idle ones to backend instances; a client request may use one more
  size_t operators = 0;        ///< to the control API; 0: unlimited
  size_t readiness = 0;        ///< 0: unlimited
  size_t peers_served = 4096;  ///< from other nodes
  size_t peers_called = 4096;  ///< to other nodes
};

/// @param sockets         that the process may have open; 0: not configured
/// @param may_be_replica  a process with a disk may be a replica, which every node calls several times a
/// second
inline SocketBudget make_socket_budget(int sockets, bool may_be_replica) {
  if (sockets <= 0) return {};
  constexpr size_t kListening = 4;       // a socket for each address listened on
  constexpr size_t kMinConnections = 3;  // minimum number of connections of each kind
  const auto all = static_cast<size_t>(sockets);
  SocketBudget budget;
  budget.operators = budget.readiness = std::max(kMinConnections, all / 16);
  budget.peers_served = std::max(kMinConnections, all / (may_be_replica ? 4 : 10));
  // For pulls, and for requests that are forwarded to a shield.
  budget.peers_called = std::max(kMinConnections, all / (may_be_replica ? 8 : 6));
  const size_t control =
      kListening + budget.operators + budget.readiness + budget.peers_served + budget.peers_called;
  const size_t traffic = all > control ? all - control : 0;
  // Each client request may use a connection to a backend instance in addition to its own.
  budget.upstream_idle = std::max<size_t>(1, traffic / 8);
  budget.clients = std::max<size_t>(kMinConnections, (traffic - std::min(traffic, budget.upstream_idle)) / 2);
  return budget;
}

}  // namespace dunlinwing::node
