// What the request path counts for a canary's share: what reached the service, not what was asked for.
#include "proxy/upstream_client.hpp"

#include "canary/canary_share.hpp"
#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kBetweenRequests{2};
constexpr Duration kTimeBudget{1000};

/// Backend instances that answer at once and tell how many requests they have.
class LoadedOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string& /*address*/, Duration /*limit*/) override { return true; }

  std::variant<base::Response, base::AttemptError> send(const std::string& /*address*/,
                                                        const base::Request& request,
                                                        const base::AttemptRules& /*rules*/) override {
    const auto version = base::header(request.headers, "Dunlinwing-Version");
    ++requests[version];
    return base::Response{200,
                          {{"Dunlinwing-Request", request.id},
                           {"Dunlinwing-Service", "app"},
                           {"Dunlinwing-Version", version},
                           {"Dunlinwing-Instance", base::header(request.headers, "Dunlinwing-Instance")},
                           {"Dunlinwing-Load", std::to_string(load[version])}},
                          "body"};
  }

  std::map<std::string, int> load;      ///< that each instance tells, by version
  std::map<std::string, int> requests;  ///< that came, by version
};

/// One node that sends to a service of which version 2 is a canary with a deadline.
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

  proxy::UpstreamResult request(const std::string& id) {
    clock.sleep(kBetweenRequests);
    proxy::RequestContext context;
    context.snapshot = snapshot;
    context.service = &service;
    context.route = &route;
    context.request = {id, "GET", "/x", "", {}};
    context.arrived = clock.now();
    context.deadline = clock.now() + kTimeBudget;
    context.entry_node = "n1";
    return client.execute(context);
  }
};

void canary_share_counts_what_was_sent() {
  CanaryNode node;
  node.origin.load["1"] = 50;  // far more than its capacity: most requests are refused for their aim
  int refused = 0;
  constexpr int kRequests = 3000;
  for (int i = 0; i < kRequests; ++i)
    refused += node.request(std::to_string(i)).outcome == proxy::UpstreamOutcome::not_executed;
  const int to_canary = node.origin.requests["2"];
  const int sent = to_canary + node.origin.requests["1"];
  expect(refused > kRequests / 2, fmt::format("only {} were refused", refused));
  expect(to_canary * 10 <= sent + static_cast<int>(canary::kInitialCredit) * 10,
         fmt::format("the canary got {} of {} requests that were sent", to_canary, sent));
}

void canary_share_is_used() {
  CanaryNode node;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) node.request(std::to_string(i));
  const int to_canary = node.origin.requests["2"];
  expect(to_canary >= kRequests * canary::kDeadlinePercent / 100 - 2,
         fmt::format("the canary got {} of {} requests", to_canary, kRequests));
}
}  // namespace

std::vector<Case> upstream_client_cases() {
  return {{"upstream: a canary's share is that of the requests which were sent",
           canary_share_counts_what_was_sent},
          {"upstream: without refusals a canary gets its whole share", canary_share_is_used}};
}

}  // namespace dunlinwing::test
