/// @file
/// How requests and responses are written for clients and backend instances: how a request names itself and
/// its remaining time, what an attempt has to carry, what a response says, and how a client is told that a
/// request was not executed or that nobody knows. One implementation is chosen at start.
///
/// Invariants: an adapter only translates. It holds no state and decides nothing.
/// Threads: every function may be called from any thread at once.
#pragma once
#include "base/ports.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

/// What a backend instance's response says of the request.
enum class ResponseClass {
  good,            ///< the instance's own whole response
  failed,          ///< the same, with a status of failure
  not_executed,    ///< the instance says that it did not execute the request
  wrong_instance,  ///< another instance than the one meant says so
  invalid,         ///< not the meant instance's whole response: it may have executed the request
};

/// What a client is told of its request by a response of this node's own.
enum class ExecutionStatus {
  none,          ///< the response is a backend instance's
  not_executed,  ///< no instance executed it
  unknown,       ///< an instance may have executed it
};

/// What a client's request says of itself.
struct RequestIdentity {
  std::string id;                     ///< by which backend instance and client know the request
  std::optional<Duration> remaining;  ///< that the client will wait, when it says so
};

/// The load that a backend instance reports, in requests.
struct BackendLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;  ///< that run at once; 0: not reported
};

/// What an attempt tells the backend instance. Refers to the instance.
struct AttemptContext {
  const membership::BackendInstance& instance;  ///< for which the attempt is meant
  std::string entry_node;                       ///< the node at which the request entered
  uint64_t generation = 0;                      ///< of the assignment there
  Duration remaining{0};                        ///< until the request's deadline
};

class ProtocolAdapter {
 public:
  virtual ~ProtocolAdapter() = default;

  /// Reads what a client's request says of itself.
  /// @param random  for an id, when the request names none
  virtual RequestIdentity read_identity(const base::Request& request, base::Random& random) const = 0;

  /// Makes a client's request one that may be sent to a backend instance.
  /// @param request  with its id; its headers are changed
  virtual void prepare_request(base::Request& request, const AttemptContext& attempt) const = 0;

  /// Says what a response is.
  /// @param instance  for which the attempt was meant
  /// @param request   as it was sent
  virtual ResponseClass classify(const base::Response& response, const membership::BackendInstance& instance,
                                 const base::Request& request) const = 0;

  /// Whether the response belongs to the request of this id, rather than to an earlier one on the
  /// same connection.
  virtual bool is_response_to(const base::Response& response, const std::string& id) const = 0;

  /// Whether the response names no request at all.
  virtual bool names_no_request(const base::Response& response) const = 0;

  /// @return nothing when the response reports no load
  virtual std::optional<BackendLoad> reported_load(const base::Response& response) const = 0;

  /// The tags by which the response may be purged from the cache.
  virtual std::vector<std::string> cache_tags(const base::Response& response) const = 0;

  /// Removes what a backend instance told this node alone.
  virtual void strip_internal_headers(base::Response& response) const = 0;

  /// Makes a response of this node's own.
  /// @param status       of HTTP
  /// @param reason       in words, for people
  /// @param execution    what the client is told of its request
  /// @param retry_after  when it makes sense to send the request again; nothing: it does not
  virtual base::Response local_response(int status, const std::string& reason, ExecutionStatus execution,
                                        std::optional<Duration> retry_after) const = 0;

  /// Completes any response before it goes to the client.
  /// @param id          of the client's request
  /// @param generation  of the assignment that decided the response; 0: none did
  virtual void finish_response(base::Response& response, const std::string& id,
                               uint64_t generation) const = 0;
};

/// The product's own protocol: headers that begin with Dunlinwing-.
std::unique_ptr<ProtocolAdapter> native_protocol_adapter();

/// Whether a response is a part of a representation (206) or a confirmation without a body (304) though the
/// request asked for neither: it does not stand for the whole.
bool is_unrequested_partial(const base::Request& request, const base::Response& response);

/// Removes the headers that belong to one connection only, by name or by being named in Connection.
void strip_hop_by_hop(base::Headers& headers);

}  // namespace dunlinwing::proxy
