// The request counts in a node's status report.
#include "proxy/request_handler.hpp"

#include "support/manual_ports.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
/// A backend instance of any service that responds to each request with 200.
class HealthyOrigin final : public base::Origin {
 public:
  bool can_connect(const std::string& /*address*/, Duration /*limit*/) override { return true; }
  std::variant<base::Response, base::AttemptError> send(const std::string& /*address*/,
                                                        const base::Request& request,
                                                        const base::AttemptRules& /*rules*/) override {
    base::Response response{200, {{"Dunlinwing-Request", request.id}}, "body"};
    for (const char* name : {"Dunlinwing-Service", "Dunlinwing-Version", "Dunlinwing-Instance"})
      response.headers.emplace_back(name, base::header(request.headers, name));
    return response;
  }
};

/// A node that applies configurations in sequence; each adds a route and removes the previously added one.
struct ChangingNode {
  ManualClock clock;
  CountingRandom random;
  NoTasks tasks;
  NoPeers peers;
  HealthyOrigin origin;
  base::Ports ports{clock, random, tasks, peers, origin};
  std::unique_ptr<proxy::ProtocolAdapter> adapter = proxy::native_protocol_adapter();
  proxy::RequestHandler handler{ports, *adapter, "n1", "a", [] { return true; }};

  void apply(int number) {
    auto configuration = std::make_shared<config::RoutingConfiguration>();
    configuration->name = fmt::format("order-{}", number);
    configuration->services["app"].name = "app";
    for (const auto& prefix : {std::string("/kept/"), fmt::format("/added-{}/", number)}) {
      config::RouteConfiguration route;
      route.prefix = prefix;
      route.weighted_services = {{"app", 1}};
      configuration->routes.push_back(route);
    }
    auto snapshot = std::make_shared<proxy::RoutingSnapshot>();
    snapshot->generation = snapshot->configuration_number = static_cast<uint64_t>(number);
    snapshot->configuration = configuration;
    snapshot->service_states["app"].set_current("1");
    snapshot->backend_instances["app"] = {{"i1", "app", "1", "a", "address", 4}};
    handler.set_snapshot(snapshot);
  }

  void request(const std::string& target) {
    base::Request request{"", "GET", target, "", {{"Host", "h"}}};
    same(handler.handle(request).status, 200, "the response to " + target);
  }

  pb::NodeStatus status() const {
    pb::NodeStatus reported;
    handler.report_status(reported);
    return reported;
  }
};

void status_does_not_grow_with_configurations() {
  constexpr int kConfigurations = 300;
  ChangingNode node;
  size_t early = 0;
  for (int number = 1; number <= kConfigurations; ++number) {
    node.apply(number);
    node.request("/kept/x");
    node.request(fmt::format("/added-{}/x", number));
    if (number == 1) early = node.status().ByteSizeLong();
  }
  const size_t late = node.status().ByteSizeLong();
  expect(late <= early * 2,
         fmt::format("{} bytes after one configuration, {} after {}", early, late, kConfigurations));
}

void status_counts_all_requests() {
  constexpr int kConfigurations = 20;
  ChangingNode node;
  for (int number = 1; number <= kConfigurations; ++number) {
    node.apply(number);
    node.request("/kept/x");
  }
  const pb::NodeStatus status = node.status();
  uint64_t requests = 0;
  for (const auto& counts : status.release_counts()) requests += counts.requests();
  same(requests, uint64_t{kConfigurations}, "requests reported over all configurations");
}
}  // namespace

std::vector<Case> request_handler_cases() {
  return {{"status: does not grow with past configurations", status_does_not_grow_with_configurations},
          {"status: counts the requests of all configurations", status_counts_all_requests}};
}

}  // namespace dunlinwing::test
