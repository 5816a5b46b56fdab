// An operators' layout: routes, services and limits, checked as a whole. A
// layout is parsed once and never changed; every request runs under one.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

struct ServiceConfiguration {
  std::string name;
  std::vector<std::string>
      versions;  // the first serves until a move says otherwise; none named: any that a move brought in
  Duration deadline{2000};
  int max_waiting = 64;    // waiting at one relay
  int max_in_flight = 64;  // at workers from one relay
  double rate = 0;         // requests a second over the whole fleet; 0: no limit
  bool retry_idempotent = true;
  int64_t cache_lifetime_s = 0;   // 0: not cached
  int max_connections = 0;        // that a worker takes from all relays together; 0: not stated
  std::string health_check_path;  // path at which its workers say whether they are well
};

// Whether a request may run more than once. By method when the route does not say.
enum class RequestKind { by_method, safe, unsafe, cacheable };

struct RouteConfiguration {
  std::string name, host, prefix;                                 // no host: any
  std::vector<std::pair<std::string, double>> weighted_services;  // services with their weights
  std::vector<std::string> methods;
  RequestKind kind = RequestKind::by_method;
  Duration timeout{0};         // 0: the service's deadline
  Duration latency_target{0};  // in which an answer is worth most; 0: the time-out
  int priority = 0;            // 0 goes first
  int max_attempts = 4;        // workers to which one request may be sent, at most
  const std::string& label() const { return name.empty() ? prefix : name; }
  Duration cache_lifetime{0};  // how long receipts are kept without the worker's word; 0: as it says
};

struct RoutingConfiguration {
  std::string name, text;
  std::map<std::string, ServiceConfiguration> services;
  std::vector<RouteConfiguration> routes;  // longest prefix first
  int64_t body_bytes = 1 << 20;
  int64_t cache_bytes = 64 << 20;
  int64_t head_bytes = 16 << 10;                // of a request
  Duration head_time{10000}, idle_time{60000};  // for a request's head; between requests

  // Null route: nothing matches. With `other_method` set, only the method does not.
  const RouteConfiguration* match(std::string_view method, std::string_view host, std::string_view target,
                                  bool& other_method) const;
};

using RoutingConfigurationResult =
    std::variant<std::shared_ptr<const RoutingConfiguration>, std::vector<base::ValidationError>>;
RoutingConfigurationResult parse_routing_configuration(const std::string& name, const base::Json& json);
RoutingConfigurationResult parse_routing_configuration(const std::string& name, std::string_view text);
std::string_view routing_configuration_schema();

}  // namespace dunlinwing::config
