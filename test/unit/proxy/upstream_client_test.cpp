// Which requests count for a canary's share (only those that were sent), and how attempts are counted whose
// clients disconnect.
#include "proxy/upstream_client.hpp"

#include "canary/canary_share.hpp"
#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kBetweenRequests{2};
constexpr Duration kTimeBudget{1000};

/// Backend instances that respond at once and report their load.
class LoadedOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string& /*address*/, Duration /*limit*/) override { return true; }

  std::variant<base::Response, base::AttemptError> send(const std::string& /*address*/,
                                                        const base::Request& request,
                                                        const base::AttemptRules& /*rules*/) override {
    const auto version = base::header(request.headers, "Dunlinwing-Version");
    ++requests[version];
    if (interrupted)
      if (const auto error = interrupted()) return *error;
    return base::Response{200,
                          {{"Dunlinwing-Request", request.id},
                           {"Dunlinwing-Service", "app"},
                           {"Dunlinwing-Version", version},
                           {"Dunlinwing-Instance", base::header(request.headers, "Dunlinwing-Instance")},
                           {"Dunlinwing-Load", std::to_string(load[version])}},
                          "body"};
  }

  /// Called in each attempt; an error ends it, as a client's disconnection does. Null: responds at once.
  std::function<std::optional<base::AttemptError>()> interrupted;
  std::map<std::string, int> load;      ///< reported by each instance, by version
  std::map<std::string, int> requests;  ///< received, by version
};

/// A node that sends requests to a service whose version 2 is a canary with a deadline.
struct CanaryNode {
  ManualClock clock;
  CountingRandom random;
  NoTasks tasks;
  NoPeers peers;
  LoadedOrigin origin;
  base::Ports ports{clock, random, tasks, peers, origin};
  std::unique_ptr<proxy::ProtocolAdapter> adapter = proxy::native_protocol_adapter();
  std::shared_ptr<proxy::RoutingSnapshot> snapshot = std::make_shared<proxy::RoutingSnapshot>();
  config::ServiceConfiguration service;
  config::RouteConfiguration route;
  proxy::UpstreamClient client{
      {ports, *adapter, "n1", "a", [] { return true; }, [this] { return snapshot; }}};

  CanaryNode() {
    service.name = "app";
    route.latency_target = Duration(100);
    auto& state = snapshot->service_states["app"];
    state.set_current("1");
    state.set_canary("2");
    state.set_canary_number(1);
    state.set_deadline_ms(14000);
    state.set_percent(canary::kDeadlinePercent);
    constexpr int kCapacity = 4;
    for (const auto& [name, version] :
         std::map<std::string, std::string>{{"i1", "1"}, {"i2", "2"}, {"i3", "2"}})
      snapshot->backend_instances["app"].push_back({name, "app", version, "a", "address", kCapacity});
  }

  proxy::UpstreamResult request(const std::string& id, const base::CancellationPtr& cancellation = {}) {
    clock.sleep(kBetweenRequests);
    proxy::RequestContext context;
    context.snapshot = snapshot;
    context.service = &service;
    context.route = &route;
    context.request =
        std::make_shared<const base::Request>(base::Request{id, "GET", "/x", "", {}, cancellation});
    context.arrived = clock.now();
    context.deadline = clock.now() + kTimeBudget;
    context.entry_node = "n1";
    return client.execute(context);
  }
};

void canary_share_counts_what_was_sent() {
  CanaryNode node;
  node.origin.load["1"] = 50;  // far above its capacity: most requests are rejected for their latency target
  int refused = 0;
  constexpr int kRequests = 3000;
  for (int i = 0; i < kRequests; ++i)
    refused += node.request(std::to_string(i)).outcome == proxy::UpstreamOutcome::not_executed;
  const int to_canary = node.origin.requests["2"];
  const int sent = to_canary + node.origin.requests["1"];
  expect(refused > kRequests / 2, fmt::format("only {} were rejected", refused));
  expect(to_canary * 10 <= sent + static_cast<int>(canary::kInitialCredit) * 10,
         fmt::format("the canary received {} of {} requests that were sent", to_canary, sent));
}

void canary_share_is_used() {
  CanaryNode node;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) node.request(std::to_string(i));
  const int to_canary = node.origin.requests["2"];
  expect(to_canary >= kRequests * canary::kDeadlinePercent / 100 - 2,
         fmt::format("the canary received {} of {} requests", to_canary, kRequests));
}
/// Sends requests whose clients disconnect during the attempt, each after the same time.
void disconnect_after(CanaryNode& node, Duration time, int requests) {
  for (int i = 0; i < requests; ++i) {
    const auto cancellation = std::make_shared<base::Cancellation>();
    node.origin.interrupted = [&]() -> std::optional<base::AttemptError> {
      node.clock.sleep(time);
      cancellation->cancel();
      return base::AttemptError::unknown;
    };
    const auto result = node.request(fmt::format("left-{}", i), cancellation);
    expect(result.outcome == proxy::UpstreamOutcome::abandoned, "the request was not abandoned");
  }
  node.origin.interrupted = nullptr;
}

canary::OutcomeCounts all_outcomes(CanaryNode& node) {
  canary::OutcomeCounts sum;
  for (const auto& [key, counts] : node.client.outcomes().totals()) sum += counts;
  return sum;
}

constexpr Duration kUsual{10};
constexpr int kRequests = 40;

/// A node with a measured mean latency of its service.
std::unique_ptr<CanaryNode> node_with_known_latency() {
  auto node = std::make_unique<CanaryNode>();
  node->origin.interrupted = [clock = &node->clock]() -> std::optional<base::AttemptError> {
    clock->sleep(kUsual);
    return {};
  };
  for (int i = 0; i < kRequests; ++i) node->request(std::to_string(i));
  node->origin.interrupted = nullptr;
  return node;
}

void early_disconnections_do_not_count() {
  const auto node = node_with_known_latency();
  disconnect_after(*node, kUsual, kRequests);
  const auto counts = all_outcomes(*node);
  same(counts.total(), uint64_t{kRequests}, "outcomes, none of a disconnected client");
  same(counts.failed_or_slow(), uint64_t{0}, "failed or slow outcomes");
  same(node->request("after").outcome == proxy::UpstreamOutcome::responded, true,
       "an instance is still used");
}

void late_disconnections_count_as_slow() {
  const auto node = node_with_known_latency();
  disconnect_after(*node, kUsual * 10, kRequests);
  same(all_outcomes(*node).slow, uint64_t{kRequests},
       "attempts that were slow when their clients disconnected");
}

void disconnections_at_the_deadline_count_as_failures() {
  const auto node = node_with_known_latency();
  disconnect_after(*node, kTimeBudget - Duration(1), kRequests);
  same(all_outcomes(*node).bad, uint64_t{kRequests},
       "attempts that failed when their clients disconnected at the deadline");
}

void nothing_is_sent_after_disconnection() {
  const auto node = node_with_known_latency();
  const int sent = node->origin.requests["1"] + node->origin.requests["2"];
  const auto cancellation = std::make_shared<base::Cancellation>();
  cancellation->cancel();
  const auto result = node->request("gone", cancellation);
  same(result.outcome == proxy::UpstreamOutcome::abandoned, true, "abandoned");
  same(node->origin.requests["1"] + node->origin.requests["2"], sent, "requests that were sent");
}

/// Runs requests one after the other, of a route whose responses take the given time.
/// @return how many got a response
int run_route(CanaryNode& node, const std::string& route, Duration latency_target, Duration latency,
              int requests) {
  node.route.name = route;
  node.route.latency_target = latency_target;
  node.origin.interrupted = [&node, latency]() -> std::optional<base::AttemptError> {
    node.clock.sleep(latency);
    return {};
  };
  int responded = 0;
  for (int i = 0; i < requests; ++i)
    responded += node.request(std::to_string(i)).outcome == proxy::UpstreamOutcome::responded;
  return responded;
}

constexpr Duration kNoTarget{0};
constexpr Duration kTarget{100};
constexpr Duration kSlowResponse{10000};  // beyond the time budget
constexpr Duration kFastResponse{10};
constexpr int kCrowd = 40;

// A service whose slow route raised its latency is refused neither on its other routes nor for good. Nothing
// else runs there.
void slow_route_does_not_refuse_others() {
  CanaryNode node;
  same(run_route(node, "slow", kNoTarget, kSlowResponse, kCrowd), kCrowd, "responses of the slow route");
  same(run_route(node, "fast", kTarget, kFastResponse, kCrowd), kCrowd,
       "responses of a route never sent to before");
  same(run_route(node, "slow", kNoTarget, kSlowResponse, kCrowd), kCrowd, "responses of the slow route");
  same(run_route(node, "fast", kTarget, kFastResponse, kCrowd), kCrowd,
       "responses of a route known to be fast");
}

void slow_route_is_tried_again() {
  CanaryNode node;
  same(run_route(node, "slow", kNoTarget, kSlowResponse, kCrowd), kCrowd, "responses of the slow route");
  expect(run_route(node, "slow", kTarget, kFastResponse, kCrowd) == 0, "a fresh estimate had no say");
  node.clock.sleep(Duration(2000));
  same(run_route(node, "slow", kTarget, kFastResponse, kCrowd), kCrowd,
       "responses once the estimate is stale");
}
}  // namespace

std::vector<Case> upstream_client_cases() {
  return {
      {"upstream: nothing is sent for a disconnected client", nothing_is_sent_after_disconnection},
      {"upstream: early disconnections do not count against an instance", early_disconnections_do_not_count},
      {"upstream: late disconnections count as slow responses of the version",
       late_disconnections_count_as_slow},
      {"upstream: disconnections at the deadline count as failures of the instance",
       disconnections_at_the_deadline_count_as_failures},
      {"upstream: a canary's share is computed from the requests that were sent",
       canary_share_counts_what_was_sent},
      {"upstream: without rejections a canary receives its full share", canary_share_is_used},
      {"upstream: a slow route does not refuse the other routes of its service",
       slow_route_does_not_refuse_others},
      {"upstream: a route that was slow is tried again", slow_route_is_tried_again}};
}

}  // namespace dunlinwing::test
