/// @file
/// Sends one request to a backend instance: admission, retry budget, rate limit, choice of the instance, the
/// attempt, and the checks on its response. Reports whether the request may have been executed.
///
/// Invariants: nothing is sent without a valid read lease, under a superseded configuration, to a version
/// that is not eligible, or for a client that has disconnected. Only idempotent requests are sent again when
/// an instance may have executed them, and each retry uses the budget. "Not executed" is reported only when
/// no instance can have executed the request.
/// Threads: every function may be called from any fiber; execute() and can_reach() may suspend it. No lock is
/// held while another is taken, nor while a fiber is suspended.
#pragma once
#include "limits/limit_counters.hpp"
#include "proxy/admission_queue.hpp"
#include "proxy/attempt_account.hpp"
#include "proxy/outcome_counters.hpp"
#include "proxy/rejection.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

/// The objects shared by the components of a node's request path. Referenced objects must outlive them.
struct NodeContext {
  base::Ports& ports;
  const ProtocolAdapter& adapter;
  std::string node_name;
  std::string zone;
  std::function<bool()> has_read_lease;          ///< whether this node's state is recent enough to act on
  std::function<RoutingSnapshotPtr()> snapshot;  ///< the latest; never null
};

/// Whether HTTP defines the method as safe.
bool is_safe_method(const std::string& method);

/// A request with the decisions made when the node received it.
struct RequestContext {
  RoutingSnapshotPtr snapshot;
  std::shared_ptr<const config::RoutingConfiguration> configuration;
  const config::ServiceConfiguration* service = nullptr;  ///< of `configuration`
  const config::RouteConfiguration* route = nullptr;      ///< of `configuration`
  std::shared_ptr<const base::Request> request;  ///< never null; may be shared with the code that received it
  std::string host;  ///< the host that purges match; empty when the route accepts any host
  TimePoint arrived{0};
  TimePoint deadline{0};
  std::string entry_node;        ///< the node that received the request from the client
  uint64_t generation = 0;       ///< of that node's assignment
  bool is_retry = false;         ///< already sent on another path: the first attempt uses the retry budget
  bool counts_as_demand = true;  ///< counts for the service's demand, which determines this node's limits
  bool is_forwarded = false;     ///< forwarded by another node: this node fetches without another shield
  std::shared_ptr<AttemptAccount> attempts = std::make_shared<AttemptAccount>();  ///< never null

  Duration time_budget() const { return deadline - arrived; }
  /// The latest start of the first attempt, so that clients are rejected early rather than late.
  TimePoint start_deadline() const { return deadline - time_budget() / 2; }
  /// The number of backend instances to which the request may still be sent.
  int attempts_left() const { return std::max(0, route->max_attempts - attempts->sent); }
  /// Whether the request may be executed more than once.
  bool is_idempotent() const;
  /// Whether an attempt may be cancelled when the client disconnects. A request that is not idempotent, or
  /// that has an Idempotency-Key, must be completed.
  bool is_cancellable() const;
  bool client_has_disconnected() const { return base::is_cancelled(request->cancellation); }
};

enum class UpstreamOutcome {
  responded,
  not_executed,  ///< no instance executed it
  unknown,       ///< an instance may have executed it
  superseded,    ///< a newer configuration came into force: the request must be routed again
  abandoned,     ///< the client has disconnected; an instance may have executed the request
};

struct UpstreamResult {
  UpstreamOutcome outcome = UpstreamOutcome::not_executed;
  base::Response response;                         ///< if an instance responded
  std::string version;                             ///< of the instance that responded
  RejectionReason reason = RejectionReason::none;  ///< if no instance responded
  /// The execution state over the attempts without a final response; not_sent when the last one had one.
  ExecutionState execution_state = ExecutionState::not_sent;
  Duration retry_after{0};  ///< minimum delay before a rejected request should be retried
};

/// The current limits of one node's use of a service.
struct ServiceLimits {
  double rate = 0;          ///< requests per second; 0: none, or the service has no configured rate
  int connections = 0;      ///< to each instance; 0: no limit
  int retry_allowance = 0;  ///< maximum number of retries that can accumulate in the budget
};

class UpstreamClient {
 public:
  explicit UpstreamClient(NodeContext node);
  ~UpstreamClient();

  /// Executes the request, with retries if needed and allowed. Returns by the request's deadline.
  [[nodiscard]] UpstreamResult execute(const RequestContext& context);

  /// Counts a client's request that is forwarded between nodes: it adds to the retry budget of both nodes, in
  /// total no more than a request that one node sends directly.
  void record_forwarded(const std::string& service);

  /// Whether an instance accepts a connection for the request. No byte is sent.
  bool can_reach(const RequestContext& context, Duration limit);

  /// Counts of the outcomes of attempts.
  OutcomeCounters& outcomes();
  /// The number of requests by service since the process started.
  std::map<std::string, uint64_t> demand() const;
  /// Removes the counts and estimates of all other routes.
  /// @param labels  of the routes in force
  void retain_routes(const std::set<std::string>& labels);
  /// Removes the demand of all other services.
  void retain_services(const std::set<std::string>& services);
  ServiceLoad load(const std::string& service);
  /// The number of requests of all services, running or waiting.
  int running_requests();
  /// The mean latency of the service; 0 while unknown.
  Duration typical_latency(const std::string& service) const;
  /// Counts of what this node's limits granted and denied.
  const limits::LimitCounters& limit_counters() const;
  /// The current limits of this node's use of a service.
  ServiceLimits limits_of(const config::ServiceConfiguration& service) const;
  /// Limits the number of a service's instances that this node uses; 0: no limit.
  void set_max_instances(int max_instances);
  /// Removes the latency and health of all other instances without a running attempt.
  void retain_instances(const std::vector<std::string>& instances);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
