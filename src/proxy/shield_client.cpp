#include "proxy/shield_client.hpp"

#include <algorithm>

namespace dunlinwing::proxy {
namespace {
constexpr size_t kMaxShields = 2;  // per request, one after the other
// A shield gets 1/2 of the remaining time; the rest is for the next shield or a fetch by this node.
constexpr int kShieldTimeoutDivisor = 2;
// The timeout of a shield is limited to this multiple of the latency target, but not below kMinShieldTimeout,
// so that the response of the next shield can still be useful.
constexpr int kShieldTargetMultiple = 3;
constexpr Duration kMinShieldTimeout{500};
// The part of the timeout that is sent to the shield as the remaining time: the shield must report the
// outcome before this node stops waiting.
constexpr double kForwardedTimeFraction = 0.9;
// From so many attempts on, one is kept for the case that the shield is lost with all that it was given.
constexpr int kAttemptsWithReserve = 3;
// The link capacity reserved for a response without its body: its head, or a 304.
constexpr size_t kHeadBytes = 1 << 10;
constexpr int kOk = 200;
constexpr int kNotModified = 304;

// The timeout of a call to a shield.
Duration shield_timeout(const RequestContext& context, TimePoint now) {
  const Duration longest = (context.deadline - now) / kShieldTimeoutDivisor;
  const Duration target = context.route->latency_target;
  if (target <= Duration(0)) return longest;
  return std::min(longest, std::max(target * kShieldTargetMultiple, kMinShieldTimeout));
}

int attempts_for_shield(const RequestContext& context) {
  const int left = context.attempts_left();
  return left >= kAttemptsWithReserve ? left - 1 : left;
}

// The attempts that a shield has used. One that doesn't know the outcome may have used all, and so may a
// process that does not report them.
int used_attempts(const pb::ForwardResponse& response, int granted) {
  if (response.outcome_unknown() && response.attempts() == 0) return granted;
  return static_cast<int>(std::min(response.attempts(), static_cast<uint32_t>(granted)));
}

pb::PeerRequest forward_request(const RequestContext& context, uint64_t known_purge_number,
                                Duration remaining) {
  pb::PeerRequest request;
  auto* forward = request.mutable_forward();
  forward->set_id(context.request->id);
  forward->set_configuration(context.configuration->name);
  forward->set_service(context.service->name);
  forward->set_target(context.request->target);
  forward->set_remaining_ms(static_cast<uint32_t>(std::max<int64_t>(0, remaining.count())));
  forward->set_known_purge_number(known_purge_number);
  forward->set_entry_node(context.entry_node);
  forward->set_generation(context.generation);
  forward->set_is_retry(context.is_retry);
  forward->set_attempts_left(static_cast<uint32_t>(attempts_for_shield(context)));
  for (const auto& [name, value] : context.request->headers) {
    auto* header = forward->add_headers();
    header->set_name(name);
    header->set_value(value);
  }
  return request;
}

base::Headers headers_of(const pb::ForwardResponse& forwarded) {
  base::Headers headers;
  for (const auto& header : forwarded.headers()) headers.emplace_back(header.name(), header.value());
  return headers;
}
}  // namespace

/// One fetch from one shield.
class ShieldClient::Fetch {
 public:
  Fetch(ShieldClient& client, RequestContext& context, const Shield& shield,
        const cache::CachedResponsePtr& stored)
      : client_(client),
        context_(context),
        shield_(shield),
        stored_(client.rules_.can_be_revalidated(stored, context) ? stored : nullptr),
        inbound_(client.node_.ports.link ? &client.node_.ports.link->inbound : nullptr) {}

  /// Returns nothing when the next shield or a backend instance must be tried.
  std::optional<FetchResult> run() {
    const auto entry = client_.rules_.begin_entry(context_);
    const size_t first_bytes = first_part_bytes();
    if (!acquire(first_bytes, first_bytes, context_.start_deadline())) return rejected_for_link(first_bytes);
    auto response = call(entry->purge_number, first_bytes);
    refund(first_bytes, response ? response->ByteSizeLong() : 0);
    if (!response) return failure_;
    if (!response->not_executed() && !response->outcome_unknown()) {
      if (!reserve_body(*response)) {
        context_.is_retry = true;  // the shield may have had it executed
        return rejected(RejectionReason::memory_short, Duration(0));
      }
      if (!read_rest(*response)) return failure_;
      if (auto result = accept(*response, entry)) return result;
    }
    // The shield rejects on behalf of the origin, so the request must not bypass it.
    if (response->rejected())
      return rejected(RejectionReason::shield_rejected,
                      Duration(static_cast<int64_t>(response->retry_after_ms())));
    context_.is_retry |= !response->not_executed() || response->attempts() > 0;
    return {};
  }

 private:
  TimePoint now() const { return client_.node_.ports.clock.now(); }

  size_t first_part_bytes() const {
    if (stored_) return kHeadBytes;
    return inbound_ ? inbound_->part_bytes() / 2 : 0;
  }

  bool acquire(size_t bytes, size_t remaining, TimePoint end) {
    if (!inbound_) return true;
    const link::Transfer transfer{link::TrafficClass::fetches, began_, remaining};
    return inbound_->acquire(transfer, bytes, end - now(), context_.request->cancellation);
  }

  void refund(size_t acquired, size_t used) {
    if (!inbound_) return;
    if (used < acquired)
      inbound_->refund(link::TrafficClass::fetches, acquired - used);
    else
      inbound_->charge(link::TrafficClass::fetches, used - acquired);
  }

  FetchResult rejected_for_link(size_t bytes) const {
    if (context_.client_has_disconnected()) return {client_.outcomes_.abandoned(), nullptr};
    return rejected(RejectionReason::link_saturated, inbound_->expected_time(bytes));
  }

  // The shield's response; nothing when there is none, with `failure_` set if the client has disconnected.
  std::optional<pb::ForwardResponse> call(uint64_t known_purge_number, size_t first_bytes) {
    const TimePoint sent_at = now();
    const Duration limit = shield_timeout(context_, sent_at);
    const Duration remaining(
        static_cast<int64_t>(static_cast<double>(limit.count()) * kForwardedTimeFraction));
    auto request = forward_request(context_, known_purge_number, remaining);
    request.mutable_forward()->set_max_body_bytes(first_bytes);
    if (stored_) {
      auto* condition = request.mutable_forward()->add_headers();
      condition->set_name("If-None-Match");
      condition->set_value(base::header(stored_->response.headers, "ETag"));
    }
    ++client_.counters_.forwarded;
    const int granted = attempts_for_shield(context_);
    auto reply =
        client_.node_.ports.peers.call(shield_.address, request, {limit, context_.request->cancellation});
    const auto* error = std::get_if<base::PeerError>(&reply);
    const bool reached = !error || *error != base::PeerError::unreachable;
    if (reached && !context_.is_retry) client_.upstream_client_.record_forwarded(context_.service->name);
    record_call(error, sent_at);
    auto* response = std::get_if<pb::PeerResponse>(&reply);
    if (response && response->has_forward()) {
      context_.attempts->sent += used_attempts(response->forward(), granted);
      return std::move(*response->mutable_forward());
    }
    if (!reached) return {};
    context_.is_retry = true;
    context_.attempts->sent += granted;
    return {};
  }

  // Records whether a call succeeded. A failed call backs the shield off, or, if the client has disconnected,
  // sets `failure_`.
  void record_call(const base::PeerError* error, TimePoint sent_at) {
    if (!error) return client_.shields_.record_response(shield_.address);
    if (context_.client_has_disconnected())
      failure_ = FetchResult{client_.outcomes_.abandoned(), nullptr};
    else
      client_.shields_.record_failure(shield_.address, sent_at);
  }

  // Reserves memory for the body; of a longer one the response has the first part only.
  bool reserve_body(const pb::ForwardResponse& response) {
    return memory_.grow_to(
        std::max<size_t>(response.body().size(), response.transfer() ? response.body_bytes() : 0));
  }

  // Reads the rest of the body; false when the transfer has ended at the shield or the deadline has passed.
  bool read_rest(pb::ForwardResponse& response) {
    if (!response.transfer()) return true;
    std::string& body = *response.mutable_body();
    const size_t size = response.body_bytes();
    body.reserve(size);
    while (body.size() < size)
      if (!read_part(response.transfer(), size, body)) return context_.is_retry = true, false;
    return true;
  }

  bool read_part(uint64_t transfer, size_t size, std::string& body) {
    const size_t bytes = std::min(size - body.size(), inbound_ ? inbound_->part_bytes() : size);
    if (!acquire(bytes, size - body.size(), context_.deadline)) {
      // Another path would use the same saturated link.
      context_.is_retry = true;
      failure_ = rejected_for_link(bytes);
      return false;
    }
    pb::PeerRequest request;
    auto& read = *request.mutable_read_body();
    read.set_transfer(transfer);
    read.set_offset(body.size());
    read.set_bytes(bytes);
    const TimePoint sent_at = now();
    auto reply = client_.node_.ports.peers.call(
        shield_.address, request, {shield_timeout(context_, sent_at), context_.request->cancellation});
    record_call(std::get_if<base::PeerError>(&reply), sent_at);
    const auto* response = std::get_if<pb::PeerResponse>(&reply);
    const bool is_part =
        response && response->has_body_part() && response->body_part().data().size() == bytes;
    if (!is_part) {
      refund(bytes, 0);
      return false;
    }
    body += response->body_part().data();
    return true;
  }

  // Returns nothing when the response may not be used: the shield may have sent a cached response, and this
  // node may have been suspended since it sent the request.
  std::optional<FetchResult> accept(pb::ForwardResponse& forwarded,
                                    const std::shared_ptr<cache::CachedResponse>& entry) {
    entry->response = {static_cast<int>(forwarded.status()), headers_of(forwarded),
                       base::Body(std::move(*forwarded.mutable_body()), std::move(memory_))};
    entry->generated_at -= Duration(static_cast<int64_t>(forwarded.age_ms()));
    entry->lifetime = Duration(static_cast<int64_t>(forwarded.lifetime_ms()));
    entry->purge_number = min_purge_number(entry->purge_number, forwarded.purge_number());
    entry->version = forwarded.version();
    if (entry->response.status == kNotModified && !restore_held(forwarded, *entry)) return {};
    entry->tags = sorted_tags(client_.node_.adapter, entry->response);
    if (forwarded.cacheable()) {
      if (!client_.rules_.is_usable(entry, context_, now())) return {};
      return FetchResult{{}, entry};
    }
    if (!client_.node_.has_read_lease() || client_.rules_.is_purged(*entry, context_)) return {};
    return FetchResult{{std::move(entry->response)}, nullptr};
  }

  // Adds the cached body to a 304 response that revalidates it; false when the 304 may not be used.
  bool restore_held(const pb::ForwardResponse& forwarded, cache::CachedResponse& entry) const {
    if (!stored_ || !revalidates(entry.response, stored_->response) || !forwarded.cacheable() ||
        forwarded.body_bytes() != stored_->response.body.size())
      return false;
    ++client_.counters_.confirmed;
    entry.response.status = kOk;
    entry.response.body = stored_->response.body;
    return true;
  }

  FetchResult rejected(RejectionReason reason, Duration retry_after) const {
    auto outcome = client_.outcomes_.rejected(503, reason, retry_after);
    // Another shield may have had the request executed, so "not executed" must not be reported.
    if (context_.is_retry) outcome.execution_state = ExecutionState::possibly_executed;
    return {std::move(outcome), nullptr};
  }

  ShieldClient& client_;
  RequestContext& context_;
  const Shield& shield_;
  const cache::CachedResponsePtr stored_;  // null: the complete body is requested
  link::Pacer* const inbound_;             // null: the link's rate is unknown
  const TimePoint began_ = now();
  base::MemoryReservation memory_{client_.node_.ports.memory, base::MemoryUse::bulk};  // for the body
  std::optional<FetchResult>
      failure_;  // the request's final result if the fetch fails; nothing: another path is tried
};

ShieldClient::ShieldClient(NodeContext node, UpstreamClient& upstream_client, RequestCounters& counters)
    : node_(std::move(node)),
      rules_(node_),
      outcomes_{node_.ports, node_.adapter},
      upstream_client_(upstream_client),
      counters_(counters),
      shields_(node_.ports.clock, node_.node_name) {}

// A fetch in place of a failed shield does not count as this node's demand: it must not change this node's
// share of the origin's capacity.
std::optional<FetchResult> ShieldClient::fetch(RequestContext& context, const std::string& key,
                                               const cache::CachedResponsePtr& stored) {
  std::vector<std::string> tried;
  while (tried.size() < kMaxShields && context.attempts_left() > 0) {
    const auto shield = shields_.select(*node_.snapshot(), key, tried);
    if (!shield) return {};
    if (auto result = Fetch(*this, context, *shield, stored).run()) return result;
    tried.push_back(shield->name);
    context.counts_as_demand = false;
  }
  return {};
}

}  // namespace dunlinwing::proxy
