#include "config/release.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"

namespace dunlinwing::config {
namespace {
using namespace std::chrono_literals;
using Errors = std::vector<base::ValidationError>;

constexpr const char* kEnvelopeSchema = R"({
  "type":"object","additionalProperties":false,"required":["content"],
  "properties":{
    "content":{"type":"object"},
    "express":{"type":"string","minLength":1,"maxLength":512},
    "supersedes":{"type":"string","minLength":1,"maxLength":64},
    "holds":{"type":"object","additionalProperties":false,"properties":{
      "one_min":{"type":"integer","minimum":1,"maximum":100000},
      "two_min":{"type":"integer","minimum":1,"maximum":100000}}}}})";
constexpr const char* kSoftwareSchema = R"({
  "type":"object","additionalProperties":false,"required":["version","sha256","bytes"],
  "properties":{
    "version":{"type":"string","minLength":1,"maxLength":64},
    "sha256":{"type":"string","pattern":"^[0-9a-f]{64}$"},
    "bytes":{"type":"integer","minimum":1,"maximum":268435456}}})";

Errors check_content(const std::string& kind, const std::string& name, const base::Json& content) {
  static const base::Schema software(kSoftwareSchema);
  if (kind == "system") return check_system_options(content);
  if (kind != "layout") return software.check(content);
  auto result = parse_routing_configuration(name, content);
  auto* errors = std::get_if<Errors>(&result);
  return errors ? *errors : Errors{};
}

/// Raises a hold time to the document's value under `key`; adds an error when that value is lower.
void read_hold(const base::Json& holds, const char* key, Duration& hold, Errors& errors) {
  if (!holds.has(key)) return;
  Duration stated = std::chrono::minutes(holds.at(key).integer_or());
  if (stated < hold) {
    auto minutes = std::chrono::duration_cast<std::chrono::minutes>(hold).count();
    errors.push_back(
        {std::string("/holds/") + key, fmt::format("is shorter than the minimum of {} min", minutes)});
  }
  hold = std::max(hold, stated);
}
}  // namespace

bool is_release_kind(std::string_view kind) {
  return std::any_of(std::begin(kReleaseKinds), std::end(kReleaseKinds),
                     [&](auto known) { return kind == known; });
}

HoldTimes minimum_hold_times(std::string_view kind) {
  if (kind == "layout") return {15min, 20min};
  if (kind == "system") return {30min, 2h};
  return {24h, 24h};
}

std::string release_key(std::string_view kind, std::string_view name) {
  return fmt::format("release/{}/{}", kind, name);
}
std::string operator_action_key(std::string_view kind, std::string_view name) {
  return fmt::format("act/{}/{}", kind, name);
}

ReleaseResult parse_release(const std::string& kind, const std::string& name, std::string_view text) {
  static const base::Schema envelope(kEnvelopeSchema);
  auto parsed = base::Json::parse(text);
  if (auto* error = std::get_if<base::ValidationError>(&parsed)) return Errors{*error};
  auto& json = std::get<base::Json>(parsed);
  auto errors = envelope.check(json);
  auto content = json.at("content");
  for (auto& error : check_content(kind, name, content))
    errors.push_back({"/content" + error.pointer, error.message});
  Release release{kind,
                  name,
                  std::string(text),
                  minimum_hold_times(kind),
                  json.at("express").string_or(),
                  json.at("supersedes").string_or(),
                  content};
  read_hold(json.at("holds"), "one_min", release.hold_times.phase_one, errors);
  read_hold(json.at("holds"), "two_min", release.hold_times.phase_two, errors);
  if (!errors.empty()) return errors;
  return release;
}

}  // namespace dunlinwing::config
