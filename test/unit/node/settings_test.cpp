// Settings, layouts and releases: every defect is named by its place.
#include <fstream>
#include <sstream>

#include "config/release.hpp"
#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"
#include "node/settings_reloader.hpp"
#include "unit/unit_cases.hpp"
#include "wire.pb.h"

namespace dunlinwing::test {
namespace {
std::string places(const std::vector<base::ValidationError>& ds) {
  std::string s;
  for (auto& d : ds) s += d.pointer + ";";
  return s;
}
std::string bad_config(const std::string& t) {
  auto r = node::parse_settings(t);
  auto* errors = std::get_if<std::vector<base::ValidationError>>(&r);
  return errors ? places(*errors) : "valid";
}
std::string bad_release(const std::string& kind, const std::string& t) {
  auto r = config::parse_release(kind, "x", t);
  auto* errors = std::get_if<std::vector<base::ValidationError>>(&r);
  return errors ? places(*errors) : "valid";
}
}  // namespace

namespace {
// Every key that a schema knows stands in its page, as `key`.
void documented(std::string_view schema, const std::string& page) {
  std::ifstream f(std::string(DUNLINWING_DOCS) + "/" + page);
  std::stringstream b;
  b << f.rdbuf();
  expect(!b.str().empty(), page + " cannot be read");
  auto p = base::Json::parse(schema);
  int n = 0;
  std::function<void(const base::Json&)> walk = [&](const base::Json& json) {
    for (auto& [k, v] : json.at("properties").members()) {
      ++n;
      bool there = b.str().find("`" + k + "`") != std::string::npos ||
                   b.str().find("`" + k + ".") != std::string::npos ||
                   b.str().find("." + k + "`") != std::string::npos ||
                   b.str().find("\"" + k + "\"") != std::string::npos;
      expect(there, page + " does not tell of " + k);
      walk(v);
    }
    if (json.has("items")) walk(json.at("items"));
    if (!json.at("additionalProperties").members().empty()) walk(json.at("additionalProperties"));
  };
  walk(std::get<base::Json>(p));
  expect(n >= 8, "the schema was not walked");
}

// What a later version adds is ignored; an ask that is not known is told so.
void older_peer() {
  pb::PeerRequest request;
  request.mutable_pull()->set_node("n");
  auto bytes = request.SerializeAsString();
  bytes += std::string("\xfa\x07\x03new", 6);  // field 127, three bytes
  pb::PeerRequest b;
  expect(b.ParseFromString(bytes) && b.has_pull() && b.pull().node() == "n",
         "an added field broke an older reader");
  pb::PeerRequest c;
  expect(
      c.ParseFromString(std::string("\xfa\x07\x03new", 6)) && c.body_case() == pb::PeerRequest::BODY_NOT_SET,
      "an unknown ask was taken for a known one");
}
}  // namespace

std::vector<Case> config_cases() {
  const std::string good =
      R"({"name":"n","zone":"a","listen":{"callers":"127.0.0.1:1","control":"127.0.0.1:2",
    "peers":"127.0.0.1:3"},"holders":{"h":"127.0.0.1:4"},"seeds":["127.0.0.1:2"]})";
  return {
      {"config: a good one is taken", [good] { same(bad_config(good), std::string("valid"), "places"); }},
      {"config: the page of the settings holds every key",
       [] { documented(node::settings_schema(), "settings.md"); }},
      {"layout: its page holds every key",
       [] { documented(config::routing_configuration_schema(), "configuration.md"); }},
      {"system: its page holds every key",
       [] { documented(config::system_options_schema(), "configuration.md"); }},
      {"wire: an older reader passes over what is new", older_peer},
      {"config: every defect is named by its place",
       [] {
         same(bad_config(R"({"name":"","zone":7,"listen":{"callers":"x","control":"127.0.0.1:2","peer":1},
              "holders":{"h":"127.0.0.1:4","i":"127.0.0.1:5"},"seeds":["127.0.0.1:2"],"bound_ms":1})"),
              std::string("/name;/zone;/listen/peers;/listen/peer;/bound_ms;/listen/callers;/holders;"),
              "places");
       }},
      {"config: a key that stands twice is a defect",
       [] { same(bad_config(R"({"name":"a","name":"b"})"), std::string("/name;"), "places"); }},
      {"config: a machine named as a holder needs a data folder",
       [good] {
         auto t = good;
         t.replace(t.find("\"n\""), 3, "\"h\"");
         same(bad_config(t), std::string("/holders/h;"), "places");
         t.insert(1, R"("data":"/d",)");
         same(bad_config(t), std::string("valid"), "places");
       }},
      {"config: without holders the set forms out of the seeds, and two more keys say how",
       [good] {
         auto t = good;
         t.replace(t.find(R"("holders":{"h":"127.0.0.1:4"},)"), 30, "");
         auto a = std::get<node::Settings>(node::parse_settings(t)).node,
              b = std::get<node::Settings>(node::parse_settings(good)).node;
         expect(a.replicas.empty() && !a.initial_boot && a.tolerate == 1, "the defaults without holders");
         expect(b.initial_boot && b.tolerate == 0, "the defaults with holders");
         t.insert(1, R"("first_start":true,"tolerate":2,)");
         a = std::get<node::Settings>(node::parse_settings(t)).node;
         expect(a.initial_boot && a.tolerate == 2, "what is stated");
       }},
      {"config: what changed is named by its key",
       [good] {
         auto t = good;
         t.replace(t.find("\"seeds\""), 7, "\"threads\":3,\"seeds\"");
         auto u = t;
         u.replace(u.find("127.0.0.1:2\"]"), 11, "127.0.0.1:9");
         std::string s;
         for (auto& k : node::changed_keys(good, u)) s += k + ";";
         same(s, std::string("seeds;threads;"), "keys");
         expect(node::changed_keys(t, t).empty(), "a key changed by itself");
       }},
      {"layout: references are checked across the document",
       [] {
         same(bad_release("layout",
                          R"({"content":{"services":{"a":{"versions":["1"]},"b":{"versions":["1","1"]}},
              "routes":[{"prefix":"/x","service":"a"},{"prefix":"/x","service":"a"},{"prefix":"y","service":"c"}]}})"),
              std::string("/content/services/b/versions;/content/routes/2/prefix;/content/routes/1/prefix;"
                          "/content/routes/2/service;/content/services/b;"),
              "places");
       }},
      {"release: a hold may be lengthened, never shortened",
       [] {
         auto doc = [](int one) {
           return fmt::format(
               R"({{"holds":{{"one_min":{}}},"content":{{"services":{{"a":{{"versions":["1"]}}}},
             "routes":[{{"prefix":"/","service":"a"}}]}}}})",
               one);
         };
         same(bad_release("layout", doc(14)), std::string("/holds/one_min;"), "places");
         same(bad_release("layout", doc(16)), std::string("valid"), "places");
         auto m = config::minimum("software");
         expect(m.one == std::chrono::hours(24) && m.two == std::chrono::hours(24),
                "software holds 24 and 24 hours");
         m = config::minimum("system");
         expect(m.one == std::chrono::minutes(30) && m.two == std::chrono::hours(2),
                "system holds 30 min and 2 h");
       }},
  };
}

}  // namespace dunlinwing::test
