// Getting one request run by a worker: waitlist, pace, place, shot, and the
// checks on what comes back. Says truthfully whether the request ran.
#pragma once
#include <atomic>

#include "base/ports.hpp"
#include "limits/budget.hpp"
#include "proxy/admission_queue.hpp"
#include "proxy/canary_admission.hpp"
#include "proxy/load_balancer.hpp"

namespace dunlinwing::proxy {

struct RequestContext {
  RoutingSnapshotPtr snapshot;
  std::shared_ptr<const config::RoutingConfiguration> configuration;
  const config::ServiceConfiguration* service = nullptr;
  const config::RouteConfiguration* route = nullptr;
  base::Request request;
  std::string host;  // part of a receipt's name when the route is bound to a host
  TimePoint arrived{0}, deadline{0};
  std::string entry_node;  // where it entered, and the assignment there
  uint64_t generation = 0;
  bool is_retry = false;  // a repeat of something already sent: needs the budget
  Duration time_budget() const { return deadline - arrived; }
  TimePoint start_deadline() const {
    return deadline - time_budget() / 2;
  }                            // no first shot after it: told early, not late
  bool is_idempotent() const;  // may run more than once
};

// `overtaken`: a newer layout came in force before this shot could be made; the
// request is to be matched anew under it.
enum class AttemptOutcome { answered, not_executed, unknown, superseded };

struct UpstreamResult {
  AttemptOutcome outcome = AttemptOutcome::not_executed;
  base::Response response;
  std::string version, reason;
  bool possibly_sent = false;      // some byte of some shot may have reached a worker
  bool possibly_executed = false;  // and not every worker that got one said that it did not run it
  Duration retry_after{0};         // when it makes sense to come back, when turned away
};

struct VersionOutcomes {
  uint64_t good = 0, bad = 0;
  uint64_t slow = 0, total_ms = 0;  // good answers far beyond the usual time; over all answers
};

struct OutcomeKey {
  std::string service, version, route;
  auto operator<=>(const OutcomeKey&) const = default;
};

class UpstreamClient {
 public:
  UpstreamClient(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name, std::string zone,
                 std::function<bool()> fresh, std::function<RoutingSnapshotPtr()> table);
  ~UpstreamClient();
  UpstreamResult execute(const RequestContext& context);
  bool can_reach(const RequestContext& context,
                 Duration limit);  // whether some worker would take a connection
  bool try_acquire_retry(const RequestContext& context);
  void record_request(const std::string& service);  // a first send that earns repeats
  std::map<OutcomeKey, VersionOutcomes> counts() const;
  // Bad answers of each version on trial: by service, the trial's number and the count.
  std::map<std::string, std::pair<uint64_t, uint64_t>> canary_failures() const;
  std::map<std::string, uint64_t> rate_demand() const;  // of services with a stated rate
  ServiceLoad load(const std::string& service);
  int running_requests();
  Duration typical_latency(const std::string& service) const;  // what an answer takes here; 0: not known
  uint64_t retries() const;
  void set_max_instances(int most);  // workers of one service that this relay uses, at most; 0: no bound
  void retain_instances(const std::vector<std::string>& instances);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::proxy
