/// @file
/// The translation in platform/: the calls it makes, how it classifies responses, and that the product
/// contains none of the platform's names.
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

struct ReceivedCall {
  std::string method, target, body;
};

/// Passes calls through the adapter to a stub of the product that returns the same response to each.
struct AdapterUnderTest {
  std::vector<ReceivedCall> received;  ///< by the product
  base::Response response{200, {}, "{}"};

  base::Response call(const std::string& method, const std::string& target, const std::string& body = {}) {
    base::Request request{"", method, target, body, {}};
    return platform::handle(request, Duration(1500), [this](base::Request& translated) {
      received.push_back({translated.method, translated.target, translated.body});
      return response;
    });
  }
};

void expect_translated(const std::string& method, const std::string& target, const std::string& body,
                       const ReceivedCall& expected) {
  AdapterUnderTest adapter;
  same(adapter.call(method, target, body).status, 200, target);
  expect(adapter.received.size() == 1, target + ": not exactly one call to the product");
  same(adapter.received[0].method + " " + adapter.received[0].target, expected.method + " " + expected.target,
       target);
  same(adapter.received[0].body, expected.body, target);
}

config::RoutingConfigurationResult translate_and_parse(const OperatorConfiguration& source) {
  auto translated =
      std::get<platform::TranslatedConfiguration>(platform::translate_configuration(source.text()));
  same(translated.number, source.revision, "the number");
  return config::parse_routing_configuration("x", translated.document);
}

void configuration_fields() {
  auto parsed = translate_and_parse(first_configuration(590));
  auto* valid = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&parsed);
  expect(valid, "the first configuration is not valid");
  const auto& configuration = **valid;
  auto* cacheable = configuration.match("GET", "a.example:80", "/obj/1?q").route;
  expect(cacheable && cacheable->kind == config::RequestKind::cacheable &&
             cacheable->cache_lifetime == Duration(6000) && cacheable->timeout == Duration(1500) &&
             cacheable->latency_target == Duration(200) && cacheable->priority == 2 &&
             cacheable->max_attempts == 2 && cacheable->name == "r-obj",
         "a cacheable route");
  auto* split = configuration.match("GET", "B.example", "/get/1").route;
  expect(split && split->kind == config::RequestKind::idempotent && split->weighted_services.size() == 2 &&
             split->weighted_services[0].service == "huvo" && split->weighted_services[0].weight == 70,
         "a split");
  auto* unsafe = configuration.match("POST", "a.example", "/post/1").route;
  expect(
      unsafe && unsafe->kind == config::RequestKind::non_idempotent && unsafe->weighted_services.size() == 1,
      "a non-idempotent route");
  expect(!configuration.match("GET", "c.example", "/get/1").route, "another host");
  expect(configuration.services.at("huvo").rate == 590 &&
             configuration.services.at("huvo").max_connections == 130 &&
             configuration.services.at("huvo").health_check_path == "/health",
         "a service");
  expect(configuration.head_bytes == 16384 && configuration.body_bytes == 67108864 &&
             configuration.head_timeout == Duration(3000) && configuration.idle_timeout == Duration(15000),
         "the limits");
}

void invalid_configurations() {
  for (auto& [what, text] : invalid_texts(first_configuration(), 9)) {
    AdapterUnderTest adapter;
    adapter.response = {422, {}, "{}"};
    auto status = adapter.call("PUT", "/configuration", text).status;
    same(status, 400, what);
    if (adapter.received.empty()) continue;  // it could not be parsed
    auto json = std::get<base::Json>(base::Json::parse(adapter.received[0].body));
    expect(std::holds_alternative<std::vector<base::ValidationError>>(
               config::parse_routing_configuration("x", json.at("content"))),
           what + " was accepted as a valid configuration");
  }
}

void configuration_round_trip() {
  auto source = first_configuration();
  AdapterUnderTest adapter;
  same(adapter.call("PUT", "/configuration", source.text()).status, 200, "put");
  same(adapter.received[0].target, std::string("/v1/layouts/3"), "its revision number");
  auto json = std::get<base::Json>(base::Json::parse(adapter.received[0].body));
  same(json.at("stated").string_or(), source.text(), "the original text");
  adapter.response.body = adapter.received[0].body;
  same(adapter.call("GET", "/configuration").body, source.text(), "the original text, read back");
  adapter.response = {404, {}, "{}"};
  same(adapter.call("GET", "/configuration").status, 404, "none yet");
  adapter.response = {503, {}, "{}"};
  same(adapter.call("PUT", "/configuration", source.text()).status, 503, "no majority");
  adapter.response = {409, {}, "{}"};
  auto contested = adapter.call("PUT", "/configuration", source.text());
  same(contested.status, 503, "other content is recorded under this number");
  same(base::header(contested.headers, "Retry-After"), std::string("1"), "the retry delay");
  adapter.response = {503, {{"Retry-After", "2"}}, "{}"};
  same(base::header(adapter.call("PUT", "/configuration", source.text()).headers, "Retry-After"),
       std::string(), "Retry-After is not forwarded: another node may accept the call at once");
  same(adapter.call("POST", "/configuration", source.text()).status, 405, "another method");
}

void translated_calls() {
  expect_translated(
      "PUT", "/instances/i-1",
      R"({"backend":"b","address":"10.0.0.1:80","zone":"z","revision":"v1","slots":32,"state":"ready","cold-remaining-s":1.25,"call-seq":4})",
      {"POST", "/v1/beats",
       R"({"service":"b","version":"v1","instance":"i-1","zone":"z","address":"10.0.0.1:80","capacity":32,"leaving":false,"cold_ms":1250,"number":4,"period_ms":1500})"});
  expect_translated(
      "PUT", "/instances/i-1",
      R"({"backend":"b","address":"10.0.0.1:80","zone":"z","revision":"v1","slots":3,"state":"draining","call-seq":5})",
      {"POST", "/v1/beats",
       R"({"service":"b","version":"v1","instance":"i-1","zone":"z","address":"10.0.0.1:80","capacity":3,"leaving":true,"cold_ms":0,"number":5,"period_ms":1500})"});
  expect_translated("DELETE", "/instances/i-1", "", {"DELETE", "/v1/workers/i-1", ""});
  expect_translated("POST", "/rollouts", R"({"backend":"b","target-revision":"v2","rollout-within-s":12.5})",
                    {"PUT", "/v1/moves/b", R"({"version":"v2","within_ms":12500})"});
  expect_translated("POST", "/purge", R"({"hostname":"h","path":"/p"})",
                    {"POST", "/v1/purges", R"({"kind":"path","host":"h","path":"/p"})"});
  expect_translated("POST", "/purge", R"({"tag":"t"})",
                    {"POST", "/v1/purges", R"({"kind":"tag","tag":"t"})"});
  expect_translated("GET", "/readiness", "", {"GET", "/readyz", ""});
  AdapterUnderTest adapter;
  adapter.response = {200, {}, R"({"state":"running","version":"v2","why":"x"})"};
  same(adapter.call("GET", "/rollouts/b").body, std::string(R"({"state":"running","target-revision":"v2"})"),
       "a version rollout's state");
  same(adapter.received[0].target, std::string("/v1/moves/b"), "the resource that is read");
  adapter.response = {503, {}, "{}"};
  same(adapter.call("GET", "/readiness").status, 503, "not ready");
  for (const auto* bad : {"", "{", "[]"})
    same(adapter.call("POST", "/rollouts", bad).status, 400, "a rollout that cannot be parsed");
  same(adapter.call("PUT", "/instances/i-1", "{").status, 400, "a heartbeat that cannot be parsed");
  adapter.response = {409, {}, "{}"};
  same(adapter.call("POST", "/rollouts", R"({"backend":"b","target-revision":"v2","rollout-within-s":1})")
           .status,
       409, "a rollout is in progress");
}

void other_paths() {
  for (const auto* target : {"/v1/layouts/current", "/status", "/instances", "/instances/", "/instances/a/b",
                             "/rollouts", "/rollouts/", "/configuration/x", "/"}) {
    AdapterUnderTest adapter;
    adapter.response = {207, {}, "as it is"};
    auto response = adapter.call("GET", target);
    expect(response.status == 207 && response.body == "as it is" && adapter.received.size() == 1 &&
               adapter.received[0].target == target,
           std::string(target) + " was not passed through unchanged");
  }
}

/// A random generator with a fixed seed.
struct SeededRandom final : base::Random {
  std::mt19937_64 generator{1};
  uint64_t draw() override { return generator(); }
};

void response_classes() {
  using proxy::ResponseClass;
  auto adapter = platform::protocol_adapter();
  membership::BackendInstance instance{"i-1", "b", "v1", "z", "10.0.0.1:80"};
  base::Request request{"id1", "GET", "/", "", {}};
  auto classify = [&](int status, base::Headers headers) {
    return adapter->classify({status, std::move(headers), "x"}, instance, request);
  };
  auto expect_class = [&](ResponseClass expected, int status, const base::Headers& headers) {
    expect(classify(status, headers) == expected, fmt::format("{} with {} headers", status, headers.size()));
  };
  expect_class(ResponseClass::good, 200, {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}});
  expect_class(ResponseClass::good, 404, {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}});
  expect_class(ResponseClass::good, 304, {{"Attempt-Id", "id1"}});
  expect_class(ResponseClass::invalid, 200, {{"Attempt-Id", "id1"}});  // without the signature
  expect_class(ResponseClass::invalid, 200,
               {{"Attempt-Id", "id0"}, {"Edge-Signature", "s"}});        // of another request
  expect_class(ResponseClass::invalid, 200, {{"Edge-Signature", "s"}});  // without an id
  expect_class(ResponseClass::invalid, 200,
               {{"Attempt-Id", "id1"}, {"Edge-Signature", "s"}, {"Content-Encoding", "gzip"}});
  expect_class(ResponseClass::failed, 500, {{"Attempt-Id", "id1"}});
  expect_class(ResponseClass::failed, 504, {{"Attempt-Id", "id1"}});
  expect_class(ResponseClass::wrong_instance, 421, {{"Instance-Id", "i-2"}});
  for (int status : {400, 429, 503})
    expect_class(ResponseClass::not_executed, status, {{"Not-Executed", "1"}});
  for (int status : {408, 429, 503})
    expect_class(
        ResponseClass::invalid, status,
        {{"Attempt-Id", "id1"}});  // statuses that promise no execution, which the instance did not state
  expect_class(ResponseClass::invalid, 503,
               {{"Attempt-Id", "id0"}, {"Not-Executed", "1"}});  // of another request
}

void prepared_requests() {
  auto adapter = platform::protocol_adapter();
  SeededRandom random;
  base::Request request{"",
                        "GET",
                        "/",
                        "",
                        {{"Attempt-Id", "id1"},
                         {"Time-Remaining", "480"},
                         {"Connection", "x-one"},
                         {"X-One", "1"},
                         {"X-Two", "2"}}};
  auto identity = adapter->read_identity(request, random);
  expect(identity.id == "id1" && identity.remaining == Duration(480), "the identity of a request");
  request.id = identity.id;
  membership::BackendInstance instance{"i-1", "b", "v1", "z", "10.0.0.1:80"};
  adapter->prepare_request(request, {instance, "e1", 3, Duration(333)});
  auto value = [&](const char* name) { return base::header(request.headers, name); };
  expect(
      value("Attempt-Id") == "id1" && value("Time-Remaining") == "333" && value("Target-Instance") == "i-1",
      "headers sent to the backend instance");
  expect(value("X-One").empty() && value("Connection").empty() && value("X-Two") == "2",
         "hop-by-hop headers are removed");
  base::Request bare{"", "GET", "/", "", {{"Time-Remaining", "soon"}}};
  auto anonymous = adapter->read_identity(bare, random);
  expect(!anonymous.id.empty() && !anonymous.remaining, "no header that can be parsed");
}

void local_and_stored_responses() {
  auto adapter = platform::protocol_adapter();
  auto response =
      adapter->local_response(503, "full", proxy::ReportedExecution::not_executed, Duration(1250));
  expect(response.status == 503 && base::header(response.headers, "Retry-After") == "1.250",
         "fractions of a second");
  expect(base::header(adapter->local_response(502, "x", proxy::ReportedExecution::unknown, {}).headers,
                      "Retry-After")
             .empty(),
         "Retry-After without a delay");
  base::Response stored{
      200, {{"Attempt-Id", "first"}, {"Edge-Signature", "s"}, {"Connection", "close"}, {"ETag", "e"}}, "x"};
  adapter->strip_internal_headers(stored);
  adapter->finish_response(stored, "second", 0);
  expect(base::header(stored.headers, "Attempt-Id") == "second" &&
             base::header(stored.headers, "Edge-Signature") == "s" &&
             base::header(stored.headers, "Connection").empty() &&
             base::header(stored.headers, "ETag") == "e",
         "a stored copy is returned with the id of the new request");
  base::Response with_load{200, {{"Server-Load", "3,1,8"}, {"Object-Tags", "t1 t2"}}, ""};
  auto load = adapter->reported_load(with_load);
  expect(load && load->running == 3 && load->waiting == 1 && load->slots == 8 &&
             adapter->cache_tags(with_load).size() == 2,
         "load and tags");
  expect(!adapter->reported_load({200, {{"Server-Load", "3"}}, ""}), "a load that cannot be parsed");
}

/// Checks the whole source text, comments included: the product must not depend on its users' platform.
void no_platform_name_in_product() {
  namespace fs = std::filesystem;
  for (const auto& entry : fs::recursive_directory_iterator(std::string(DUNLINWING_DOCS) + "/../src")) {
    if (!entry.is_regular_file()) continue;
    std::ifstream file(entry.path());
    std::stringstream text;
    text << file.rdbuf();
    for (const auto* name :
         {"Attempt-Id",       "Time-Remaining",   "Target-Instance", "Edge-Signature", "Not-Executed",
          "Server-Load",      "Object-Tags",      "Instance-Id",     "/instances",     "/rollouts",
          "/configuration",   "\"/readiness",     "entry-kind",      "path-prefix",    "traffic-split",
          "route-type",       "target-latency-s", "max-attempts",    "cache-ttl-s",    "call-seq",
          "cold-remaining-s", "rollout-within-s", "target-revision", "beat-target"})
      expect(text.str().find(name) == std::string::npos,
             fmt::format("{} occurs in {}", name, entry.path().filename().string()));
  }
}
}  // namespace

std::vector<Case> platform_translation_cases() {
  return {{"platform: a configuration's fields", configuration_fields},
          {"platform: each invalid form is rejected", invalid_configurations},
          {"platform: a configuration is read back unchanged", configuration_round_trip},
          {"platform: heartbeats, deregistrations, rollouts, purges and readiness", translated_calls},
          {"platform: other paths pass unchanged", other_paths},
          {"platform: classes of backend responses", response_classes},
          {"platform: requests are prepared", prepared_requests},
          {"platform: local responses, stored copies, load and tags", local_and_stored_responses},
          {"platform: none of its names occurs in the product", no_platform_name_in_product}};
}

}  // namespace dunlinwing::test
