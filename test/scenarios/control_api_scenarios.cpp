// What operators are told, and when: by a relay that is cut off, by two relays that are asked
// at once under one number, and by another relay after an answer was lost.
#include "scenarios/scenario.hpp"

namespace dunlinwing::test {
namespace {

constexpr Duration kPatience{1000};  // of a client, before it goes on to another node
// Numbers of configurations are above 1000 here, since the checker takes them and the
// generations of releases for one count.

struct Order {
  std::string method, target, body;
  base::Headers headers = {};
};

// A numbered configuration as it is stated; `more` adds a service of the name "fresh".
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

// One try at one host: status 0 when it was silent for as long as a client waits.
base::Response ask(Scene& scene, simulation::Host& host, const Order& order) {
  base::Request request{"", order.method, order.target, order.body, order.headers};
  auto exchange = scene.fleet.exchange(host, request, true, kPatience);
  if (!exchange.complete) return {0, {}, {}};
  return exchange.response;
}

// As an operator goes on: to another host after silence or a 5xx, until the answer is clear.
base::Response order_until_clear(Scene& scene, const Order& order, Duration longest) {
  base::Response response;
  scene.fleet.wait_until(longest, [&] {
    auto& hosts = scene.fleet.hosts();
    auto& host = *hosts[scene.world.below(hosts.size())];
    if (host.up()) response = ask(scene, host, order);
    return response.status / 100 == 2 || response.status / 100 == 4;
  });
  return response;
}

bool acknowledged(Scene& scene, const Order& order) {
  auto response = order_until_clear(scene, order, Duration(6000));
  scene.require(response.status / 100 == 2,
                fmt::format("{} {} got {} {}", order.method, order.target, response.status, response.body));
  return response.status / 100 == 2;
}

Order put_numbered(uint64_t number, const std::string& document) {
  return {"PUT", fmt::format("/v1/layouts/{}", number), document};
}

bool begin_numbered(Scene& scene, uint64_t number) {
  return start_traffic(scene) && acknowledged(scene, put_numbered(number, numbered()));
}

Order leaving(const std::string& instance) {
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

// Each is answered otherwise by who knows what was acknowledged since the cut, or needs a
// majority in any case.
std::vector<Order> orders_about_state() {
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

// A relay is cut off for twenty seconds and asked all the while: it shows no state, neither
// confirms nor rejects, and says so before the client goes away; what is invalid in itself it
// may reject.
void control_cut(Scene& scene, Cut how) {
  scene.duration = Duration(60000);
  scene.required_faults = {"cut"};
  scene.script = [&scene, how] {
    if (!begin_numbered(scene, 1010)) return;
    if (!purge(scene, "known", "path", "/c/1")) scene.require(false, "a purge was not taken");
    scene.fleet.sleep(Duration(1000));  // every relay has heard of it
    auto* host = &scene.fleet.at(scene.world.below(2) ? "h2" : "e1");
    cut(scene, host->name, how);
    auto asked = std::make_shared<int>(0), left = std::make_shared<int>(0);
    auto ask_cut_off = [&scene, host, asked, left](const Order& order) {
      ++*left;
      scene.fleet.spawn_outside([&scene, host, asked, left, order] {
        auto from = scene.world.now();
        auto response = ask(scene, *host, order);
        ++*asked;
        --*left;
        auto said = fmt::format("{} {} at a relay cut off got {} after {} ms: {}", order.method, order.target,
                                response.status, (scene.world.now() - from).count(), response.body);
        scene.require(response.status == 503 && !base::header(response.headers, "Retry-After").empty(), said);
      });
    };
    // The others go on meanwhile, and what they acknowledge is news to the one cut off.
    scene.fleet.spawn_outside([&scene, host] {
      for (auto& other : scene.fleet.hosts())
        if (other->name != host->name &&
            ask(scene, *other, put_numbered(1020, numbered(4, true))).status == 200)
          return;
      scene.require(false, "nobody else took a configuration");
    });
    for (auto end = scene.world.now() + Duration(20000); scene.world.now() < end;) {
      for (auto& order : orders_about_state()) ask_cut_off(order);
      for (auto* invalid : {"{", R"({"content":{"services":{},"routes":[{"prefix":"x"}]}})"}) {
        auto status = ask(scene, *host, put_numbered(1030, invalid)).status;
        scene.require(status == 422 || status == 503, fmt::format("an invalid configuration got {}", status));
      }
      scene.fleet.sleep(Duration(50 + scene.world.below(900)));
    }
    scene.require(scene.fleet.wait_until(Duration(2000), [&] { return *left == 0; }),
                  "a call was never answered");
    scene.world.heal_all();
    scene.require(
        scene.fleet.wait_until(Duration(3000),
                               [&] {
                                 auto response = ask(scene, *host, {"GET", "/v1/layouts/current", ""});
                                 return response.status == 200 &&
                                        parsed(response.body).at("number").integer_or() == 1020;
                               }),
        "the newest configuration does not come from a relay that is joined again");
    scene.figures["asked"] = static_cast<uint64_t>(*asked);
  };
}

// Two operators state another content under one number at once, at two relays: exactly one
// is confirmed, and that is the content held; the other is told so for good.
void same_number(Scene& scene) {
  scene.duration = Duration(60000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    for (uint64_t number = 1011; number < 1023; ++number) {
      std::vector<Order> orders{put_numbered(number, numbered(2)), put_numbered(number, numbered(3))};
      std::vector<int> statuses(2, 0);
      int left = 2;
      for (size_t k = 0; k < 2; ++k)
        scene.fleet.spawn_outside([&, k] {
          statuses[k] = order_until_clear(scene, orders[k], Duration(8000)).status;
          --left;
        });
      scene.require(scene.fleet.wait_until(Duration(9000), [&] { return left == 0; }),
                    "an operator got no clear answer");
      bool one = (statuses[0] == 200) != (statuses[1] == 200);
      scene.require(one && statuses[0] + statuses[1] == 200 + 409,
                    fmt::format("under one number {} and {} were answered", statuses[0], statuses[1]));
      size_t won = statuses[0] == 200 ? 0 : 1;
      auto held = order_until_clear(scene, {"GET", "/v1/layouts/current", ""}, Duration(4000));
      scene.require(
          parsed(held.body).at("stated").string_or() == parsed(orders[won].body).at("stated").string_or(),
          "what is held is not what was confirmed: " + held.body);
      auto again = order_until_clear(scene, orders[won], Duration(4000));
      scene.require(again.status == 200 && !parsed(again.body).at("changed").bool_or(),
                    "the same again under its number got " + again.body);
      auto older = order_until_clear(scene, put_numbered(number - 1, numbered(8)), Duration(4000));
      scene.require(older.status == 200 && !parsed(older.body).at("changed").bool_or(),
                    "an older number got " + older.body);
    }
  };
}

// One whose answer is lost is sent again, here to a relay drawn anew, by as many at once.
void again_at_once(Scene& scene, const Order& order, int copies) {
  int left = copies;
  for (int k = 0; k < copies; ++k)
    scene.fleet.spawn_outside([&] {
      acknowledged(scene, order);
      --left;
    });
  scene.require(scene.fleet.wait_until(Duration(8000), [&] { return left == 0; }),
                "an order sent again got no clear answer");
}

// Each kind of order is sent again after it was taken, after a newer one and eight times at
// once: it is acknowledged again, and done once.
void orders_again(Scene& scene) {
  scene.duration = Duration(90000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    std::vector<std::pair<Order, Order>> pairs{
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
      again_at_once(scene, older, 8);
      if (!acknowledged(scene, newer)) return;
      acknowledged(scene, older);
    }
    auto held = order_until_clear(scene, {"GET", "/v1/layouts/current", ""}, Duration(4000));
    scene.require(parsed(held.body).at("number").integer_or() == 1013,
                  "an older configuration came back: " + held.body);
    auto known = order_until_clear(scene, pairs[2].first, Duration(4000));
    scene.require(parsed(known.body).at("was_known").bool_or(),
                  "a named purge was done twice: " + known.body);
  };
}

// A move is asked for again while it runs, after a newer one took its place, and after that one
// has ended; the newer one is not disturbed.
void moves_again(Scene& scene) {
  scene.duration = Duration(90000);
  scene.script = [&scene] {
    if (!begin_numbered(scene, 1010)) return;
    auto move_to = [](const char* version) {
      return Order{"PUT", "/v1/moves/app", fmt::format(R"({{"version":"{}","within_ms":12000}})", version)};
    };
    auto latest = [&scene] {
      return parsed(order_until_clear(scene, {"GET", "/v1/moves/app", ""}, Duration(4000)).body);
    };
    again_at_once(scene, move_to("2"), 8);
    auto trial = [&scene] {
      auto state = order_until_clear(scene, {"GET", "/v1/services/app", ""}, Duration(4000));
      return parsed(state.body).at("trial_number").string_or();
    };
    scene.require(trial() == "1", "one move asked for eight times at once opened several trials");
    if (!acknowledged(scene, move_to("1"))) return;
    again_at_once(scene, move_to("2"), 4);
    scene.require(trial() == "1", "a move that a newer one had replaced was begun again");
    scene.require(latest().at("version").string_or() == "1",
                  "a move sent again took the place of a newer one");
    if (!acknowledged(scene, move_to("1"))) return;
    // After a while the same words are a new order.
    scene.fleet.sleep(Duration(31000));
    if (!acknowledged(scene, move_to("2"))) return;
    scene.require(trial() == "2" && latest().at("version").string_or() == "2",
                  "a new move in old words was not begun");
  };
}

NamedCases cases_of_cuts() {
  return {{"control_cut", SimCase([](Scene& scene) { control_cut(scene, Cut::both_ways); })},
          {"control_cut_from", SimCase([](Scene& scene) { control_cut(scene, Cut::from_it); })},
          {"control_cut_to", SimCase([](Scene& scene) { control_cut(scene, Cut::to_it); })}};
}
}  // namespace

NamedCases control_api_scenarios() {
  NamedCases all{{"same_number", same_number}, {"orders_again", orders_again}, {"moves_again", moves_again}};
  all.merge(cases_of_cuts());
  return all;
}

}  // namespace dunlinwing::test
