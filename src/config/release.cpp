// The envelope of a release and the minimum holds of the source's table.
#include "config/release.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/routing_configuration.hpp"
#include "config/system_options.hpp"

namespace dunlinwing::config {
namespace {
using namespace std::chrono_literals;
constexpr const char* kSchema = R"({
  "type":"object","additionalProperties":false,"required":["content"],
  "properties":{
    "content":{"type":"object"},
    "express":{"type":"string","minLength":1,"maxLength":512},
    "supersedes":{"type":"string","minLength":1,"maxLength":64},
    "holds":{"type":"object","additionalProperties":false,"properties":{
      "one_min":{"type":"integer","minimum":1,"maximum":100000},
      "two_min":{"type":"integer","minimum":1,"maximum":100000}}}}})";
constexpr const char* kSoftware = R"({
  "type":"object","additionalProperties":false,"required":["version","sha256","bytes"],
  "properties":{
    "version":{"type":"string","minLength":1,"maxLength":64},
    "sha256":{"type":"string","pattern":"^[0-9a-f]{64}$"},
    "bytes":{"type":"integer","minimum":1,"maximum":268435456}}})";
}  // namespace

bool is_kind(std::string_view k) {
  return std::any_of(std::begin(kKinds), std::end(kKinds), [&](auto x) { return k == x; });
}

Holds minimum(std::string_view k) {
  if (k == "layout") return {15min, 20min};
  if (k == "system") return {30min, 2h};
  return {24h, 24h};
}

bool is_valid_name(std::string_view n) {
  return !n.empty() && n.size() <= 64 && n[0] != '.' &&
         n.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == n.npos;
}

std::string release_key(std::string_view k, std::string_view n) { return fmt::format("release/{}/{}", k, n); }
std::string operator_action_key(std::string_view k, std::string_view n) {
  return fmt::format("act/{}/{}", k, n);
}

ReleaseResult parse_release(const std::string& kind, const std::string& name, std::string_view text) {
  static const base::Schema env(kSchema), soft(kSoftware);
  auto p = base::Json::parse(text);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return std::vector<base::ValidationError>{*d};
  auto& json = std::get<base::Json>(p);
  auto ds = env.check(json);
  auto c = json.at("content");
  auto under = [&](std::vector<base::ValidationError> more) {
    for (auto& d : more) ds.push_back({"/content" + d.pointer, d.message});
  };
  if (kind == "layout") {
    auto l = config::parse_routing_configuration(name, c);
    if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&l)) under(*errors);
  } else if (kind == "system") {
    under(config::check_system_options(c));
  } else {
    under(soft.check(c));
  }
  Release r{kind,
            name,
            std::string(text),
            minimum(kind),
            json.at("express").string_or(),
            json.at("supersedes").string_or(),
            c};
  auto longer = [&](const char* k, Duration& h) {
    if (!json.at("holds").has(k)) return;
    Duration want = std::chrono::minutes(json.at("holds").at(k).integer_or());
    if (want < h)
      ds.push_back({std::string("/holds/") + k,
                    fmt::format("is shorter than the minimum of {} min",
                                std::chrono::duration_cast<std::chrono::minutes>(h).count())});
    h = std::max(h, want);
  };
  longer("one_min", r.holds.one);
  longer("two_min", r.holds.two);
  if (!ds.empty()) return ds;
  return r;
}

}  // namespace dunlinwing::config
