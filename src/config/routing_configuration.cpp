// The schema checks each value on its own; what follows it checks that the
// parts of the document name each other rightly.
#include "config/routing_configuration.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <range/v3/algorithm/any_of.hpp>
#include <range/v3/algorithm/sort.hpp>

#include "base/ports.hpp"

namespace dunlinwing::config {

std::string_view routing_configuration_schema() {
  return R"({
  "type":"object","additionalProperties":false,"required":["services","routes"],
  "properties":{
    "services":{"type":"object","minProperties":1,"maxProperties":256,"additionalProperties":{
      "type":"object","additionalProperties":false,
      "properties":{
        "versions":{"type":"array","minItems":0,"maxItems":8,"uniqueItems":true,
                    "items":{"type":"string","minLength":1,"maxLength":64}},
        "deadline_ms":{"type":"integer","minimum":10,"maximum":60000},
        "waitlist":{"type":"integer","minimum":0,"maximum":100000},
        "inflight":{"type":"integer","minimum":1,"maximum":100000},
        "rate":{"type":"number","minimum":0,"maximum":1000000},
        "connections":{"type":"integer","minimum":0,"maximum":1000000},
        "probe":{"type":"string","pattern":"^/","maxLength":1024},
        "safe_repeats":{"type":"boolean"},
        "cache":{"type":"object","additionalProperties":false,"required":["lifetime_s"],
                 "properties":{"lifetime_s":{"type":"integer","minimum":1,"maximum":31536000}}}}}},
    "routes":{"type":"array","minItems":1,"maxItems":4096,"items":{
      "type":"object","additionalProperties":false,"required":["prefix"],
      "properties":{
        "name":{"type":"string","maxLength":256},
        "host":{"type":"string","maxLength":256},
        "prefix":{"type":"string","pattern":"^/","maxLength":1024},
        "service":{"type":"string"},
        "split":{"type":"array","minItems":1,"maxItems":64,"items":{
          "type":"object","additionalProperties":false,"required":["service","weight"],"properties":{
            "service":{"type":"string"},"weight":{"type":"number","minimum":0}}}},
        "kind":{"type":"string","enum":["safe","unsafe","cacheable"]},
        "timeout_ms":{"type":"number","minimum":0.001,"maximum":3600000},
        "aim_ms":{"type":"number","minimum":0,"maximum":3600000},
        "priority":{"type":"integer","minimum":0,"maximum":1000},
        "shots":{"type":"integer","minimum":1,"maximum":1000},
        "keep_ms":{"type":"number","minimum":0,"maximum":31536000000},
        "methods":{"type":"array","minItems":1,"uniqueItems":true,
                   "items":{"type":"string","enum":["GET","HEAD","POST","PUT","PATCH","DELETE","OPTIONS"]}}}}},
    "limits":{"type":"object","additionalProperties":false,"properties":{
      "body_bytes":{"type":"integer","minimum":0,"maximum":1073741824},
      "head_bytes":{"type":"integer","minimum":256,"maximum":1048576},
      "head_ms":{"type":"integer","minimum":1,"maximum":3600000},
      "idle_ms":{"type":"integer","minimum":1,"maximum":3600000},
      "cache_bytes":{"type":"integer","minimum":0,"maximum":4294967296}}}}})";
}

const RouteConfiguration* RoutingConfiguration::match(std::string_view method, std::string_view host,
                                                      std::string_view target, bool& other) const {
  auto path = target.substr(0, target.find('?'));
  host = host.substr(0, host.rfind(':'));
  other = false;
  for (auto& route : routes) {
    if (!route.host.empty() && !base::equals_ignore_case(route.host, host)) continue;
    if (path.substr(0, route.prefix.size()) != route.prefix) continue;
    if (route.methods.empty() || ranges::any_of(route.methods, [&](auto& m) { return m == method; })) {
      other = false;
      return &route;
    }
    other = true;
  }
  return nullptr;
}

RoutingConfigurationResult parse_routing_configuration(const std::string& name, const base::Json& json) {
  static const base::Schema schema(routing_configuration_schema());
  auto defects = schema.check(json);
  auto names_ok = [](const std::string& s) {
    return !s.empty() && s.size() <= 64 &&
           s.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == s.npos;
  };
  auto ms_of = [](const base::Json& v) { return Duration(static_cast<int64_t>(std::ceil(v.real_or()))); };
  auto l = std::make_shared<RoutingConfiguration>();
  l->name = name;
  l->text = json.text();
  for (auto& [k, v] : json.at("services").members()) {
    if (!names_ok(k))
      defects.push_back({"/services/" + k, "a service is named by letters, digits, -, _ and ."});
    ServiceConfiguration s;
    s.name = k;
    s.versions = v.at("versions").strings();
    s.deadline = Duration(v.at("deadline_ms").integer_or(s.deadline.count()));
    s.max_waiting = static_cast<int>(v.at("waitlist").integer_or(s.max_waiting));
    s.max_in_flight = static_cast<int>(v.at("inflight").integer_or(s.max_in_flight));
    s.rate = v.at("rate").real_or(0);
    s.max_connections = static_cast<int>(v.at("connections").integer_or(0));
    s.health_check_path = v.at("probe").string_or();
    s.retry_idempotent = v.at("safe_repeats").bool_or(true);
    s.cache_lifetime_s = v.at("cache").at("lifetime_s").integer_or(0);
    l->services[k] = s;
  }
  int i = 0;
  std::map<std::string, int> once;
  for (auto& r : json.at("routes").items()) {
    RouteConfiguration x;
    x.name = r.at("name").string_or();
    x.host = r.at("host").string_or();
    x.prefix = r.at("prefix").string_or();
    x.methods = r.at("methods").strings();
    auto kind = r.at("kind").string_or();
    x.kind = kind == "safe"        ? RequestKind::safe
             : kind == "unsafe"    ? RequestKind::unsafe
             : kind == "cacheable" ? RequestKind::cacheable
                                   : RequestKind::by_method;
    x.timeout = ms_of(r.at("timeout_ms"));
    x.latency_target = ms_of(r.at("aim_ms"));
    x.priority = static_cast<int>(r.at("priority").integer_or(0));
    x.max_attempts = static_cast<int>(r.at("shots").integer_or(x.max_attempts));
    x.cache_lifetime = ms_of(r.at("keep_ms"));
    auto here = [&](const char* k) { return fmt::format("/routes/{}/{}", i, k); };
    if (r.has("service") == r.has("split"))
      defects.push_back({here("service"), "a route names either a service or a split"});
    if (r.has("service")) x.weighted_services = {{r.at("service").string_or(), 1.0}};
    for (auto& w : r.at("split").items())
      x.weighted_services.emplace_back(w.at("service").string_or(), w.at("weight").real_or());
    for (auto& [svc, w] : x.weighted_services)
      if (!l->services.count(svc)) defects.push_back({here("service"), "names no service of this layout"});
    auto ms = x.methods.empty() ? std::vector<std::string>{"*"} : x.methods;
    for (auto& m : ms)
      if (once[x.host + " " + x.prefix + " " + m]++)
        defects.push_back({here("prefix"), "an earlier route has this prefix and method"});
    l->routes.push_back(x);
    ++i;
  }
  for (auto& [k, s] : l->services)
    if (!s.versions.empty() && !ranges::any_of(l->routes, [&](auto& r) {
          return ranges::any_of(r.weighted_services, [&](auto& x) { return x.first == k; });
        }))
      defects.push_back({"/services/" + k, "no route leads to it"});
  if (!defects.empty()) return defects;
  std::stable_sort(l->routes.begin(), l->routes.end(),
                   [](auto& a, auto& b) { return a.prefix.size() > b.prefix.size(); });
  l->body_bytes = json.at("limits").at("body_bytes").integer_or(l->body_bytes);
  l->cache_bytes = json.at("limits").at("cache_bytes").integer_or(l->cache_bytes);
  l->head_bytes = json.at("limits").at("head_bytes").integer_or(l->head_bytes);
  l->head_time = Duration(json.at("limits").at("head_ms").integer_or(l->head_time.count()));
  l->idle_time = Duration(json.at("limits").at("idle_ms").integer_or(l->idle_time.count()));
  return std::shared_ptr<const RoutingConfiguration>(l);
}

RoutingConfigurationResult parse_routing_configuration(const std::string& name, std::string_view text) {
  auto p = base::Json::parse(text);
  if (auto* d = std::get_if<base::ValidationError>(&p)) return std::vector<base::ValidationError>{*d};
  return parse_routing_configuration(name, std::get<base::Json>(p));
}

}  // namespace dunlinwing::config
