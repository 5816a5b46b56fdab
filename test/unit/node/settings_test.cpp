// Settings: every error is reported with its JSON pointer.
#include "node/settings_reloader.hpp"
#include "node/shutdown_sequence.hpp"
#include "unit/schema_checks.hpp"
#include "unit/unit_cases.hpp"
#include "wire.pb.h"

namespace dunlinwing::test {
namespace {
std::string error_pointers_of_settings(const std::string& text) {
  auto result = node::parse_settings(text);
  auto* errors = std::get_if<std::vector<base::ValidationError>>(&result);
  return errors ? error_places(*errors) : "valid";
}

// Fields that a later version adds are ignored; an unknown kind of request is recognised as unknown.
void ignores_unknown_fields() {
  pb::PeerRequest request;
  request.mutable_pull()->set_node("n");
  auto bytes = request.SerializeAsString();
  bytes += std::string("\xfa\x07\x03new", 6);  // field 127, three bytes
  pb::PeerRequest parsed;
  expect(parsed.ParseFromString(bytes) && parsed.has_pull() && parsed.pull().node() == "n",
         "an added field broke parsing by an older version");
  pb::PeerRequest unknown;
  expect(unknown.ParseFromString(std::string("\xfa\x07\x03new", 6)) &&
             unknown.body_case() == pb::PeerRequest::BODY_NOT_SET,
         "an unknown request was taken for a known one");
}

// Requests that end before the last sixth of the grace period must be answered, and the process must exit in
// time.
void shutdown_answers_what_ends_in_time() {
  for (const Duration grace : {Duration(3000), Duration(6000), Duration(20000)}) {
    const auto times = node::shutdown_times(grace, Duration(2000));
    expect(times.abort_requests >= grace * 5 / 6 + grace / 15, "no time is left to forward a late response");
    expect(times.abort_requests <= grace * 19 / 20, "the process may be killed before it ends");
    expect(times.stop_serving < grace / 2, "requests are accepted that cannot be finished");
  }
}
}  // namespace

std::vector<Case> settings_cases() {
  const std::string good =
      R"({"name":"n","zone":"a","listen":{"callers":"127.0.0.1:1","control":"127.0.0.1:2",
    "peers":"127.0.0.1:3"},"holders":{"h":"127.0.0.1:4"},"seeds":["127.0.0.1:2"]})";
  return {
      {"config: valid settings are accepted",
       [good] { same(error_pointers_of_settings(good), std::string("valid"), "error pointers"); }},
      {"config: every key is documented in settings.md",
       [] { expect_documented(node::settings_schema(), "settings.md"); }},
      {"wire: an older version ignores unknown fields", ignores_unknown_fields},
      {"config: every error is reported with its JSON pointer",
       [] {
         same(error_pointers_of_settings(
                  R"({"name":"","zone":7,"listen":{"callers":"x","control":"127.0.0.1:2","peer":1},
              "holders":{"h":"127.0.0.1:4","i":"127.0.0.1:5"},"seeds":["127.0.0.1:2"],"bound_ms":1})"),
              std::string("/name;/zone;/listen/peers;/listen/peer;/bound_ms;/listen/callers;/holders;"),
              "error pointers");
       }},
      // Guards against: hours that are no numbers threw, which ended a running process that was sent SIGHUP.
      {"config: invalid system options are reported, whatever they hold",
       [good] {
         for (const char* hours : {R"({"from":"ab:cd","to":"ef:gh"})", R"({"from":"     ","to":"     "})",
                                   R"({"from":["00:00"],"to":{}})", "[[[[]]]]", "7"}) {
           auto text = good;
           text.insert(1, fmt::format(R"("system":{{"quiet_hours":{}}},)", hours));
           expect(error_pointers_of_settings(text).starts_with("/system/quiet_hours"),
                  fmt::format("{}: {}", hours, error_pointers_of_settings(text)));
         }
       }},
      {"config: a duplicate key is an error",
       [] {
         same(error_pointers_of_settings(R"({"name":"a","name":"b"})"), std::string("/name;"),
              "error pointers");
       }},
      {"config: a machine listed under holders requires a data directory",
       [good] {
         auto text = good;
         text.replace(text.find("\"n\""), 3, "\"h\"");
         same(error_pointers_of_settings(text), std::string("/holders/h;"), "error pointers");
         text.insert(1, R"("data":"/d",)");
         same(error_pointers_of_settings(text), std::string("valid"), "error pointers");
       }},
      {"config: without holders the seeds form the replica set, controlled by first_start and tolerate",
       [good] {
         auto text = good;
         text.replace(text.find(R"("holders":{"h":"127.0.0.1:4"},)"), 30, "");
         auto without_holders = std::get<node::Settings>(node::parse_settings(text)).node,
              with_holders = std::get<node::Settings>(node::parse_settings(good)).node;
         expect(without_holders.replicas.empty() && !without_holders.initial_boot &&
                    without_holders.tolerate == 1,
                "wrong defaults without holders");
         expect(with_holders.initial_boot && with_holders.tolerate == 0, "wrong defaults with holders");
         text.insert(1, R"("first_start":true,"tolerate":2,)");
         without_holders = std::get<node::Settings>(node::parse_settings(text)).node;
         expect(without_holders.initial_boot && without_holders.tolerate == 2,
                "first_start and tolerate are not read");
       }},
      {"shutdown: requests that end before the last sixth of the grace period are answered",
       shutdown_answers_what_ends_in_time},
      {"config: changed keys are reported",
       [good] {
         auto text = good;
         text.replace(text.find("\"seeds\""), 7, "\"threads\":3,\"seeds\"");
         auto changed_text = text;
         changed_text.replace(changed_text.find("127.0.0.1:2\"]"), 11, "127.0.0.1:9");
         std::string keys;
         for (auto& key : node::changed_keys(good, changed_text)) keys += key + ";";
         same(keys, std::string("seeds;threads;"), "keys");
         expect(node::changed_keys(text, text).empty(), "keys are reported for equal settings");
       }},
  };
}

}  // namespace dunlinwing::test
