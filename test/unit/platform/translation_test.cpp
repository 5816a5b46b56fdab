// platform/ as a translator: what each call becomes, what each answer means, and that
// none of its words stands anywhere in the product.
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "config/routing_configuration.hpp"
#include "platform/configuration_translator.hpp"
#include "platform/control_adapter.hpp"
#include "platform/page.hpp"
#include "platform/protocol_adapter.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {

struct Asked {
  std::string method, target, body;
};

// One call through the gate, to a product that answers all alike.
struct Gate {
  std::vector<Asked> asked;
  base::Response says{200, {}, "{}"};
  base::Response call(const std::string& method, const std::string& target, const std::string& body = {}) {
    base::Request request{"", method, target, body, {}};
    return platform::handle(request, Duration(1500), [this](base::Request& x) {
      asked.push_back({x.method, x.target, x.body});
      return says;
    });
  }
};

void passed(const std::string& method, const std::string& target, const std::string& body,
            const Asked& want) {
  Gate g;
  same(g.call(method, target, body).status, 200, target);
  expect(g.asked.size() == 1, target + ": one call to the product");
  same(g.asked[0].method + " " + g.asked[0].target, want.method + " " + want.target, target);
  same(g.asked[0].body, want.body, target);
}

config::RoutingConfigurationResult read(const OperatorConfiguration& p) {
  auto l = std::get<platform::TranslatedConfiguration>(platform::translate_configuration(p.text()));
  same(l.number, p.revision, "the number");
  return config::parse_routing_configuration("x", l.document);
}

void fields() {
  auto g = read(first_configuration(590));
  auto* l = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&g);
  expect(l, "the first page is valid");
  auto& x = **l;
  auto* o = x.match("GET", "a.example:80", "/obj/1?q").route;
  expect(o && o->kind == config::RequestKind::cacheable && o->cache_lifetime == Duration(6000) &&
             o->timeout == Duration(1500) && o->latency_target == Duration(200) && o->priority == 2 &&
             o->max_attempts == 2 && o->name == "r-obj",
         "a cacheable route");
  auto* t = x.match("GET", "B.example", "/get/1").route;
  expect(t && t->kind == config::RequestKind::safe && t->weighted_services.size() == 2 &&
             t->weighted_services[0].service == "huvo" && t->weighted_services[0].weight == 70,
         "a split");
  auto* p = x.match("POST", "a.example", "/post/1").route;
  expect(p && p->kind == config::RequestKind::unsafe && p->weighted_services.size() == 1,
         "a route that may run once");
  expect(!x.match("GET", "c.example", "/get/1").route, "another host");
  expect(x.services.at("huvo").rate == 590 && x.services.at("huvo").max_connections == 130 &&
             x.services.at("huvo").health_check_path == "/health",
         "a service");
  expect(x.head_bytes == 16384 && x.body_bytes == 67108864 && x.head_time == Duration(3000) &&
             x.idle_time == Duration(15000),
         "the limits");
}

void invalid() {
  for (auto& [what, text] : invalid_texts(first_configuration(), 9)) {
    Gate g;
    g.says = {422, {}, "{}"};
    auto st = g.call("PUT", "/configuration", text).status;
    same(st, 400, what);
    if (g.asked.empty()) continue;  // it could not be read at all
    auto json = std::get<base::Json>(base::Json::parse(g.asked[0].body));
    expect(std::holds_alternative<std::vector<base::ValidationError>>(
               config::parse_routing_configuration("x", json.at("content"))),
           what + " is no valid layout");
  }
}

void configuration() {
  auto p = first_configuration();
  Gate g;
  same(g.call("PUT", "/configuration", p.text()).status, 200, "put");
  same(g.asked[0].target, std::string("/v1/layouts/3"), "its number");
  auto json = std::get<base::Json>(base::Json::parse(g.asked[0].body));
  same(json.at("stated").string_or(), p.text(), "the text as it came");
  g.says.body = g.asked[0].body;
  same(g.call("GET", "/configuration").body, p.text(), "the text as it came, read back");
  g.says = {404, {}, "{}"};
  same(g.call("GET", "/configuration").status, 404, "none yet");
  g.says = {503, {}, "{}"};
  same(g.call("PUT", "/configuration", p.text()).status, 503, "no majority");
  g.says = {409, {}, "{}"};
  auto contested = g.call("PUT", "/configuration", p.text());
  same(contested.status, 503, "held under this number with other content");
  same(base::header(contested.headers, "Retry-After"), std::string("1"), "when to come back");
  g.says = {503, {{"Retry-After", "2"}}, "{}"};
  same(base::header(g.call("PUT", "/configuration", p.text()).headers, "Retry-After"), std::string(),
       "none is passed on: another node may take the call at once");
  same(g.call("POST", "/configuration", p.text()).status, 405, "another method");
}

void with_traffic() {
  passed(
      "PUT", "/instances/i-1",
      R"({"backend":"b","address":"10.0.0.1:80","zone":"z","revision":"v1","slots":32,"state":"ready","cold-remaining-s":1.25,"call-seq":4})",
      {"POST", "/v1/beats",
       R"({"service":"b","version":"v1","instance":"i-1","zone":"z","address":"10.0.0.1:80","capacity":32,"leaving":false,"cold_ms":1250,"number":4,"period_ms":1500})"});
  passed(
      "PUT", "/instances/i-1",
      R"({"backend":"b","address":"10.0.0.1:80","zone":"z","revision":"v1","slots":3,"state":"draining","call-seq":5})",
      {"POST", "/v1/beats",
       R"({"service":"b","version":"v1","instance":"i-1","zone":"z","address":"10.0.0.1:80","capacity":3,"leaving":true,"cold_ms":0,"number":5,"period_ms":1500})"});
  passed("DELETE", "/instances/i-1", "", {"DELETE", "/v1/workers/i-1", ""});
  passed("POST", "/rollouts", R"({"backend":"b","target-revision":"v2","rollout-within-s":12.5})",
         {"PUT", "/v1/moves/b", R"({"version":"v2","within_ms":12500})"});
  passed("POST", "/purge", R"({"hostname":"h","path":"/p"})",
         {"POST", "/v1/purges", R"({"kind":"path","host":"h","path":"/p"})"});
  passed("POST", "/purge", R"({"tag":"t"})", {"POST", "/v1/purges", R"({"kind":"tag","tag":"t"})"});
  passed("GET", "/readiness", "", {"GET", "/readyz", ""});
  Gate g;
  g.says = {200, {}, R"({"state":"running","version":"v2","why":"x"})"};
  same(g.call("GET", "/rollouts/b").body, std::string(R"({"state":"running","target-revision":"v2"})"),
       "a move's state");
  same(g.asked[0].target, std::string("/v1/moves/b"), "where it is read");
  g.says = {503, {}, "{}"};
  same(g.call("GET", "/readiness").status, 503, "not ready");
  for (auto* bad : {"", "{", "[]"})
    same(g.call("POST", "/rollouts", bad).status, 400, "a rollout that cannot be read");
  same(g.call("PUT", "/instances/i-1", "{").status, 400, "a beat that cannot be read");
  g.says = {409, {}, "{}"};
  same(g.call("POST", "/rollouts", R"({"backend":"b","target-revision":"v2","rollout-within-s":1})").status,
       409, "one is under way");
}

void others() {
  for (auto* t : {"/v1/layouts/current", "/status", "/instances", "/instances/", "/instances/a/b",
                  "/rollouts", "/rollouts/", "/configuration/x", "/"}) {
    Gate g;
    g.says = {207, {}, "as it is"};
    auto response = g.call("GET", t);
    expect(response.status == 207 && response.body == "as it is" && g.asked.size() == 1 &&
               g.asked[0].target == t,
           std::string(t) + " is the product's own");
  }
}

struct Draw final : base::Random {
  std::mt19937_64 r{1};
  uint64_t draw() override { return r(); }
};

void looks() {
  using proxy::ResponseClass;
  auto f = platform::protocol_adapter();
  membership::BackendInstance instance{"i-1", "b", "v1", "z", "10.0.0.1:80"};
  base::Request request{"id1", "GET", "/", "", {}};
  auto look = [&](int st, base::Headers headers) {
    return f->classify({st, std::move(headers), "x"}, instance, request);
  };
  auto is = [&](ResponseClass want, int st, base::Headers headers) {
    expect(look(st, headers) == want, fmt::format("{} with {} headers", st, headers.size()));
  };
  is(ResponseClass::good, 200, {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}});
  is(ResponseClass::good, 404, {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}});
  is(ResponseClass::good, 304, {{"Attempt-Id", "id1"}});
  is(ResponseClass::invalid, 200, {{"Attempt-Id", "id1"}});                           // without the stamp
  is(ResponseClass::invalid, 200, {{"Attempt-Id", "id0"}, {"Edge-Signature", "s"}});  // another's
  is(ResponseClass::invalid, 200, {{"Edge-Signature", "s"}});                         // nobody's
  is(ResponseClass::invalid, 200,
     {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}, {"Content-Encoding", "gzip"}});
  is(ResponseClass::failed, 500, {{"Attempt-Id", "id1"}});
  is(ResponseClass::failed, 504, {{"Attempt-Id", "id1"}});
  is(ResponseClass::wrong_instance, 421, {{"Instance-Id", "i-2"}});
  for (int st : {400, 429, 503}) is(ResponseClass::not_executed, st, {{"Not-Executed", "1"}});
  for (int st : {408, 429, 503})
    is(ResponseClass::invalid, st, {{"Attempt-Id", "id1"}});  // promises that the worker did not make
  is(ResponseClass::invalid, 503, {{"Attempt-Id", "id0"}, {"Not-Executed", "1"}});  // said of another request
}

void requests() {
  auto f = platform::protocol_adapter();
  Draw c;
  base::Request request{"",
                        "GET",
                        "/",
                        "",
                        {{"Attempt-Id", "id1"},
                         {"Time-Remaining", "480"},
                         {"Connection", "x-one"},
                         {"X-One", "1"},
                         {"X-Two", "2"}}};
  auto a = f->read_identity(request, c);
  expect(a.id == "id1" && a.remaining == Duration(480), "what a client says of itself");
  request.id = a.id;
  membership::BackendInstance instance{"i-1", "b", "v1", "z", "10.0.0.1:80"};
  f->prepare_request(request, {instance, "e1", 3, Duration(333)});
  auto h = [&](const char* n) { return base::header(request.headers, n); };
  expect(h("Attempt-Id") == "id1" && h("Time-Remaining") == "333" && h("Target-Instance") == "i-1",
         "what a worker is told");
  expect(h("X-One").empty() && h("Connection").empty() && h("X-Two") == "2",
         "what concerns one connection goes");
  base::Request bare{"", "GET", "/", "", {{"Time-Remaining", "soon"}}};
  auto b = f->read_identity(bare, c);
  expect(!b.id.empty() && !b.remaining, "nothing that can be read");
}

void answers() {
  auto f = platform::protocol_adapter();
  auto response = f->local_response(503, "full", proxy::ExecutionStatus::not_executed, Duration(1250));
  expect(response.status == 503 && base::header(response.headers, "Retry-After") == "1.250",
         "fractions of a second");
  expect(base::header(f->local_response(502, "x", proxy::ExecutionStatus::unknown, {}).headers, "Retry-After")
             .empty(),
         "none when it does not help");
  base::Response kept{
      200, {{"Attempt-Id", "first"}, {"Edge-Signature", "s"}, {"Connection", "close"}, {"ETag", "e"}}, "x"};
  f->strip_internal_headers(kept);
  f->finish_response(kept, "second", 0);
  expect(base::header(kept.headers, "Attempt-Id") == "second" &&
             base::header(kept.headers, "Edge-Signature") == "s" &&
             base::header(kept.headers, "Connection").empty() && base::header(kept.headers, "ETag") == "e",
         "a kept copy goes out under the id of who asks");
  base::Response told{200, {{"Server-Load", "3,1,8"}, {"Object-Tags", "t1 t2"}}, ""};
  auto l = f->reported_load(told);
  expect(l && l->running == 3 && l->waiting == 1 && l->slots == 8 && f->cache_tags(told).size() == 2,
         "load and tags");
  expect(!f->reported_load({200, {{"Server-Load", "3"}}, ""}), "a load that cannot be read");
}

// Comments too: the product does not know its users' platform.
void no_word_inside() {
  namespace fs = std::filesystem;
  for (auto& e : fs::recursive_directory_iterator(std::string(DUNLINWING_DOCS) + "/../src")) {
    if (!e.is_regular_file()) continue;
    std::ifstream in(e.path());
    std::stringstream b;
    b << in.rdbuf();
    for (auto* word :
         {"Attempt-Id",       "Time-Remaining",   "Target-Instance", "Edge-Signature", "Not-Executed",
          "Server-Load",      "Object-Tags",      "Instance-Id",     "/instances",     "/rollouts",
          "/configuration",   "\"/readiness",     "entry-kind",      "path-prefix",    "traffic-split",
          "route-type",       "target-latency-s", "max-attempts",    "cache-ttl-s",    "call-seq",
          "cold-remaining-s", "rollout-within-s", "target-revision", "beat-target"})
      expect(b.str().find(word) == std::string::npos,
             fmt::format("{} stands in {}", word, e.path().filename().string()));
  }
}
}  // namespace

std::vector<Case> platform_words_cases() {
  return {{"platform: a configuration's fields", fields},
          {"platform: each invalid form is refused", invalid},
          {"platform: a configuration goes in and comes back as it was", configuration},
          {"platform: beats, ends, rollouts, purges and readiness", with_traffic},
          {"platform: other paths are the product's own", others},
          {"platform: what a worker's answer is", looks},
          {"platform: requests are dressed", requests},
          {"platform: answers of our own, kept copies, load and tags", answers},
          {"platform: none of its words stands in the product", no_word_inside}};
}

}  // namespace dunlinwing::test
