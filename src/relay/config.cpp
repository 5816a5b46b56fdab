// Schema and cross-checks of the settings.
#include "relay/config.hpp"

#include <fmt/format.h>

#include "base/log.hpp"
#include "rollout/release.hpp"
#include "wire/peer.hpp"

namespace dunlinwing::relay {
namespace {
constexpr int kOtherFiles = 200;
}

std::string_view config_schema() {
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

ConfigGot read_config(std::string_view text) {
  static const base::Schema schema(config_schema());
  auto p = base::Json::parse(text);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return std::vector<base::ValidationError>{*d};
  auto& j = std::get<base::Json>(p);
  auto ds = schema.check(j);
  Config c;
  auto& n = c.node;
  auto addr = [&](const std::string& at, const std::string& s) {
    if (!s.empty() && !wire::split_address(s)) ds.push_back({at, "is not IP:port"});
    return s;
  };
  n.name = j.at("name").str();
  n.zone = j.at("zone").str();
  auto l = j.at("listen");
  c.callers = addr("/listen/callers", l.at("callers").str());
  c.control = addr("/listen/control", l.at("control").str());
  n.peer_address = addr("/listen/peers", l.at("peers").str());
  n.http_address = c.control;  // empty on a machine that takes no calls
  for (auto& [k, v] : j.at("holders").members()) n.holders.push_back({k, addr("/holders/" + k, v.str())});
  int i = 0;
  for (auto& s : j.at("seeds").strs()) n.seeds.push_back(addr(fmt::format("/seeds/{}", i++), s));
  // A set that the settings name is the operators' to change, unless they say what to tolerate.
  n.first_start = j.at("first_start").flag(!n.holders.empty());
  n.tolerate = static_cast<int>(j.at("tolerate").num(n.holders.empty() ? 1 : 0));
  c.data = j.at("data").str();
  c.releases = j.at("releases").str();
  n.shield = j.at("shield").flag();
  c.threads = static_cast<int>(j.at("threads").num(c.threads));
  c.log_level = j.at("log_level").str(c.log_level);
  c.log_bytes = static_cast<size_t>(j.at("log_bytes").num(static_cast<int64_t>(c.log_bytes)));
  n.bound = Duration(j.at("bound_ms").num(2000));
  c.readiness = addr("/listen/readiness", l.at("readiness").str());
  c.face = j.at("face").str("own");
  auto span = [](const base::Json& v) { return Duration(static_cast<int64_t>(v.real() * 1000)); };
  c.beat = span(j.at("beat_s"));
  if (auto b = j.at("bounds"); j.has("bounds")) {
    // One bound serves all that must be heeded everywhere: the shortest of them.
    auto shortest = Duration::max();
    for (auto* k : {"layout_s", "leave_s", "purge_s"})
      if (b.has(k)) shortest = std::min(shortest, span(b.at(k)));
    if (shortest != Duration::max()) n.bound = shortest;
    c.grace = span(b.at("grace_s"));
    auto& s = n.system;
    s.repeat_share = b.at("repeat_share").real(s.repeat_share);
    s.repeat_allowance =
        static_cast<int64_t>(b.at("repeat_allowance").real(static_cast<double>(s.repeat_allowance)));
    s.trial_share_percent = static_cast<int64_t>(
        b.at("trial_share").real(static_cast<double>(s.trial_share_percent) / 100) * 100);
    s.bad_answers = static_cast<int64_t>(b.at("bad_answers").real(static_cast<double>(s.bad_answers)));
  }
  // Of a machine's memory a quarter may be kept receipts and a quarter bodies under way.
  // Of the descriptors some are for files that the system opens beside ours.
  c.sockets = static_cast<int>(std::max<int64_t>(0, j.at("descriptors").num(0) - kOtherFiles));
  n.sockets = c.sockets;
  if (!n.shield)
    for (auto* k : {"callers", "control"})
      if (!l.has(k)) ds.push_back({std::string("/listen/") + k, "is missing"});
  c.memory_mb = j.at("memory_mb").real(0);
  if (c.memory_mb > 0) n.cache_bytes = static_cast<size_t>(c.memory_mb * (1 << 20) / 4);
  if (j.has("cache_bytes")) n.cache_bytes = static_cast<size_t>(j.at("cache_bytes").num());
  if (j.has("system")) {
    for (auto& d : rollout::check_system(j.at("system"))) ds.push_back({"/system" + d.at, d.what});
    n.system = rollout::read_system(j.at("system"), n.system);
  }
  n.scale = j.at("hold_scale").real(1);
  bool named = false;
  for (auto& h : n.holders) named |= h.name == n.name;
  if (c.data.empty() && named) ds.push_back({"/holders/" + n.name, "a holder needs /data"});
  if (n.holders.size() % 2 == 0 && !n.holders.empty()) ds.push_back({"/holders", "an odd number is needed"});
  if (!ds.empty()) return ds;
  return c;
}

}  // namespace dunlinwing::relay
