// Schema and cross-checks of the settings.
#include "node/settings.hpp"

#include <fmt/format.h>

#include "base/log.hpp"
#include "config/release.hpp"
#include "net/peer.hpp"

namespace dunlinwing::node {
namespace {
constexpr int kOtherFiles = 200;
}

std::string_view settings_schema() {
  return R"({
  "type":"object","additionalProperties":false,
  "required":["name","zone","listen","seeds"],
  "properties":{
    "name":{"type":"string","minLength":1,"maxLength":64},
    "zone":{"type":"string","minLength":1,"maxLength":64},
    "listen":{"type":"object","additionalProperties":false,"required":["peers"],"properties":{
      "callers":{"type":"string"},"control":{"type":"string"},"peers":{"type":"string"},"readiness":{"type":"string"}}},
    "holders":{"type":"object","minProperties":1,"maxProperties":9,"additionalProperties":{"type":"string"}},
    "seeds":{"type":"array","minItems":1,"maxItems":9,"items":{"type":"string"}},
    "first_start":{"type":"boolean"},
    "tolerate":{"type":"integer","minimum":0,"maximum":4},
    "data":{"type":"string","minLength":1},
    "releases":{"type":"string","minLength":1},
    "shield":{"type":"boolean"},
    "face":{"type":"string","enum":["own","platform"]},
    "beat_s":{"type":"number","minimum":0.001,"maximum":3600},
    "bounds":{"type":"object","additionalProperties":false,"properties":{
      "layout_s":{"type":"number","minimum":0.5,"maximum":10},
      "leave_s":{"type":"number","minimum":0.5,"maximum":3600},
      "purge_s":{"type":"number","minimum":0.5,"maximum":3600},
      "grace_s":{"type":"number","minimum":0.5,"maximum":3600},
      "repeat_share":{"type":"number","minimum":0,"maximum":10},
      "repeat_allowance":{"type":"number","minimum":0,"maximum":1000000},
      "trial_share":{"type":"number","minimum":0,"maximum":1},
      "bad_answers":{"type":"number","minimum":0,"maximum":1000000}}},
    "cache_bytes":{"type":"integer","minimum":0},
    "memory_mb":{"type":"number","minimum":16},
    "descriptors":{"type":"integer","minimum":232},
    "system":{"type":"object"},
    "threads":{"type":"integer","minimum":1,"maximum":64},
    "log_level":{"type":"string","enum":["debug","info","warn","error"]},
    "log_bytes":{"type":"integer","minimum":4096,"maximum":268435456},
    "bound_ms":{"type":"integer","minimum":500,"maximum":10000},
    "hold_scale":{"type":"number","minimum":1,"maximum":1000000}}})";
}

SettingsResult parse_settings(std::string_view text) {
  static const base::Schema schema(settings_schema());
  auto p = base::Json::parse(text);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return std::vector<base::ValidationError>{*d};
  auto& json = std::get<base::Json>(p);
  auto ds = schema.check(json);
  Settings settings;
  auto& n = settings.node;
  auto addr = [&](const std::string& at, const std::string& s) {
    if (!s.empty() && !net::split_address(s)) ds.push_back({at, "is not IP:port"});
    return s;
  };
  n.name = json.at("name").string_or();
  n.zone = json.at("zone").string_or();
  auto l = json.at("listen");
  settings.client_address = addr("/listen/callers", l.at("callers").string_or());
  settings.control_address = addr("/listen/control", l.at("control").string_or());
  n.peer_address = addr("/listen/peers", l.at("peers").string_or());
  n.http_address = settings.control_address;  // empty on a machine that takes no calls
  for (auto& [k, v] : json.at("holders").members())
    n.replicas.push_back({k, addr("/holders/" + k, v.string_or())});
  int i = 0;
  for (auto& s : json.at("seeds").strings()) n.seeds.push_back(addr(fmt::format("/seeds/{}", i++), s));
  // A set that the settings name is the operators' to change, unless they say what to tolerate.
  n.initial_boot = json.at("first_start").bool_or(!n.replicas.empty());
  n.tolerate = static_cast<int>(json.at("tolerate").integer_or(n.replicas.empty() ? 1 : 0));
  settings.data_directory = json.at("data").string_or();
  settings.release_directory = json.at("releases").string_or();
  n.shield = json.at("shield").bool_or();
  settings.threads = static_cast<int>(json.at("threads").integer_or(settings.threads));
  settings.log_level = json.at("log_level").string_or(settings.log_level);
  settings.log_bytes =
      static_cast<size_t>(json.at("log_bytes").integer_or(static_cast<int64_t>(settings.log_bytes)));
  n.bound = Duration(json.at("bound_ms").integer_or(2000));
  settings.readiness_address = addr("/listen/readiness", l.at("readiness").string_or());
  settings.protocol_adapter = json.at("face").string_or("own");
  auto span = [](const base::Json& v) { return Duration(static_cast<int64_t>(v.real_or() * 1000)); };
  settings.heartbeat_period = span(json.at("beat_s"));
  if (auto b = json.at("bounds"); json.has("bounds")) {
    // One bound serves all that must be heeded everywhere: the shortest of them.
    auto shortest = Duration::max();
    for (auto* k : {"layout_s", "leave_s", "purge_s"})
      if (b.has(k)) shortest = std::min(shortest, span(b.at(k)));
    if (shortest != Duration::max()) n.bound = shortest;
    settings.grace = span(b.at("grace_s"));
    auto& s = n.system;
    s.retry_ratio = b.at("repeat_share").real_or(s.retry_ratio);
    s.retry_allowance =
        static_cast<int64_t>(b.at("repeat_allowance").real_or(static_cast<double>(s.retry_allowance)));
    s.canary_percent =
        static_cast<int64_t>(b.at("trial_share").real_or(static_cast<double>(s.canary_percent) / 100) * 100);
    s.max_canary_failures =
        static_cast<int64_t>(b.at("bad_answers").real_or(static_cast<double>(s.max_canary_failures)));
  }
  // Of a machine's memory a quarter may be kept receipts and a quarter bodies under way.
  // Of the descriptors some are for files that the system opens beside ours.
  settings.max_sockets =
      static_cast<int>(std::max<int64_t>(0, json.at("descriptors").integer_or(0) - kOtherFiles));
  n.max_sockets = settings.max_sockets;
  if (!n.shield)
    for (auto* k : {"callers", "control"})
      if (!l.has(k)) ds.push_back({std::string("/listen/") + k, "is missing"});
  settings.memory_mb = json.at("memory_mb").real_or(0);
  if (settings.memory_mb > 0) n.max_cache_bytes = static_cast<size_t>(settings.memory_mb * (1 << 20) / 4);
  if (json.has("cache_bytes")) n.max_cache_bytes = static_cast<size_t>(json.at("cache_bytes").integer_or());
  if (json.has("system")) {
    for (auto& d : config::check_system_options(json.at("system")))
      ds.push_back({"/system" + d.pointer, d.message});
    n.system = config::parse_system_options(json.at("system"), n.system);
  }
  n.scale = json.at("hold_scale").real_or(1);
  bool named = false;
  for (auto& h : n.replicas) named |= h.name == n.name;
  if (settings.data_directory.empty() && named) ds.push_back({"/holders/" + n.name, "a holder needs /data"});
  if (n.replicas.size() % 2 == 0 && !n.replicas.empty())
    ds.push_back({"/holders", "an odd number is needed"});
  if (!ds.empty()) return ds;
  return settings;
}

}  // namespace dunlinwing::node
