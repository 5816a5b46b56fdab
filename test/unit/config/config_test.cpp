// Routing configurations, system options and releases: every error is reported with its JSON pointer.
#include "config/release.hpp"
#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"
#include "unit/schema_checks.hpp"
#include "unit/unit_cases.hpp"

namespace dunlinwing::test {
namespace {
std::string error_pointers_of_release(const std::string& kind, const std::string& text) {
  auto result = config::parse_release(kind, "x", text);
  auto* errors = std::get_if<std::vector<base::ValidationError>>(&result);
  return errors ? error_places(*errors) : "valid";
}

void hosts_match_without_case() {
  const auto document = [](const char* host) {
    return fmt::format(R"({{"content":{{"services":{{"a":{{"versions":["1"]}}}},"routes":[
        {{"host":"shop.example","prefix":"/","service":"a"}},{{"host":"{}","prefix":"/","service":"a"}}]}}}})",
                       host);
  };
  same(error_pointers_of_release("layout", document("SHOP.example")),
       std::string("/content/routes/1/prefix;"), "error pointers");
  same(error_pointers_of_release("layout", document("other.example")), std::string("valid"),
       "error pointers");
}
}  // namespace

std::vector<Case> config_cases() {
  return {
      {"layout: every key is documented in configuration.md",
       [] { expect_documented(config::routing_configuration_schema(), "configuration.md"); }},
      {"system: every key is documented in configuration.md",
       [] { expect_documented(config::system_options_schema(), "configuration.md"); }},
      {"layout: references are checked across the document",
       [] {
         same(error_pointers_of_release(
                  "layout",
                  R"({"content":{"services":{"a":{"versions":["1"]},"b":{"versions":["1","1"]}},
              "routes":[{"prefix":"/x","service":"a"},{"prefix":"/x","service":"a"},{"prefix":"y","service":"c"}]}})"),
              std::string("/content/services/b/versions;/content/routes/2/prefix;/content/routes/1/prefix;"
                          "/content/routes/2/service;/content/services/b;"),
              "error pointers");
       }},
      {"layout: hosts that differ in upper and lower case alone are the same host", hosts_match_without_case},
      {"release: a hold time may be raised above the minimum, not lowered",
       [] {
         auto document = [](int one) {
           return fmt::format(
               R"({{"holds":{{"one_min":{}}},"content":{{"services":{{"a":{{"versions":["1"]}}}},
             "routes":[{{"prefix":"/","service":"a"}}]}}}})",
               one);
         };
         same(error_pointers_of_release("layout", document(14)), std::string("/holds/one_min;"),
              "error pointers");
         same(error_pointers_of_release("layout", document(16)), std::string("valid"), "error pointers");
         auto holds = config::minimum_hold_times("software");
         expect(holds.phase_one == std::chrono::hours(24) && holds.phase_two == std::chrono::hours(24),
                "software holds 24 and 24 hours");
         holds = config::minimum_hold_times("system");
         expect(holds.phase_one == std::chrono::minutes(30) && holds.phase_two == std::chrono::hours(2),
                "system holds 30 min and 2 h");
       }},
  };
}

}  // namespace dunlinwing::test
