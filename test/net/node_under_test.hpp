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
        handler_(ports_, *adapter_, "relay", "zone", [] { return true; }) {
    auto table = std::make_shared<proxy::RoutingSnapshot>();
    table->configuration = layout();
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
  pb::ForwardResponse forward(const pb::ForwardRequest& request, const base::CancellationPtr& cancellation) {
    return handler_.handle_forwarded(request, cancellation);
  }
  int connections_to(const std::string& backend) const { return origin_.connections_to(backend); }

 private:
  static std::shared_ptr<const config::RoutingConfiguration> layout() {
    auto read =
        config::parse_routing_configuration("l", R"({"services":{"s":{"versions":["v1"],"inflight":1000},
        "narrow":{"versions":["v1"],"inflight":1},"paced":{"versions":["v1"],"rate":2}},"routes":[
      {"prefix":"/narrow/","service":"narrow","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/narrow-once/","service":"narrow","kind":"unsafe","shots":2,"timeout_ms":20000},
      {"prefix":"/paced/","service":"paced","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/once/","service":"s","kind":"unsafe","shots":2,"timeout_ms":20000},
      {"prefix":"/any/","service":"s","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/kept/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":60000},
      {"prefix":"/brief/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":100}],
      "limits":{"body_bytes":16777216}})");
    return std::get<std::shared_ptr<const config::RoutingConfiguration>>(read);
  }

  net::SystemClock clock_;
  net::SystemRandom random_;
  net::PeerClient peer_client_;
  std::unique_ptr<proxy::ProtocolAdapter> adapter_;
  net::HttpClient origin_;
  base::Ports ports_;
  proxy::RequestHandler handler_;
};

}  // namespace dunlinwing::test
