// Settings: every error is named by its place.
#include "node/settings_reloader.hpp"
#include "node/shutdown_sequence.hpp"
#include "unit/schema_checks.hpp"
#include "unit/unit_cases.hpp"
#include "wire.pb.h"

namespace dunlinwing::test {
namespace {
std::string bad_config(const std::string& t) {
  auto r = node::parse_settings(t);
  auto* errors = std::get_if<std::vector<base::ValidationError>>(&r);
  return errors ? error_places(*errors) : "valid";
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

// What ends before the last sixth of the grace has to be answered; then the process has to be gone in time.
void shutdown_answers_what_ends_in_time() {
  for (const Duration grace : {Duration(3000), Duration(6000), Duration(20000)}) {
    const auto times = node::shutdown_times(grace, Duration(2000));
    expect(times.give_up >= grace * 5 / 6 + grace / 15, "no time is left to pass a late response on");
    expect(times.give_up <= grace * 19 / 20, "the process may be killed before it ends");
    expect(times.stop_serving < grace / 2, "requests are taken that cannot be finished");
  }
}
}  // namespace

std::vector<Case> settings_cases() {
  const std::string good =
      R"({"name":"n","zone":"a","listen":{"callers":"127.0.0.1:1","control":"127.0.0.1:2",
    "peers":"127.0.0.1:3"},"holders":{"h":"127.0.0.1:4"},"seeds":["127.0.0.1:2"]})";
  return {
      {"config: a good one is taken", [good] { same(bad_config(good), std::string("valid"), "places"); }},
      {"config: the page of the settings holds every key",
       [] { expect_documented(node::settings_schema(), "settings.md"); }},
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
      {"shutdown: what ends before the last sixth of the grace is answered",
       shutdown_answers_what_ends_in_time},
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
  };
}

}  // namespace dunlinwing::test
