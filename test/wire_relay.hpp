// One relay's way of a request, over real connections, in the platform's words.
#pragma once
#include "platform/face.hpp"
#include "traffic/serve.hpp"
#include "wire/peer.hpp"
#include "wire_cases.hpp"

namespace dunlinwing::test {

constexpr int kPlentyMs = 10000;  // of a client that waits long enough for anything
inline const std::string kBody = "a body of a few bytes";

// One relay: Traffic in the platform's words over real sockets.
class Relay {
 public:
  explicit Relay(const std::string& backend, const std::string& shield = {})
      : face_(platform::face()),
        origin_(1 << 20),
        ports_{clock_, random_, pool(), net_, origin_},
        traffic_(ports_, *face_, "relay", "zone", [] { return true; }) {
    auto table = std::make_shared<traffic::Table>();
    table->layout = layout();
    table->generation = 1;
    for (auto* name : {"i-1", "i-2"}) table->workers["s"].push_back({name, "s", "v1", "zone", backend, 8});
    table->system.repeat_share = 1;
    table->system.repeat_allowance = 1000;
    if (!shield.empty()) {
      constexpr int kNodesWithShields = 64;
      table->nodes = kNodesWithShields;
      table->shields = {{"shield", shield}};
    }
    traffic_.swap(table);
  }

  base::Response ask(const std::string& id, bool safe, int patience_ms, std::string body = kBody) {
    base::Request request{"", "POST", safe ? "/any/x" : "/once/x", std::move(body), {}};
    request.headers = {
        {"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", std::to_string(patience_ms)}};
    return traffic_.serve(request);
  }
  base::Response get(base::Request request) { return traffic_.serve(request); }
  base::Response get(const std::string& target, const std::string& id, int patience_ms = kPlentyMs) {
    return get(
        {"",
         "GET",
         target,
         "",
         {{"Host", "h.example"}, {"Attempt-Id", id}, {"Time-Remaining", std::to_string(patience_ms)}}});
  }
  int held(const std::string& backend) const { return origin_.held(backend); }

 private:
  static std::shared_ptr<const traffic::Layout> layout() {
    auto read = traffic::read_layout("l", R"({"services":{"s":{"versions":["v1"],"inflight":1000}},"routes":[
      {"prefix":"/once/","service":"s","kind":"unsafe","shots":2,"timeout_ms":20000},
      {"prefix":"/any/","service":"s","kind":"safe","shots":2,"timeout_ms":20000},
      {"prefix":"/kept/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":60000},
      {"prefix":"/brief/","service":"s","kind":"cacheable","shots":2,"timeout_ms":20000,"keep_ms":100}],
      "limits":{"body_bytes":16777216}})");
    return std::get<std::shared_ptr<const traffic::Layout>>(read);
  }

  wire::RealClock clock_;
  wire::RealChance random_;
  wire::PeerNet net_;
  std::unique_ptr<traffic::Face> face_;
  wire::HttpOrigin origin_;
  base::Ports ports_;
  traffic::Traffic traffic_;
};

}  // namespace dunlinwing::test
