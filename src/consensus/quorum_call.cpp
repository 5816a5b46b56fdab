#include "consensus/quorum_call.hpp"

namespace dunlinwing::consensus {
namespace {

/// Shared by the caller and the fibers of its requests, so that a response that arrives after the call has
/// returned can still be stored.
struct Call {
  PeerResponses responses;
  size_t pending = 0;  ///< requests that have neither completed nor failed
  std::shared_ptr<base::Condition> condition;
};

// Sends one request in a separate fiber.
void send(base::Ports& ports, const std::shared_ptr<Call>& call, size_t index,
          std::function<std::optional<pb::PeerResponse>()> request) {
  ports.tasks.spawn([call, index, request = std::move(request)] {
    call->responses[index] = request();
    --call->pending;
    call->condition->notify();
  });
}

std::optional<pb::PeerResponse> call_peer(base::PeerTransport& peers, const std::string& address,
                                          const pb::PeerRequest& request, Duration timeout) {
  auto result = peers.call(address, request, timeout);
  if (auto* response = std::get_if<pb::PeerResponse>(&result)) return std::move(*response);
  return {};
}

}  // namespace

PeerResponses call_replicas(base::Ports& ports, const std::vector<Replica>& replicas,
                            const RequestFactory& make_request, const CallTimeouts& timeouts,
                            const StopCondition& enough, const LocalMember& local) {
  auto call = std::make_shared<Call>();
  call->responses.resize(replicas.size());
  call->pending = replicas.size();
  call->condition = ports.tasks.condition();
  const auto end = ports.clock.now() + timeouts.call;
  for (size_t i = 0; i < replicas.size(); ++i) {
    auto request = make_request(i);
    const Duration timeout = timeouts.request ? timeouts.request(i) : timeouts.call;
    if (local.handle && replicas[i].name == local.node_name)
      send(ports, call, i, [handle = local.handle, request = std::move(request)] { return handle(request); });
    else
      send(ports, call, i,
           [&peers = ports.peers, address = replicas[i].address, request = std::move(request), timeout] {
             return call_peer(peers, address, request, timeout);
           });
  }
  while (call->pending > 0 && !enough(call->responses)) {
    const auto now = ports.clock.now();
    if (now >= end) break;
    call->condition->wait(end - now);
  }
  return call->responses;
}

}  // namespace dunlinwing::consensus
