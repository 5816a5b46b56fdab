#include "control_api/metrics.hpp"

#include <fmt/format.h>

#include "control_api/operator_write_log.hpp"
#include "control_api/status_page.hpp"
#include "link/link.hpp"

namespace dunlinwing::control_api {
namespace {
enum class MetricType { counter, gauge };

/// Builds the text page.
class MetricsPage {
 public:
  /// Adds the heading of a metric, whose values labelled() then adds.
  void describe(const char* name, MetricType type, const char* help) {
    text_ += fmt::format("# HELP dunlinwing_{} {}\n# TYPE dunlinwing_{} {}\n", name, help, name,
                         type == MetricType::counter ? "counter" : "gauge");
  }

  template <class Value>
  void labelled(const char* name, const std::string& labels, Value value) {
    text_ += fmt::format("dunlinwing_{}{{{}}} {}\n", name, labels, value);
  }

  template <class Value>
  void counter(const char* name, const char* help, Value value) {
    single(name, MetricType::counter, help, value);
  }

  template <class Value>
  void gauge(const char* name, const char* help, Value value) {
    single(name, MetricType::gauge, help, value);
  }

  std::string take() { return std::move(text_); }

 private:
  template <class Value>
  void single(const char* name, MetricType type, const char* help, Value value) {
    describe(name, type, help);
    text_ += fmt::format("dunlinwing_{} {}\n", name, value);
  }

  std::string text_;
};

void add_request_counters(MetricsPage& page, proxy::RequestHandler& handler) {
  auto& counters = handler.counters();
  page.counter("requests_total", "Requests of callers answered.", counters.requests.load());
  page.counter("defects_total", "Answers that count as defects.", counters.failures.load());
  page.counter("turned_away_total", "Requests promised not run.", counters.rejected.load());
  page.counter("unknown_total", "Requests of unknown outcome.", counters.unknown.load());
  page.counter("cache_hits_total", "Requests answered from the cache.", counters.cache_hits.load());
  page.counter("cache_fills_total", "Fetches for the cache.", counters.cache_fetches.load());
  page.gauge("cache_bytes", "Bytes cached.", handler.cache_bytes());
  page.counter("abandoned_total", "Requests whose clients left before their response.",
               counters.abandoned.load());
  page.counter("confirmed_total", "Fills whose body was held already.", counters.confirmed.load());
  page.counter("carried_total", "Fills asked of a shield.", counters.forwarded.load());
  uint64_t retries = 0;
  for (const auto& [service, counts] : handler.upstream_client().limit_counters().counts())
    retries += counts.retries_granted;
  page.counter("repeats_total", "Repeats granted.", retries);
}

std::string service_label(const std::string& service) { return fmt::format("service=\"{}\"", service); }

void add_rejections(MetricsPage& page, const proxy::RequestHandler& handler) {
  constexpr const char* kName = "rejections_total";
  page.describe(kName, MetricType::counter, "Requests rejected, or of unknown outcome, by reason.");
  for (const auto& [key, count] : handler.rejections().counts())
    page.labelled(kName,
                  fmt::format(R"(reason="{}",service="{}",route="{}")", proxy::label(key.reason), key.service,
                              key.route),
                  count);
}

/// A metric of a service's limits.
struct LimitMetric {
  const char* name;
  MetricType type;
  const char* help;
  double (*value)(const proxy::ServiceLimits& allowed, const limits::LimitCounts& used);
};

constexpr LimitMetric kLimitMetrics[] = {
    {"rate_quota", MetricType::gauge, "Requests a second that this node may send.",
     [](auto& allowed, auto&) { return allowed.rate; }},
    {"rate_granted_total", MetricType::counter, "Requests that the rate limit let through.",
     [](auto&, auto& used) { return static_cast<double>(used.rate_granted); }},
    {"rate_denied_total", MetricType::counter, "Requests that the rate limit rejected.",
     [](auto&, auto& used) { return static_cast<double>(used.rate_denied); }},
    {"rate_wait_ms_total", MetricType::counter, "Milliseconds waited for the rate limit.",
     [](auto&, auto& used) { return static_cast<double>(used.rate_wait_ms); }},
    {"retry_allowance", MetricType::gauge, "Retries that this node may save up.",
     [](auto& allowed, auto&) { return static_cast<double>(allowed.retry_allowance); }},
    {"retries_granted_total", MetricType::counter, "Retries that the budget granted.",
     [](auto&, auto& used) { return static_cast<double>(used.retries_granted); }},
    {"retries_denied_total", MetricType::counter, "Retries that the budget denied.",
     [](auto&, auto& used) { return static_cast<double>(used.retries_denied); }},
    {"connections_allowed", MetricType::gauge,
     "Connections to each instance that this node may open; 0: any.",
     [](auto& allowed, auto&) { return static_cast<double>(allowed.connections); }},
    {"connection_waits_total", MetricType::counter, "Attempts that had to wait for a connection.",
     [](auto&, auto& used) { return static_cast<double>(used.connection_waits); }},
    {"connections_denied_total", MetricType::counter, "Attempts that got no connection in time.",
     [](auto&, auto& used) { return static_cast<double>(used.connections_denied); }},
};

void add_limits(MetricsPage& page, const proxy::UpstreamClient& upstream,
                const config::RoutingConfiguration& configuration) {
  const auto counts = upstream.limit_counters().counts();
  for (const auto& metric : kLimitMetrics) {
    page.describe(metric.name, metric.type, metric.help);
    for (const auto& [name, service] : configuration.services) {
      const auto used = counts.find(name);
      page.labelled(metric.name, service_label(name),
                    metric.value(upstream.limits_of(service),
                                 used == counts.end() ? limits::LimitCounts{} : used->second));
    }
  }
}

/// A metric of the link.
struct LinkMetric {
  const char* name;
  MetricType type;
  const char* help;
  uint64_t link::TrafficCounts::*value;
};

constexpr LinkMetric kLinkMetrics[] = {
    {"link_bytes_total", MetricType::counter, "Bytes that the link carried.", &link::TrafficCounts::bytes},
    {"link_waits_total", MetricType::counter, "Parts that waited for the link.", &link::TrafficCounts::waits},
    {"link_wait_ms_total", MetricType::counter, "Milliseconds for which they did.",
     &link::TrafficCounts::wait_ms},
    {"link_given_up_total", MetricType::counter, "Parts whose time ran out before their turn.",
     &link::TrafficCounts::given_up},
    {"link_waiting_bytes", MetricType::gauge, "Bytes of the bodies that wait for the link.",
     &link::TrafficCounts::waiting_bytes},
};

void add_link_direction(MetricsPage& page, const LinkMetric& metric, const char* direction,
                        const link::Pacer& pacer) {
  const auto counts = pacer.counts();
  for (size_t i = 0; i < counts.size(); ++i)
    page.labelled(metric.name,
                  fmt::format(R"(direction="{}",class="{}")", direction,
                              link::label(static_cast<link::TrafficClass>(i))),
                  counts[i].*metric.value);
}

void add_link(MetricsPage& page, const link::Link& link) {
  page.gauge("link_bytes_per_second", "Rate of the link, each way; 0: not stated.", link.inbound.link_rate());
  for (const auto& metric : kLinkMetrics) {
    page.describe(metric.name, metric.type, metric.help);
    add_link_direction(page, metric, "in", link.inbound);
    add_link_direction(page, metric, "out", link.outbound);
  }
}

/// A metric of the operations on registers.
struct RegisterMetric {
  const char* name;
  const char* help;
  uint64_t (*value)(const consensus::OperationTotals& totals);
};

constexpr RegisterMetric kRegisterMetrics[] = {
    {"register_operations_total", "Operations on registers.", [](auto& totals) { return totals.operations; }},
    {"register_rounds_total", "Proposals for registers.", [](auto& totals) { return totals.sum.rounds; }},
    {"register_lost_ballots_total", "Proposals that a quorum answered and that were not chosen.",
     [](auto& totals) { return totals.sum.lost_ballots; }},
    {"register_rounds_without_quorum_total", "Proposals that no quorum answered.",
     [](auto& totals) { return totals.sum.rounds_without_quorum; }},
};

void add_register_operations(MetricsPage& page, const consensus::TotalsByOperation& totals) {
  for (const auto& metric : kRegisterMetrics) {
    page.describe(metric.name, MetricType::counter, metric.help);
    for (const auto type : consensus::kOperationTypes)
      page.labelled(metric.name, fmt::format(R"(operation="{}")", label(type)),
                    metric.value(totals[static_cast<size_t>(type)]));
  }
  constexpr const char* kTimes = "register_phase_ms_total";
  page.describe(kTimes, MetricType::counter, "Milliseconds in the phases of operations on registers.");
  for (const auto type : consensus::kOperationTypes)
    for (const auto phase : consensus::kOperationPhases)
      page.labelled(kTimes, fmt::format(R"(operation="{}",phase="{}")", label(type), label(phase)),
                    totals[static_cast<size_t>(type)].sum.time(phase).count());
}

void add_operator_writes(MetricsPage& page, const OperatorWriteTotals& totals) {
  constexpr const char* kRequests = "operator_requests_total";
  page.describe(kRequests, MetricType::counter, "Write requests of operators by result.");
  page.labelled(kRequests, R"(result="acknowledged")", totals.acknowledged);
  page.labelled(kRequests, R"(result="rejected")", totals.rejected);
  page.labelled(kRequests, R"(result="failed")", totals.failed);
  page.labelled(kRequests, R"(result="in_force")", totals.in_force);
  constexpr const char* kTimes = "operator_stage_ms_total";
  page.describe(kTimes, MetricType::counter,
                "Milliseconds from the reception of acknowledged write requests to their stages.");
  page.labelled(kTimes, R"(stage="written")", totals.until_written.count());
  page.labelled(kTimes, R"(stage="acknowledged")", totals.until_acknowledged.count());
  page.labelled(kTimes, R"(stage="in_force")", totals.until_in_force.count());
}

void add_node_gauges(MetricsPage& page, node::Node& node, TimePoint now) {
  auto& state_cache = node.state_cache();
  page.gauge("ready", "1 when the platform may send callers.", node.ready() ? 1 : 0);
  page.gauge("generation", "The generation in force here.", node.generation());
  page.gauge("permit_left_ms", "What is left of the read lease.", read_lease_left(node, now).count());
  page.gauge("duty_held", "1 when this node does the rollout leadership.",
             node.leadership().is_leader() ? 1 : 0);
  page.gauge("members", "Nodes whose session stands.", state_cache.statuses().members(now).size());
  page.gauge("registers", "Registers known.", state_cache.chosen().size());
  if (node.acceptor())
    page.gauge("votes", "1 when this holder's disk may vote.", node.acceptor()->non_voting() ? 0 : 1);
}

void add_service_gauges(MetricsPage& page, proxy::UpstreamClient& upstream,
                        const config::RoutingConfiguration& configuration) {
  page.describe("running", MetricType::gauge, "Requests at workers.");
  for (const auto& [service, settings] : configuration.services)
    page.labelled("running", service_label(service), upstream.load(service).running);
  page.describe("waiting", MetricType::gauge, "Requests on the waitlist.");
  for (const auto& [service, settings] : configuration.services)
    page.labelled("waiting", service_label(service), upstream.load(service).waiting);
}

/// Outcomes by service and version, summed over the routes.
using OutcomesByVersion = std::map<std::string, std::map<std::string, canary::OutcomeCounts>>;

OutcomesByVersion sum_over_routes(proxy::UpstreamClient& upstream) {
  OutcomesByVersion sums;
  for (const auto& [key, outcomes] : upstream.outcomes().totals()) sums[key.service][key.version] = outcomes;
  return sums;
}

void add_attempt_counters(MetricsPage& page, proxy::UpstreamClient& upstream,
                          const config::RoutingConfiguration& configuration) {
  constexpr const char* kName = "shots_total";
  page.describe(kName, MetricType::counter, "UpstreamClient by version and how they ended.");
  for (const auto& [service, versions] : sum_over_routes(upstream)) {
    if (!configuration.services.count(service)) continue;
    for (const auto& [version, outcomes] : versions) {
      auto labels = [&service = service, &version = version](const char* end) {
        return fmt::format(R"(service="{}",version="{}",end="{}")", service, version, end);
      };
      page.labelled(kName, labels("good"), outcomes.good);
      page.labelled(kName, labels("bad"), outcomes.bad);
    }
  }
}
}  // namespace

std::string metrics_page(const ApiContext& context, TimePoint now) {
  MetricsPage page;
  node::Node& node = context.node;
  auto& handler = node.request_handler();
  add_request_counters(page, handler);
  add_rejections(page, handler);
  add_node_gauges(page, node, now);
  add_register_operations(page, node.registers().totals());
  add_operator_writes(page, context.write_totals);
  if (const auto* link = node.link()) add_link(page, *link);
  page.gauge("memory_reserved_bytes", "Bytes reserved for requests and responses.", node.memory().used());
  page.counter("memory_refusals_total", "Reservations that were refused.", node.memory().refusals());
  auto snapshot = handler.snapshot();
  if (snapshot->configuration) {
    add_service_gauges(page, handler.upstream_client(), *snapshot->configuration);
    add_limits(page, handler.upstream_client(), *snapshot->configuration);
    add_attempt_counters(page, handler.upstream_client(), *snapshot->configuration);
  }
  return page.take();
}

}  // namespace dunlinwing::control_api
