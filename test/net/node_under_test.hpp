// A relay's request path over real connections, with the platform's protocol adapter.
#pragma once
#include "net/net_cases.hpp"
#include "net/peer_client.hpp"
#include "platform/protocol_adapter.hpp"
#include "proxy/request_handler.hpp"

namespace dunlinwing::test {

constexpr int kPlentyMs = 10000;         // timeout of a client that waits long enough for any response
constexpr Duration kPacedInterval{800};  // between two requests to the rate-limited service
inline const std::string kBody = "a body of a few bytes";

// A RequestHandler with the platform's protocol adapter, over real sockets.
class Relay {
 public:
  explicit Relay(const std::string& backend, const std::string& shield = {})
      : adapter_(platform::protocol_adapter()),
        origin_(1 << 20),
        ports_{clock_, random_, pool(), peer_client_, origin_},
        handler_(ports_, *adapter_, "relay", "zone", [this] { return has_read_lease_; }) {
    auto table = std::make_shared<proxy::RoutingSnapshot>();
    table->configuration = layout(kRoutes, kService);
    table->configurations[table->configuration->name] = table->configuration;
    table->generation = 1;
    for (const std::string service : {"s", "narrow", "paced"})
      for (const std::string name : {"i-1", "i-2"})
        table->backend_instances[service].push_back({name, service, "v1", "zone", backend, 8});
    table->rate_quotas["paced"] = 1000.0 / static_cast<double>(kPacedInterval.count());
    table->system.retry_ratio = 2;  // one full retry at each of two nodes on a request's path
    table->system.retry_allowance = 1000;
    if (!shield.empty()) {
      constexpr int kNodesWithShields = 64;
      table->nodes = kNodesWithShields;
      table->shields = {{"shield", shield}};
    }
    handler_.set_snapshot(table);
  }

  base::Response post(const std::string& id, bool safe, int patience_ms, std::string body = kBody) {
    base::Request request{"", "POST", safe ? "/any/x" : "/once/x", std::move(body), {}};
    request.headers = {
        {"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", std::to_string(patience_ms)}};
    return handler_.handle(request);
  }
  base::Response get(base::Request request) { return handler_.handle(request); }
  base::Response get(const std::string& target, const std::string& id, int patience_ms = kPlentyMs) {
    return get(
        {"",
         "GET",
         target,
         "",
         {{"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", std::to_string(patience_ms)}}});
  }
  // Puts the next numbered configuration in force, with whatever else `change` changes in the snapshot.
  void change_configuration(const std::function<void(proxy::RoutingSnapshot&)>& change = {}) {
    auto next = std::make_shared<proxy::RoutingSnapshot>(*handler_.snapshot());
    next->configuration_number = ++next->generation;
    if (change) change(*next);
    handler_.set_snapshot(next);
  }
  // Changes the snapshot under the configuration in force.
  void change_snapshot(const std::function<void(proxy::RoutingSnapshot&)>& change) {
    auto next = std::make_shared<proxy::RoutingSnapshot>(*handler_.snapshot());
    change(*next);
    handler_.set_snapshot(next);
  }
  void lose_read_lease() { has_read_lease_ = false; }
  void start_draining() { handler_.start_draining(); }
  pb::ForwardResponse forward(const pb::ForwardRequest& request, const base::CancellationPtr& cancellation) {
    return handler_.handle_forwarded(request, cancellation);
  }
  int connections_to(const std::string& backend) const { return origin_.connections_to(backend); }

  // A configuration of the service "s", beside the fixed ones "narrow" and "paced".
  // @param routes  to "s": JSON objects, separated by commas
  static std::shared_ptr<const config::RoutingConfiguration> layout(const std::string& routes,
                                                                    const std::string& service) {
    auto read = config::parse_routing_configuration(
        "l", fmt::format(R"({{"services":{{"s":{},"narrow":{{"versions":["v1"],"inflight":1}},
      "paced":{{"versions":["v1"],"rate":2}}}},"routes":[{},{}],"limits":{{"body_bytes":16777216}}}})",
                         service, routes, kFixedRoutes));
    return std::get<std::shared_ptr<const config::RoutingConfiguration>>(read);
  }

  static constexpr const char* kService = R"({"versions":["v1"],"inflight":1000})";

 private:
  static constexpr const char* kRoutes = R"(
      {"prefix":"/once/","service":"s","kind":"unsafe","shots":2,"timeout_ms":20000},
      {"prefix":"/any/","service":"s","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/kept/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":60000},
      {"prefix":"/brief/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":100})";
  static constexpr const char* kFixedRoutes = R"(
      {"prefix":"/narrow/","service":"narrow","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/narrow-once/","service":"narrow","kind":"unsafe","shots":2,"timeout_ms":20000},
      {"prefix":"/paced/","service":"paced","kind":"safe","shots":2,"timeout_ms":20000})";

  net::SystemClock clock_;
  net::SystemRandom random_;
  net::PeerClient peer_client_;
  std::unique_ptr<proxy::ProtocolAdapter> adapter_;
  net::HttpClient origin_;
  base::Ports ports_;
  bool has_read_lease_ = true;
  proxy::RequestHandler handler_;
};

}  // namespace dunlinwing::test
