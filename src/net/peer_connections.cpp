#include "net/peer_connections.hpp"

#include <algorithm>

namespace dunlinwing::net {
namespace {
constexpr std::chrono::seconds kIdleTimeout(20);  // well before the peer closes it
constexpr std::chrono::seconds kPruneEvery(5);
constexpr size_t kMaxIdlePerAddress = 8;
constexpr size_t kLentPerAddressDivisor = 3;  // one address may borrow a third of the connections
constexpr size_t kControlDivisor = 3;         // a third of the connections is reserved for control calls
}  // namespace

PeerConnections& peer_connections() {
  thread_local PeerConnections connections;
  return connections;
}

// Limits forwarded requests, which may all wait for one slow shield, so that control calls such as register
// writes still get connections.
bool PeerConnections::may_lend(const std::string& address, const LendingTerms& terms) {
  if (peers_[address].lent >= std::max<size_t>(1, terms.max_connections / kLentPerAddressDivisor))
    return false;
  const size_t for_traffic =
      std::max<size_t>(1, terms.max_connections - terms.max_connections / kControlDivisor);
  return !terms.for_traffic || lent_for_traffic_ < for_traffic;
}

void PeerConnections::lend(const std::string& address, const LendingTerms& terms) {
  ++peers_[address].lent;
  ++lent_;
  lent_for_traffic_ += terms.for_traffic;
}

size_t PeerConnections::idle_count() const {
  size_t count = 0;
  for (auto& [address, peer] : peers_) count += peer.idle.size();
  return count;
}

std::shared_ptr<Connection> PeerConnections::take_idle(Peer& peer) {
  auto now = Clock::now();
  while (!peer.idle.empty()) {
    auto latest = std::move(peer.idle.back());
    peer.idle.pop_back();
    if (now - latest.since < kIdleTimeout && latest.connection->is_idle_in_kernel()) return latest.connection;
    latest.connection->close();
  }
  return nullptr;
}

PeerConnections::Peer* PeerConnections::longest_idle() {
  Peer* oldest = nullptr;
  for (auto& [address, peer] : peers_)
    if (!peer.idle.empty() && (!oldest || peer.idle.front().since < oldest->idle.front().since))
      oldest = &peer;
  return oldest;
}

// Closes the longest idle connections until a new one may be opened; false when that is not possible.
bool PeerConnections::make_room(size_t max_connections) {
  while (open() >= max_connections) {
    auto* peer = longest_idle();
    if (!peer) return false;
    peer->idle.front().connection->close();
    peer->idle.erase(peer->idle.begin());
  }
  return true;
}

// Waits until a connection may be lent; false when the limit has expired.
bool PeerConnections::await_room(const std::string& address, const WaitLimit& limit,
                                 const LendingTerms& terms) {
  if (limit.is_over()) return false;
  const auto condition = make_condition();
  const base::CancellationSubscription subscription(limit.cancellation, [&] { condition->notify(); });
  const auto waiter = waiters_.insert(waiters_.end(), {address, condition, terms.for_traffic});
  condition->wait(std::chrono::ceil<Duration>(limit.end - Clock::now()));
  waiters_.erase(waiter);
  if (!limit.is_over()) return true;
  wake_next(terms.max_connections);  // this waiter may have been notified, and does not use the connection
  return false;
}

PeerConnections::Lease PeerConnections::acquire(const std::string& address, const WaitLimit& limit,
                                                const LendingTerms& terms) {
  prune(Clock::now());
  for (;;) {
    if (may_lend(address, terms)) {
      if (auto connection = take_idle(peers_[address])) {
        lend(address, terms);
        return {connection, true};
      }
      if (make_room(terms.max_connections)) break;
    }
    if (!await_room(address, limit, terms)) return {};
  }
  lend(address, terms);
  auto connection = Connection::connect(address, limit);
  if (!connection) release_lent(address, terms);
  return {connection, false};
}

void PeerConnections::give_back(const std::string& address, std::shared_ptr<Connection> connection,
                                const LendingTerms& terms) {
  connection->start_read();  // so that its end is noticed
  auto& idle = peers_[address].idle;
  idle.push_back({std::move(connection), Clock::now()});
  if (idle.size() > kMaxIdlePerAddress) {
    idle.front().connection->close();
    idle.erase(idle.begin());
  }
  release_lent(address, terms);
}

void PeerConnections::discard(const std::string& address, const std::shared_ptr<Connection>& connection,
                              const LendingTerms& terms) {
  connection->reset();
  release_lent(address, terms);
}

void PeerConnections::release_lent(const std::string& address, const LendingTerms& terms) {
  --peers_[address].lent;
  --lent_;
  lent_for_traffic_ -= terms.for_traffic;
  wake_next(terms.max_connections);
}

void PeerConnections::wake_next(size_t max_connections) {
  for (auto& waiter : waiters_) {
    if (waiter.woken || !may_lend(waiter.address, {max_connections, waiter.for_traffic})) continue;
    waiter.woken = true;
    return waiter.condition->notify();
  }
}

void PeerConnections::prune(Clock::time_point now) {
  if (now - pruned_ < kPruneEvery) return;
  pruned_ = now;
  for (auto it = peers_.begin(); it != peers_.end();) {
    auto& peer = it->second;
    std::erase_if(peer.idle, [&](Idle& idle) {
      bool unfit = now - idle.since >= kIdleTimeout || !idle.connection->is_idle();
      if (unfit) idle.connection->close();
      return unfit;
    });
    it = peer.idle.empty() && peer.lent == 0 ? peers_.erase(it) : std::next(it);
  }
}

}  // namespace dunlinwing::net
