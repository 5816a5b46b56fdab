#include "control_api/write_forwarder.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("orders");
constexpr int kMaxSilentCalls = 2;  // a third candidate would get too little time
constexpr Duration kFirstPause{
    50};  // before all candidates are tried again; doubled each time, up to the next
constexpr Duration kLongestPause{100};
constexpr Duration kShortestCall{200};
constexpr int kUnavailable = 503;

/// The part of the time left that a call may take: half of it, if the rest is enough for another candidate.
Duration call_limit(Duration left, int silent_calls) {
  const bool leaves_time = silent_calls + 1 < kMaxSilentCalls && left / 2 >= kShortestCall;
  return leaves_time ? left / 2 : left;
}

pb::PeerRequest message_of(const ApiRequest& request, Duration limit) {
  pb::PeerRequest message;
  auto& write = *message.mutable_write();
  write.set_method(request.http.method);
  write.set_target(request.http.target);
  write.set_body(request.http.body);
  write.set_remaining_ms(static_cast<uint32_t>(limit.count()));
  for (const auto& [name, value] : request.http.headers) {
    auto* header = write.add_headers();
    header->set_name(name);
    header->set_value(value);
  }
  return message;
}

template <class Message>
base::Headers headers_of(const Message& message) {
  base::Headers headers;
  for (const auto& header : message.headers()) headers.emplace_back(header.name(), header.value());
  return headers;
}

/// All writes of one register have the same collection in their paths (/v1/COLLECTION/...), except those of
/// services, which two collections change.
std::string resource_of(const ApiRequest& request) {
  const auto& collection = request.path[1];
  return collection == "moves" ? "services" : collection;
}
}  // namespace

WriteForwarder::WriteForwarder(base::Ports& ports, node::Node& node, Execute execute, Execute validate)
    : ports_(ports),
      node_(node),
      execute_(std::move(execute)),
      validate_(std::move(validate)),
      selector_(node.config().bound) {}

std::vector<consensus::Replica> WriteForwarder::candidates(const ApiRequest& request) const {
  return selector_.candidates(node_.registers().replica_set().current(), node_.state_cache().statuses(),
                              resource_of(request), ports_.clock.now());
}

base::Response WriteForwarder::forward(const ApiRequest& request, ForwardTrace& trace) {
  FailedCalls failed;
  for (Duration pause = kFirstPause;; pause = std::min(pause * 2, kLongestPause)) {
    failed.unavailable = 0;
    if (auto response = try_candidates(request, failed, trace)) return *response;
    trace.coordinator.clear();
    auto response = validate_(request);
    const bool may_retry =
        response.status == kUnavailable && failed.silent < kMaxSilentCalls && failed.unavailable > 0;
    if (!may_retry || ports_.clock.now() + pause >= request.deadline) return response;
    ports_.clock.sleep(pause);
  }
}

std::optional<base::Response> WriteForwarder::try_candidates(const ApiRequest& request, FailedCalls& failed,
                                                             ForwardTrace& trace) {
  for (const auto& replica : candidates(request)) {
    if (failed.silent == kMaxSilentCalls || ports_.clock.now() >= request.deadline) break;
    trace.coordinator = replica.name;
    if (replica.name == node_.config().name) {
      if (node_.state_cache().has_read_lease()) return execute_(request);
      ++failed.unavailable;
      continue;
    }
    ++trace.calls;
    auto result = call(replica, request, call_limit(request.deadline - ports_.clock.now(), failed.silent));
    if (result.unsupported) return execute_(request);
    if (result.response) return result.response;
    failed.silent += result.silent;
    failed.unavailable += result.unavailable;
  }
  return {};
}

WriteForwarder::CallResult WriteForwarder::call(const consensus::Replica& replica, const ApiRequest& request,
                                                Duration limit) {
  const auto result = ports_.peers.call(replica.address, message_of(request, limit), limit);
  const auto* message = as<pb::PeerResponse>(result);
  if (message && !message->has_write()) return {{}, true};
  if (!message || message->write().unavailable()) {
    logger.info("{}: {} did not coordinate {} {}.", node_.config().name, replica.name, request.http.method,
                request.http.target);
    selector_.record_failure(replica.name, ports_.clock.now());
    const auto* error = as<base::PeerError>(result);
    return {{}, false, error && *error != base::PeerError::unreachable, message != nullptr};
  }
  const auto& write = message->write();
  if (write.status() == kUnavailable)
    selector_.record_failure(replica.name, ports_.clock.now());
  else
    selector_.record_success(replica.name);
  return {base::Response{static_cast<int>(write.status()), headers_of(write), write.body()}};
}

pb::ForwardedWriteResponse WriteForwarder::handle(const pb::ForwardedWrite& forwarded) {
  pb::ForwardedWriteResponse message;
  if (!node_.state_cache().has_read_lease()) {
    message.set_unavailable(true);
    return message;
  }
  const base::Request http{"", forwarded.method(), forwarded.target(), forwarded.body(),
                           headers_of(forwarded)};
  auto request = parse_request(http);
  request.deadline = ports_.clock.now() + Duration(forwarded.remaining_ms());
  const auto response = execute_(request);
  message.set_status(static_cast<uint32_t>(response.status));
  message.set_body(response.body);
  for (const auto& [name, value] : response.headers) {
    auto* header = message.add_headers();
    header->set_name(name);
    header->set_value(value);
  }
  return message;
}

}  // namespace dunlinwing::control_api
