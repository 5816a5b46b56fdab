#include "config/routing_configuration.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <range/v3/algorithm/any_of.hpp>
#include <set>

#include "base/ports.hpp"
#include "config/names.hpp"

namespace dunlinwing::config {

namespace {
constexpr std::string_view kSchema = R"({
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
        "methods":{"type":"array","minItems":1,"maxItems":7,"uniqueItems":true,
                   "items":{"type":"string","enum":["GET","HEAD","POST","PUT","PATCH","DELETE","OPTIONS"]}}}}},
    "limits":{"type":"object","additionalProperties":false,"properties":{
      "body_bytes":{"type":"integer","minimum":0,"maximum":1073741824},
      "head_bytes":{"type":"integer","minimum":256,"maximum":1048576},
      "head_ms":{"type":"integer","minimum":1,"maximum":3600000},
      "idle_ms":{"type":"integer","minimum":1,"maximum":3600000},
      "cache_bytes":{"type":"integer","minimum":0,"maximum":4294967296}}}}})";
}  // namespace

std::string_view routing_configuration_schema() { return kSchema; }

RouteMatch RoutingConfiguration::match(std::string_view method, std::string_view host,
                                       std::string_view target) const {
  auto path = target.substr(0, target.find('?'));
  auto host_name = host.substr(0, host.rfind(':'));
  RouteMatch match;
  for (const auto& route : routes) {
    if (!route.host.empty() && !base::equals_ignore_case(route.host, host_name)) continue;
    if (path.substr(0, route.prefix.size()) != route.prefix) continue;
    if (route.methods.empty() || ranges::any_of(route.methods, [&](auto& known) { return known == method; }))
      return {&route, false};
    match.method_mismatch = true;
  }
  return match;
}

namespace {
Duration read_ms(const base::Json& value) {
  return Duration(static_cast<int64_t>(std::ceil(value.real_or())));
}

int read_int(const base::Json& value, int fallback) { return static_cast<int>(value.integer_or(fallback)); }

RequestKind read_kind(const base::Json& value) {
  auto kind = value.string_or();
  if (kind == "safe") return RequestKind::idempotent;
  if (kind == "unsafe") return RequestKind::non_idempotent;
  if (kind == "cacheable") return RequestKind::cacheable;
  return RequestKind::by_method;
}

ServiceConfiguration read_service(const std::string& name, const base::Json& json) {
  ServiceConfiguration service;
  service.name = name;
  service.versions = json.at("versions").strings();
  service.deadline = Duration(json.at("deadline_ms").integer_or(service.deadline.count()));
  service.max_waiting = read_int(json.at("waitlist"), service.max_waiting);
  service.max_in_flight = read_int(json.at("inflight"), service.max_in_flight);
  service.rate = json.at("rate").real_or(0);
  service.max_connections = read_int(json.at("connections"), 0);
  service.health_check_path = json.at("probe").string_or();
  service.retry_idempotent = json.at("safe_repeats").bool_or(true);
  service.cache_lifetime_s = json.at("cache").at("lifetime_s").integer_or(0);
  return service;
}

RouteConfiguration read_route(const base::Json& json) {
  RouteConfiguration route;
  route.name = json.at("name").string_or();
  route.host = json.at("host").string_or();
  route.prefix = json.at("prefix").string_or();
  route.methods = json.at("methods").strings();
  route.kind = read_kind(json.at("kind"));
  route.timeout = read_ms(json.at("timeout_ms"));
  route.latency_target = read_ms(json.at("aim_ms"));
  route.priority = read_int(json.at("priority"), 0);
  route.max_attempts = read_int(json.at("shots"), route.max_attempts);
  route.cache_lifetime = read_ms(json.at("keep_ms"));
  if (json.has("service")) route.weighted_services = {{json.at("service").string_or(), 1.0}};
  for (const auto& part : json.at("split").items())
    route.weighted_services.push_back({part.at("service").string_or(), part.at("weight").real_or()});
  return route;
}

/// Parses one document and collects all errors.
class Parser {
 public:
  Parser(const std::string& name, const base::Json& json) : json_(json) {
    static const base::Schema schema(routing_configuration_schema());
    errors_ = schema.check(json);
    configuration_.name = name;
    configuration_.text = json.text();
  }

  RoutingConfigurationResult parse() {
    if (may_be_too_large()) return errors_;
    read_services();
    read_routes();
    check_services_are_routed();
    if (!errors_.empty()) return errors_;
    read_limits();
    return std::make_shared<const RoutingConfiguration>(std::move(configuration_));
  }

 private:
  void add_error(const std::string& pointer, const char* message) {
    if (errors_.size() < base::kMaxValidationErrors) errors_.push_back({pointer, message});
  }

  /// The checks across services and routes take for granted that there are not too many, nor with long names.
  /// After as many errors as are reported, the rest of the document was not checked.
  bool may_be_too_large() const {
    return errors_.size() >= base::kMaxValidationErrors ||
           ranges::any_of(errors_, [](const auto& error) { return error.too_large; });
  }

  void read_services() {
    for (const auto& [name, value] : json_.at("services").members()) {
      if (!is_valid_service_name(name))
        add_error("/services/" + name, "a service is named by letters, digits, -, _ and .");
      configuration_.services[name] = read_service(name, value);
    }
  }

  void read_routes() {
    int index = 0;
    for (const auto& value : json_.at("routes").items()) {
      auto route = read_route(value);
      check_route(value, route, fmt::format("/routes/{}/", index));
      configuration_.routes.push_back(std::move(route));
      ++index;
    }
    std::stable_sort(configuration_.routes.begin(), configuration_.routes.end(),
                     [](auto& left, auto& right) { return left.prefix.size() > right.prefix.size(); });
  }

  void check_route(const base::Json& value, const RouteConfiguration& route, const std::string& pointer) {
    if (value.has("service") == value.has("split"))
      add_error(pointer + "service", "a route names either a service or a split");
    for (const auto& part : route.weighted_services)
      if (!configuration_.services.count(part.service))
        add_error(pointer + "service", "names no service of this layout");
    auto methods = route.methods.empty() ? std::vector<std::string>{"*"} : route.methods;
    for (const auto& method : methods)
      if (!seen_routes_.insert(base::lower_case(route.host) + " " + route.prefix + " " + method).second)
        add_error(pointer + "prefix", "an earlier route has this prefix and method");
  }

  void check_services_are_routed() {
    std::set<std::string_view> routed;
    for (const auto& route : configuration_.routes)
      for (const auto& part : route.weighted_services) routed.insert(part.service);
    for (const auto& [name, service] : configuration_.services)
      if (!service.versions.empty() && !routed.count(name))
        add_error("/services/" + name, "no route leads to it");
  }

  void read_limits() {
    auto limits = json_.at("limits");
    auto& to = configuration_;
    to.body_bytes = limits.at("body_bytes").integer_or(to.body_bytes);
    to.cache_bytes = limits.at("cache_bytes").integer_or(to.cache_bytes);
    to.head_bytes = limits.at("head_bytes").integer_or(to.head_bytes);
    to.head_timeout = Duration(limits.at("head_ms").integer_or(to.head_timeout.count()));
    to.idle_timeout = Duration(limits.at("idle_ms").integer_or(to.idle_timeout.count()));
  }

  const base::Json& json_;
  std::vector<base::ValidationError> errors_;
  RoutingConfiguration configuration_;  ///< as parsed so far
  std::set<std::string> seen_routes_;   ///< host, prefix and method of the routes so far
};
}  // namespace

RoutingConfigurationResult parse_routing_configuration(const std::string& name, const base::Json& json) {
  return Parser(name, json).parse();
}

RoutingConfigurationResult parse_routing_configuration(const std::string& name, std::string_view text) {
  auto parsed = base::Json::parse(text);
  if (auto* error = std::get_if<base::ValidationError>(&parsed))
    return std::vector<base::ValidationError>{*error};
  return parse_routing_configuration(name, std::get<base::Json>(parsed));
}

}  // namespace dunlinwing::config
