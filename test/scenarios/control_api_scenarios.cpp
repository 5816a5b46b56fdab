/// @file
/// The responses to operators, and their timing: from a partitioned node, from two nodes that concurrently
/// get requests with the same number, and from another node after a response was lost.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kClientTimeout{1000};  // after which a client tries another node
// Numbers of configurations are above 1000 here, since the checker compares them with the
// generations of releases.

struct OperatorRequest {
  std::string method, target, body;
  base::Headers headers = {};
};

/// The document of a numbered configuration.
/// @param more  adds a service of the name "fresh"
std::string numbered(int lifetime = 4, bool more = false) {
  constexpr auto kForm = R"({{"content":{{"services":{{
"content":{{"versions":[],"deadline_ms":2000,"cache":{{"lifetime_s":{0}}}}},
"app":{{"versions":["1","2"],"deadline_ms":2000}}{1}}},
"routes":[{{"prefix":"/c/","service":"content","methods":["GET","HEAD"]}},
{{"prefix":"/a/","service":"app","methods":["GET"]}},
{{"prefix":"/pay","service":"app","methods":["POST"]}}{2}]}},"stated":"lifetime {0}, more {3}"}})";
  return fmt::format(kForm, lifetime, more ? R"(,"fresh":{"versions":["1"]})" : "",
                     more ? R"(,{"prefix":"/fresh/","service":"fresh"})" : "", more);
}

base::Json parsed(const std::string& body) {
  auto result = base::Json::parse(body);
  auto* json = std::get_if<base::Json>(&result);
  return json ? *json : base::Json();
}

/// One attempt at one host; status 0 when it did not respond within the client's timeout.
base::Response send_to_host(Scene& scene, simulation::Host& host, const OperatorRequest& request) {
  base::Request http{"", request.method, request.target, request.body, request.headers};
  auto exchange = scene.fleet.exchange(host, http, true, kClientTimeout);
  if (!exchange.complete) return {0, {}, {}};
  return exchange.response;
}

/// Retries as an operator does: at another host after a timeout or a 5xx, until the response is conclusive.
base::Response request_until_clear(Scene& scene, const OperatorRequest& request, Duration longest) {
  base::Response response;
  scene.fleet.wait_until(longest, [&] {
    auto& hosts = scene.fleet.hosts();
    auto& host = *hosts[scene.world.below(hosts.size())];
    if (host.up()) response = send_to_host(scene, host, request);
    return response.status / 100 == 2 || response.status / 100 == 4;
  });
  return response;
}

bool acknowledged(Scene& scene, const OperatorRequest& request) {
  auto response = request_until_clear(scene, request, Duration(6000));
  scene.require(response.status / 100 == 2, fmt::format("{} {} got {} {}", request.method, request.target,
                                                        response.status, response.body));
  return response.status / 100 == 2;
}

OperatorRequest put_numbered(uint64_t number, const std::string& document) {
  return {"PUT", fmt::format("/v1/layouts/{}", number), document};
}

bool begin_numbered(Scene& scene, uint64_t number) {
  return start_traffic(scene) && acknowledged(scene, put_numbered(number, numbered()));
}

OperatorRequest leaving(const std::string& instance) {
  constexpr auto kForm =
      R"({{"service":"app","version":"1","instance":"{}","zone":"a","address":"10.9.9.9:80","leaving":true,"number":1,"period_ms":1000}})";
  return {"POST", "/v1/beats", fmt::format(kForm, instance)};
}

enum class Cut { both_ways, from_it, to_it };

void cut(Scene& scene, const std::string& name, Cut how) {
  for (auto& host : scene.fleet.hosts()) {
    if (host->name == name) continue;
    if (how != Cut::to_it) scene.world.partition(name, host->name);
    if (how != Cut::from_it) scene.world.partition(host->name, name);
  }
}

/// Requests whose response changes with what was acknowledged since the partition, or which always need a
/// majority.
std::vector<OperatorRequest> requests_about_state() {
  return {
      {"GET", "/v1/layouts/current", ""},
      {"GET", "/v1/moves/app", ""},
      {"GET", "/v1/releases/layout/none", ""},
      {"GET", "/v1/purges", ""},
      {"PUT", "/v1/layouts/1002", numbered()},
      {"PUT", "/v1/layouts/1010", numbered(9)},
      {"PUT", "/v1/layouts/1011", numbered(9)},
      {"PUT", "/v1/moves/fresh", R"({"version":"1","within_ms":12000})"},
      {"PUT", "/v1/moves/none", R"({"version":"1","within_ms":12000})"},
      {"PUT", "/v1/moves/app", R"({"version":"7","within_ms":12000})"},
      {"PUT", "/v1/services/fresh", R"({"version":"1"})"},
      {"PUT", "/v1/services/none", R"({"version":"1"})"},
      {"PUT", "/v1/services/app", R"({"version":"1"})", {{"If-Match", "\"99\""}}},
      {"POST", "/v1/purges", R"({"kind":"tag","tag":"t"})"},
      {"PUT", "/v1/purges/known", R"({"service":"app","kind":"path","path":"/a/1"})"},
      {"PUT", "/v1/releases/layout/first", simulated_configuration("\"1\"", 9)},
      {"PUT", "/v1/releases/layout/none/withdrawal", R"({"reason":"x"})"},
      {"PUT", "/v1/drains/node/nobody", R"({"drained":false})"},
      {"DELETE", "/v1/workers/nobody", ""},
      {"PUT", "/v1/holders/nobody", R"({"holder":false})"},
      leaving("nobody"),
  };
}

/// Sends requests to a partitioned node: each needs a majority, so each gets a 503 with Retry-After.
struct CutOffNode {
  Scene& scene;
  simulation::Host& host;
  std::shared_ptr<int> sent = std::make_shared<int>(0);
  std::shared_ptr<int> unanswered = std::make_shared<int>(0);

  void send(const OperatorRequest& request) const {
    ++*unanswered;
    scene.fleet.spawn_outside([node = *this, request] {
      auto from = node.scene.world.now();
      auto response = send_to_host(node.scene, node.host, request);
      ++*node.sent;
      --*node.unanswered;
      auto summary =
          fmt::format("{} {} at a partitioned relay got {} after {} ms: {}", request.method, request.target,
                      response.status, (node.scene.world.now() - from).count(), response.body);
      node.scene.require(response.status == 503 && !base::header(response.headers, "Retry-After").empty(),
                         summary);
    });
  }

  /// A document that is invalid in itself may be rejected without a majority.
  void send_invalid(const char* document) const {
    auto status = send_to_host(scene, host, put_numbered(1030, document)).status;
    scene.require(status == 422 || status == 503, fmt::format("an invalid configuration got {}", status));
  }

  bool has_configuration(int64_t number) const {
    auto response = send_to_host(scene, host, {"GET", "/v1/layouts/current", ""});
    return response.status == 200 && parsed(response.body).at("number").integer_or() == number;
  }
};

/// The other nodes acknowledge a change meanwhile, which the partitioned node does not receive.
void change_configuration_elsewhere(Scene& scene, const simulation::Host& cut_off) {
  scene.fleet.spawn_outside([&scene, &cut_off] {
    for (auto& other : scene.fleet.hosts())
      if (other->name != cut_off.name &&
          send_to_host(scene, *other, put_numbered(1020, numbered(4, true))).status == 200)
        return;
    scene.require(false, "no other node accepted a configuration");
  });
}

/// A node is partitioned for 20 s and gets requests meanwhile: it returns no state, neither confirms nor
/// rejects, and responds so before the client's timeout.
void control_cut(Scene& scene, Cut how) {
  scene.duration = Duration(60000);
  scene.required_faults = {"cut"};
  scene.script = [&scene, how] {
    if (!begin_numbered(scene, 1010)) return;
    if (!purge(scene, "known", "path", "/c/1")) scene.require(false, "a purge was not accepted");
    scene.fleet.sleep(Duration(1000));  // every node has received it
    CutOffNode node{scene, scene.fleet.at(scene.world.below(2) ? "h2" : "e1")};
    cut(scene, node.host.name, how);
    change_configuration_elsewhere(scene, node.host);
    for (auto end = scene.world.now() + Duration(20000); scene.world.now() < end;) {
      for (auto& request : requests_about_state()) node.send(request);
      for (const auto* invalid : {"{", R"({"content":{"services":{},"routes":[{"prefix":"x"}]}})"})
        node.send_invalid(invalid);
      scene.fleet.sleep(Duration(50 + scene.world.below(900)));
    }
    scene.require(scene.fleet.wait_until(Duration(2000), [&] { return *node.unanswered == 0; }),
                  "a request got no response");
    scene.world.heal_all();
    scene.require(scene.fleet.wait_until(Duration(3000), [&] { return node.has_configuration(1020); }),
                  "a relay does not return the newest configuration after its partition has ended");
    scene.figures["asked"] = static_cast<uint64_t>(*node.sent);
  };
}

/// A node that holds an object is partitioned, and the object is purged elsewhere. Clients keep requesting it
/// from the node, which never serves it from two seconds after the purge's acknowledgement on.
void partitioned_node_serves_nothing_purged(Scene& scene) {
  scene.duration = Duration(60000);
  scene.required_faults = {"cut"};
  scene.script = [&scene] {
    constexpr int kOtherRequests = 5;
    constexpr int kLifetimeSeconds = 20;
    constexpr int kRounds = 3;
    constexpr Duration kPurgeBound(2000);
    constexpr Duration kPartition(6000);
    constexpr Duration kRequestPeriod(100);
    if (!start_traffic(scene, kOtherRequests, simulated_configuration("\"1\"", kLifetimeSeconds))) return;
    auto& node = scene.fleet.at("e1");
    for (int round = 0; round < kRounds; ++round) {
      const auto path = fmt::format("/c/{}", round);
      scene.require(scene.fleet.wait_until(Duration(3000),
                                           [&] { return scene.fleet.call("GET", path, "", &node) == 200; }),
                    "the node does not serve the object");
      cut(scene, node.name, Cut::both_ways);
      const auto name = fmt::format("round-{}", round);
      scene.require(scene.fleet.wait_until(Duration(3000), [&] { return purge(scene, name, "path", path); }),
                    "no node accepted the purge");
      const TimePoint purged = scene.world.now();
      for (; scene.world.now() < purged + kPartition; scene.fleet.sleep(kRequestPeriod)) {
        const bool is_late = scene.world.now() > purged + kPurgeBound;
        const int status = scene.fleet.call("GET", path, "", &node);
        scene.require(!is_late || status != 200, fmt::format("{} was served {} ms after its purge", path,
                                                             (scene.world.now() - purged).count()));
      }
      scene.world.heal_all();
      scene.fleet.sleep(Duration(3000));
    }
  };
}

/// Two operators concurrently send different content with the same number, to two nodes: exactly one is
/// acknowledged, and its content is in force; the other gets a conflict, now and later.
void same_number(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    for (uint64_t number = 1011; number < 1023; ++number) {
      std::vector<OperatorRequest> requests{put_numbered(number, numbered(2)),
                                            put_numbered(number, numbered(3))};
      std::vector<int> statuses(2, 0);
      int left = 2;
      for (size_t k = 0; k < 2; ++k)
        scene.fleet.spawn_outside([&, k] {
          statuses[k] = request_until_clear(scene, requests[k], Duration(8000)).status;
          --left;
        });
      scene.require(scene.fleet.wait_until(Duration(9000), [&] { return left == 0; }),
                    "an operator got no conclusive response");
      bool one = (statuses[0] == 200) != (statuses[1] == 200);
      scene.require(one && statuses[0] + statuses[1] == 200 + 409,
                    fmt::format("requests with the same number got {} and {}", statuses[0], statuses[1]));
      size_t won = statuses[0] == 200 ? 0 : 1;
      auto held = request_until_clear(scene, {"GET", "/v1/layouts/current", ""}, Duration(4000));
      scene.require(
          parsed(held.body).at("stated").string_or() == parsed(requests[won].body).at("stated").string_or(),
          "the current configuration is not the acknowledged one: " + held.body);
      auto again = request_until_clear(scene, requests[won], Duration(4000));
      scene.require(again.status == 200 && !parsed(again.body).at("changed").bool_or(),
                    "repeating the acknowledged request got " + again.body);
      auto older = request_until_clear(scene, put_numbered(number - 1, numbered(8)), Duration(4000));
      scene.require(older.status == 200 && !parsed(older.body).at("changed").bool_or(),
                    "a request with an older number got " + older.body);
    }
  };
}

/// Repeats a request as after a lost response: concurrently, each copy to a random node.
void repeat_concurrently(Scene& scene, const OperatorRequest& request, int copies) {
  int left = copies;
  for (int k = 0; k < copies; ++k)
    scene.fleet.spawn_outside([&] {
      acknowledged(scene, request);
      --left;
    });
  scene.require(scene.fleet.wait_until(Duration(8000), [&] { return left == 0; }),
                "a repeated request got no conclusive response");
}

/// Each kind of request is repeated after it was acknowledged, after a newer one and eight times
/// concurrently: it is acknowledged again, and executed once.
void orders_again(Scene& scene) {
  scene.duration = Duration(90000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    std::vector<std::pair<OperatorRequest, OperatorRequest>> pairs{
        {put_numbered(1011, numbered(2)), put_numbered(1013, numbered(3))},
        {{"POST", "/v1/purges", R"({"kind":"path","path":"/c/1"})"},
         {"POST", "/v1/purges", R"({"kind":"path","path":"/c/2"})"}},
        {{"PUT", "/v1/purges/one", R"({"service":"content","kind":"path","path":"/c/1"})"},
         {"PUT", "/v1/purges/two", R"({"service":"content","kind":"path","path":"/c/1"})"}},
        {{"PUT", "/v1/releases/layout/next", simulated_configuration("\"1\"", 5), {{"If-None-Match", "*"}}},
         {"PUT", "/v1/releases/layout/later", simulated_configuration("\"1\"", 6)}},
        {{"PUT", "/v1/releases/layout/first/withdrawal", R"({"reason":"x"})", {{"If-None-Match", "*"}}},
         {"PUT", "/v1/drains/node/nobody", R"({"drained":true,"reason":"x"})"}},
        {{"DELETE", "/v1/workers/gone1", ""}, {"DELETE", "/v1/workers/gone2", ""}},
        {leaving("leaver1"), leaving("leaver2")},
    };
    for (auto& [older, newer] : pairs) {
      if (!acknowledged(scene, older)) return;
      repeat_concurrently(scene, older, 8);
      if (!acknowledged(scene, newer)) return;
      acknowledged(scene, older);
    }
    auto held = request_until_clear(scene, {"GET", "/v1/layouts/current", ""}, Duration(4000));
    scene.require(parsed(held.body).at("number").integer_or() == 1013,
                  "an older configuration replaced a newer one: " + held.body);
    auto known = request_until_clear(scene, pairs[2].first, Duration(4000));
    scene.require(parsed(known.body).at("was_known").bool_or(),
                  "a named purge was executed twice: " + known.body);
  };
}

/// A version rollout is requested again while it runs, after a newer one replaced it, and after the newer
/// one has ended; the newer one is not affected.
void moves_again(Scene& scene) {
  scene.duration = Duration(90000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    auto move_to = [](const char* version) {
      return OperatorRequest{"PUT", "/v1/moves/app",
                             fmt::format(R"({{"version":"{}","within_ms":12000}})", version)};
    };
    auto latest = [&scene] {
      return parsed(request_until_clear(scene, {"GET", "/v1/moves/app", ""}, Duration(4000)).body);
    };
    repeat_concurrently(scene, move_to("2"), 8);
    auto trial = [&scene] {
      auto state = request_until_clear(scene, {"GET", "/v1/services/app", ""}, Duration(4000));
      return parsed(state.body).at("trial_number").string_or();
    };
    scene.require(trial() == "1", "a rollout requested eight times concurrently started several canaries");
    if (!acknowledged(scene, move_to("1"))) return;
    repeat_concurrently(scene, move_to("2"), 4);
    scene.require(trial() == "1", "a rollout that a newer one had replaced was started again");
    scene.require(latest().at("version").string_or() == "1",
                  "a repeated rollout request replaced a newer rollout");
    if (!acknowledged(scene, move_to("1"))) return;
    // After some time an identical request counts as a new one.
    scene.fleet.sleep(Duration(31000));
    if (!acknowledged(scene, move_to("2"))) return;
    scene.require(trial() == "2" && latest().at("version").string_or() == "2",
                  "a new rollout with an earlier request's content was not started");
  };
}

NamedCases cases_of_cuts() {
  return {{"control_cut", SimCase([](Scene& scene) { control_cut(scene, Cut::both_ways); })},
          {"control_cut_from", SimCase([](Scene& scene) { control_cut(scene, Cut::from_it); })},
          {"control_cut_to", SimCase([](Scene& scene) { control_cut(scene, Cut::to_it); })}};
}
}  // namespace

NamedCases control_api_scenarios() {
  NamedCases all{{"same_number", same_number},
                 {"orders_again", orders_again},
                 {"moves_again", moves_again},
                 {"partitioned_node_serves_nothing_purged", partitioned_node_serves_nothing_purged}};
  all.merge(cases_of_cuts());
  return all;
}

}  // namespace dunlinwing::test
