/// @file
/// What a client's request came to, and how it becomes a response, on any way.
///
/// Threads: every function may be called from any fiber.
#pragma once
#include <atomic>

#include "cache/cache.hpp"
#include "proxy/upstream_client.hpp"

namespace dunlinwing::proxy {

/// Counts of client requests, since the start of the process.
struct RequestCounters {
  std::atomic<uint64_t> requests{0};       ///< answered under some configuration
  std::atomic<uint64_t> failures{0};       ///< of these, with a response that counts as a failure
  std::atomic<uint64_t> rejected{0};       ///< not executed, and the client was told so
  std::atomic<uint64_t> unknown{0};        ///< possibly executed, and the client was told so
  std::atomic<uint64_t> cache_hits{0};     ///< answered from the cache or by another request's fetch
  std::atomic<uint64_t> cache_fetches{0};  ///< fetches for the cache
  std::atomic<uint64_t> forwarded{0};      ///< of these, sent to a shield
  std::atomic<uint64_t> confirmed{0};      ///< fetches that found the held body to be the current one
  std::atomic<uint64_t> abandoned{0};      ///< whose clients left before their response
};

/// What a request came to under one configuration.
struct RequestOutcome {
  base::Response response;
  ExecutionStatus execution_status = ExecutionStatus::none;  ///< what the client is told
  /// How far attempts got that did not settle the request; not_sent when one did, by its response.
  ExecutionState execution_state = ExecutionState::not_sent;
  bool superseded = false;  ///< the request is to be routed anew; the response does not count
  bool abandoned = false;   ///< the client has left; the response is for nobody
  Duration retry_after{0};  ///< when it makes sense to send a rejected request again
  RejectionReason reason = RejectionReason::none;  ///< why it was rejected, or its outcome is unknown
  cache::CachedResponsePtr cached;  ///< of which the response was made; null: of none that may be shared
};

/// Makes outcomes with responses of this node's own.
struct OutcomeBuilder {
  base::Ports& ports;
  const ProtocolAdapter& adapter;

  /// Not executed.
  /// @param status       of HTTP; 503 and 429 tell the client when to retry, spread over a while so that
  ///                     a crowd does not come back at once
  /// @param retry_after  the earliest
  RequestOutcome rejected(int status, RejectionReason reason, Duration retry_after = Duration(0)) const;

  /// The client has left. Possibly executed.
  RequestOutcome abandoned() const;

  /// Possibly executed.
  RequestOutcome unknown(RejectionReason reason) const;

  RequestOutcome from(UpstreamResult&& result) const;
};

}  // namespace dunlinwing::proxy
