// A shot ends in one of four ways: a whole answer by the worker that was
// meant; nothing was sent; the worker said it did not run it; or nobody can
// tell. Only safe requests are sent again after the last, and within budget.
// A caller is promised "not run" only when no byte of any shot left.
#include "proxy/upstream_client.hpp"

#include <fmt/format.h>

#include <mutex>

namespace dunlinwing::proxy {
namespace {
constexpr int kMostTries = 8;    // workers looked for, sent to or not
constexpr int kWorkPart = 4;     // of its deadline a first shot must still have half this part
constexpr int kConnectPart = 4;  // of the time left, for a connection to stand
constexpr int kSlow = 4;         // times the usual, and an answer counts as slow
constexpr Duration kSlowLeast{20};
constexpr size_t kLeastPlaces = 6;
constexpr size_t kRelaysOfAll = 12;  // relays that use one worker, about
constexpr double kCapPart = 0.85;    // of the connections a worker takes, over all relays
// How far past its aim an answer may be expected to be while it is still worth its place, by rank.
constexpr double kPatience[] = {3.0, 2.0, 1.3};

UpstreamResult turned_away(std::string why, Duration back = Duration(0)) {
  UpstreamResult result{AttemptOutcome::not_executed, {}, {}, std::move(why)};
  result.retry_after = back;
  return result;
}

bool plainly_safe(const std::string& m) { return m == "GET" || m == "HEAD" || m == "OPTIONS"; }
}  // namespace

bool RequestContext::is_idempotent() const {
  if (route->kind == config::RequestKind::by_method)
    return plainly_safe(request.method) && service->retry_idempotent;
  return route->kind != config::RequestKind::unsafe;
}

struct UpstreamClient::Impl {
  base::Ports& ports;
  const ProtocolAdapter& adapter;
  std::string zone;
  std::function<bool()> has_read_lease;
  std::function<RoutingSnapshotPtr()> snapshot;
  LoadBalancer load_balancer;
  CanaryAdmission canary_admission;
  limits::RetryBudget retry_budget;
  limits::RateLimiter rate_limiter;
  AdmissionQueues admission_queues;
  mutable std::mutex mutex;
  std::map<OutcomeKey, VersionOutcomes> counts;
  std::map<std::string, uint64_t> rate_demand;
  std::map<std::string, std::pair<uint64_t, uint64_t>> canary_failures;  // number, bad answers
  std::atomic<uint64_t> retries{0};
  int max_instances = 0;

  Impl(base::Ports& p, const ProtocolAdapter& fa, std::string z, std::function<bool()> f,
       std::function<RoutingSnapshotPtr()> t)
      : ports(p),
        adapter(fa),
        zone(std::move(z)),
        has_read_lease(std::move(f)),
        snapshot(std::move(t)),
        load_balancer(p.clock, p.random),
        rate_limiter(p.clock),
        admission_queues(p) {}

  void record_outcome(const RequestContext& context, const membership::BackendInstance& instance, bool good,
                      Duration took) {
    auto t = snapshot();
    auto st = t->service_states.find(instance.service);
    auto usual = load_balancer.typical_latency(instance.service);
    bool slow = good && usual > Duration(0) && took > std::max(usual * kSlow, kSlowLeast);
    std::lock_guard lock(mutex);
    auto& c = counts[{instance.service, instance.version, context.route->label()}];
    (good ? c.good : c.bad)++;
    c.slow += slow;
    c.total_ms += static_cast<uint64_t>(took.count());
    if (st == t->service_states.end() || st->second.canary() != instance.version) return;
    auto& x = canary_failures[instance.service];
    if (x.first != st->second.canary_number()) x = {st->second.canary_number(), 0};
    x.second += !good;
  }

  // How long until it makes sense to come back, when the wait at the best place found is not worth it.
  std::optional<Duration> overload_retry_after(const RequestContext& context,
                                               const BackendSelection& c) const {
    if (context.route->latency_target <= Duration(0)) return {};
    Duration one = c.expected - c.queueing;
    auto rank = static_cast<size_t>(std::min<int>(context.route->priority, std::size(kPatience) - 1));
    Duration most =
        std::max(Duration(static_cast<int64_t>(static_cast<double>(context.route->latency_target.count()) *
                                               kPatience[rank])) -
                     one,
                 one);
    Duration left = context.deadline - ports.clock.now();
    if (c.queueing <= most && c.queueing + one < left) return {};
    return std::max(c.queueing - most, Duration(0)) + one / 2;
  }

  double rate_quota(const std::string& service) {
    auto t = snapshot();
    auto f = t->rate_quotas.find(service);
    return f == t->rate_quotas.end() ? 0 : f->second;
  }

  // Waits for this request's turn at a paced origin. When none comes in time: how long it would have been.
  std::optional<Duration> await_rate_limit(const RequestContext& context) {
    auto& service = *context.service;
    for (;;) {
      // A turn that comes too late for the aim is not worth waiting for.
      Duration most = context.start_deadline() - ports.clock.now();
      if (context.route->latency_target > Duration(0))
        most = std::min(most, context.route->latency_target * 3 / 4);
      auto r = rate_limiter.reserve(service.name, rate_quota(service.name), most);
      auto* t = std::get_if<limits::RateReservation>(&r);
      if (!t) return std::get<Duration>(r);
      if (t->wait > Duration(0)) ports.clock.sleep(t->wait);
      if (rate_limiter.is_valid(*t, rate_quota(service.name))) return {};
    }
  }

  // Of many workers each relay of a large fleet uses a few, so that its connections
  // are used often enough to be kept, and each worker is used by a few relays.
  size_t subset_size(const RoutingSnapshot& snapshot, size_t workers) const {
    size_t n =
        std::max<size_t>(kLeastPlaces, (workers * kRelaysOfAll + static_cast<size_t>(snapshot.nodes) - 1) /
                                           static_cast<size_t>(std::max(snapshot.nodes, 1)));
    return max_instances > 0 ? std::min(n, std::max(kLeastPlaces, static_cast<size_t>(max_instances))) : n;
  }

  std::optional<BackendSelection> select_backend(const RequestContext& context,
                                                 const std::vector<std::string>& tried, bool probe = false) {
    auto t = snapshot();  // the latest: a worker that left since is not chosen
    auto f = t->backend_instances.find(context.service->name);
    if (f == t->backend_instances.end()) return {};
    auto st = t->service_states.find(context.service->name);
    auto v = eligible_versions(*context.service, st == t->service_states.end() ? nullptr : &st->second);
    if (!probe)
      if (auto instances =
              canary_admission.admit(*t, context.service->name, v.canary, context.route->label());
          !instances.empty())
        if (auto x = load_balancer.choose(instances, {v.canary}, zone, tried)) return x;
    return load_balancer.choose(f->second, v.open, zone, tried, subset_size(*t, f->second.size()));
  }
};

UpstreamClient::UpstreamClient(base::Ports& ports, const ProtocolAdapter& adapter, std::string node_name,
                               std::string zone, std::function<bool()> fresh,
                               std::function<RoutingSnapshotPtr()> table)
    : impl_(new Impl(ports, adapter, std::move(zone), std::move(fresh), std::move(table))) {
  impl_->load_balancer.set_node_name(node_name);
}
UpstreamClient::~UpstreamClient() = default;

bool UpstreamClient::try_acquire_retry(const RequestContext& context) {
  auto snapshot = impl_->snapshot();
  if (!impl_->retry_budget.try_acquire(
          context.service->name,
          limits::retry_allowance_of_node(snapshot->system.retry_allowance, snapshot->nodes, snapshot->rank)))
    return false;
  ++impl_->retries;
  return true;
}

bool UpstreamClient::can_reach(const RequestContext& context, Duration limit) {
  std::vector<std::string> tried;
  for (int i = 0; i < 2; ++i) {
    auto to = impl_->select_backend(context, tried, true);
    if (!to) return false;
    if (impl_->ports.origin.can_connect(to->instance.address, limit)) return true;
    tried.push_back(to->instance.instance);
  }
  return false;
}

void UpstreamClient::record_request(const std::string& s) {
  impl_->retry_budget.record_request(s, impl_->snapshot()->system.retry_ratio);
}

std::map<std::string, uint64_t> UpstreamClient::rate_demand() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->rate_demand;
}

UpstreamResult UpstreamClient::execute(const RequestContext& context) {
  auto& impl = *impl_;
  auto& service = *context.service;
  if (service.rate > 0) {
    std::lock_guard lock(impl.mutex);
    ++impl.rate_demand[service.name];
  }
  auto& clock = impl.ports.clock;
  switch (impl.admission_queues.admit(service.name, service.max_in_flight, service.max_waiting,
                                      context.start_deadline())) {
    case AdmissionResult::queue_full:
      return turned_away("the waitlist is full", impl.admission_queues.drain_time(service.name));
    case AdmissionResult::too_late:
      return turned_away("its deadline cannot be met", impl.admission_queues.drain_time(service.name));
    case AdmissionResult::admitted:
      break;
  }
  struct Out {
    Impl& impl;
    const std::string& s;
    TimePoint from;
    ~Out() { impl.admission_queues.release(s, impl.ports.clock.now() - from); }
  } out{impl, service.name, clock.now()};

  std::vector<std::string> tried;
  UpstreamResult last = turned_away("no worker of an allowed version is known");
  bool left = false, doubt = false;  // as in Fetched
  auto fail = [&](std::string why) {
    last = turned_away(std::move(why), impl.load_balancer.typical_latency(service.name));
    if (doubt) last.outcome = AttemptOutcome::unknown;
  };
  bool must_pay = context.is_retry;
  int shots = 0;
  for (int i = 0; i < kMostTries && shots < context.route->max_attempts; ++i) {
    if (must_pay && !try_acquire_retry(context)) {
      if (i == 0) last = turned_away("the repeat budget is used up");
      break;
    }
    if (service.rate > 0) {
      if (auto late = impl.await_rate_limit(context)) {
        if (!left) last = turned_away("the origin's rate is used up", *late);
        break;
      }
    }
    if (is_superseded(*impl.snapshot(), context.entry_node, context.generation)) {
      last = {AttemptOutcome::superseded, {}, {}, "a newer layout is in force"};
      break;
    }
    auto c = impl.select_backend(context, tried);
    if (!c) break;
    if (!left && i == 0)
      if (auto late = impl.overload_retry_after(context, *c))
        return turned_away("its aim is out of reach here", *late);
    auto& instance = c->instance;
    tried.push_back(instance.instance);
    base::Request request = context.request;
    Duration limit = context.deadline - clock.now();
    impl.adapter.prepare_request(request, {instance, context.entry_node, context.generation, limit});
    if (limit <= (left ? Duration(0) : context.time_budget() / (2 * kWorkPart))) {
      if (!left) last.reason = "its deadline has passed";
      break;
    }
    if (!impl.has_read_lease()) {
      if (!left) last = turned_away("what this node knows is too old");
      break;
    }
    base::AttemptRules rules(limit);
    rules.connect_timeout = limit / kConnectPart;
    rules.idempotent = context.is_idempotent();
    rules.is_own_response = [&](const base::Response& response) {
      return impl.adapter.is_response_to(response, request.id);
    };
    rules.is_anonymous = [&](const base::Response& response) {
      return impl.adapter.names_no_request(response);
    };
    if (service.max_connections > 0)
      rules.max_connections = std::max(
          1, static_cast<int>(kCapPart * service.max_connections / std::max(impl.snapshot()->nodes, 1)));
    impl.load_balancer.attempt_started(instance);
    TimePoint from = clock.now();
    auto r = impl.ports.origin.send(instance.address, request, rules);
    Duration took = clock.now() - from;
    auto* a = std::get_if<base::Response>(&r);
    ResponseClass l = a ? impl.adapter.classify(*a, instance, request) : ResponseClass::invalid;
    if (a && is_unrequested_partial(request, *a)) l = ResponseClass::invalid;
    auto* d = std::get_if<base::AttemptError>(&r);
    bool unsent = d && *d == base::AttemptError::unsent;
    if (d && *d == base::AttemptError::not_run) l = ResponseClass::not_executed;
    bool declined = l == ResponseClass::not_executed || l == ResponseClass::wrong_instance;
    if (!must_pay && !unsent) record_request(service.name);
    impl.load_balancer.attempt_finished(
        instance, {unsent                                 ? AttemptHealth::unreachable
                   : l == ResponseClass::good || declined ? AttemptHealth::healthy
                                                          : AttemptHealth::failed,
                   a && l != ResponseClass::invalid ? impl.adapter.reported_load(*a) : std::nullopt,
                   l == ResponseClass::good ? took : Duration(0)});
    if (l == ResponseClass::wrong_instance) impl.load_balancer.mark_wrong_instance(instance);
    if (!unsent && !declined) impl.record_outcome(context, instance, l == ResponseClass::good, took);
    left |= !unsent;
    doubt |= !unsent && !declined;
    shots += !unsent;
    if (l == ResponseClass::good ||
        (l == ResponseClass::failed && (!context.is_idempotent() || shots >= context.route->max_attempts)))
      return {AttemptOutcome::answered, std::move(*a), instance.version, {}};
    if (unsent) {
      fail("no worker could be reached");
      continue;  // nothing was sent, so this was no send and the next is no repeat
    }
    if (l == ResponseClass::failed)
      last = {AttemptOutcome::answered, std::move(*a), instance.version, {}};
    else if (declined)
      fail("a worker said that it did not run it, and no other took it");
    else
      fail(a ? "the answer was not the worker's own whole answer" : "no whole answer came");
    if (!context.is_idempotent() && !declined) break;
    must_pay = true;
  }
  last.possibly_sent = left;
  last.possibly_executed = doubt;
  return last;
}

std::map<OutcomeKey, VersionOutcomes> UpstreamClient::counts() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->counts;
}
std::map<std::string, std::pair<uint64_t, uint64_t>> UpstreamClient::canary_failures() const {
  std::lock_guard lock(impl_->mutex);
  return impl_->canary_failures;
}
ServiceLoad UpstreamClient::load(const std::string& s) { return impl_->admission_queues.load(s); }
int UpstreamClient::running_requests() { return impl_->admission_queues.running_requests(); }
uint64_t UpstreamClient::retries() const { return impl_->retries; }
Duration UpstreamClient::typical_latency(const std::string& s) const {
  return impl_->load_balancer.typical_latency(s);
}
void UpstreamClient::set_max_instances(int m) { impl_->max_instances = m; }
void UpstreamClient::retain_instances(const std::vector<std::string>& a) { impl_->load_balancer.retain(a); }

}  // namespace dunlinwing::proxy
