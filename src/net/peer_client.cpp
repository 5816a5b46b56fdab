#include "net/peer_client.hpp"

#include <atomic>

#include "net/peer_connections.hpp"
#include "net/peer_frame.hpp"
#include "net/wait_limit.hpp"

namespace dunlinwing::net {
namespace {
using SteadyClock = std::chrono::steady_clock;

// Unique among all calls of this process, across connections.
uint64_t next_request_id() {
  static std::atomic<uint64_t> last{0};
  return ++last;
}

/// Outcome of a call on one connection.
struct Exchange {
  pb::PeerResponse response;
  ErrorCode error;
  bool sent = false;
  bool answers_other = false;  ///< the response has another call's request id
};

Exchange exchange(Connection& connection, const pb::PeerRequest& request, const WaitLimit& limit) {
  const WaitLimitGuard guard(connection, limit);
  pb::PeerRequest number;
  number.set_request_id(next_request_id());
  Exchange result;
  result.error = write_frame(connection, request, &number);
  result.sent = !result.error;
  if (result.sent) result.error = read_frame(connection, result.response);
  // 0: from an older process, which does not return request ids.
  result.answers_other =
      result.response.request_id() != 0 && result.response.request_id() != number.request_id();
  return result;
}

base::PeerError error_of(const Exchange& exchange, bool timed_out) {
  if (!exchange.error) return base::PeerError::malformed;
  if (exchange.sent && timed_out) return base::PeerError::timed_out;
  if (exchange.error == boost::system::errc::bad_message) return base::PeerError::malformed;
  return base::PeerError::broken;
}
}  // namespace

std::variant<pb::PeerResponse, base::PeerError> PeerClient::call(const std::string& address,
                                                                 const pb::PeerRequest& request,
                                                                 const base::CallRules& rules) {
  const WaitLimit limit{SteadyClock::now() + rules.timeout, rules.cancellation};
  const bool is_traffic = traffic_class_of(request) != link::TrafficClass::control;
  const PeerConnections::LendingTerms terms{max_connections_, is_traffic};
  PeerConnections& connections = peer_connections();
  auto [connection, reused] = connections.acquire(address, limit, terms);
  if (!connection) return base::PeerError::unreachable;
  auto result = exchange(*connection, request, limit);
  const bool bytes_left = !connection->buffered().empty();
  if (!result.error && !result.answers_other && !bytes_left) {
    connections.give_back(address, std::move(connection), terms);
    count(request, result.response);
    return std::move(result.response);
  }
  const bool timed_out = connection->is_interrupted();
  connections.discard(address, connection, terms);
  // The peer may have just evicted the idle connection. Calls may be received twice, except forwarded
  // requests, so all others are retried.
  if (result.error && reused && !timed_out && !bytes_left && !request.has_forward())
    return call(address, request,
                {std::chrono::duration_cast<Duration>(limit.end - SteadyClock::now()), rules.cancellation});
  return error_of(result, timed_out);
}

// The bytes of fetched bodies are counted by the code that waits for link capacity for them.
void PeerClient::count(const pb::PeerRequest& request, const pb::PeerResponse& response) const {
  const link::LinkUse use{link_, traffic_class_of(request)};
  use.count_sent(request.ByteSizeLong());
  if (use.traffic_class == link::TrafficClass::control) use.count_received(response.ByteSizeLong());
}

}  // namespace dunlinwing::net
