/// @file
/// The operators' routing configuration: routes, services and limits, checked as one document. It is parsed
/// once and never changed, so any thread may read it; every request runs under one.
#pragma once
#include <algorithm>

#include "base/json.hpp"

namespace dunlinwing::config {

/// A service: the backend instances that run it, and how its requests are treated.
struct ServiceConfiguration {
  std::string name;
  /// The versions that may serve; the first one does until a version rollout chooses another. Empty: any that
  /// a version rollout promoted.
  std::vector<std::string> versions;
  Duration deadline{2000};        ///< of a request whose route sets no timeout
  int max_waiting = 64;           ///< requests in the admission queue of one node
  int max_in_flight = 64;         ///< requests at backend instances, from one node
  double rate = 0;                ///< requests a second over the whole fleet; 0: no limit
  bool retry_idempotent = true;   ///< whether requests that may run more than once are retried
  int64_t cache_lifetime_s = 0;   ///< 0: not cached
  int max_connections = 0;        ///< limit of an instance for all nodes together; 0: not set
  std::string health_check_path;  ///< of its instances; empty: no health checks
};

/// Whether a request may run more than once.
enum class RequestKind {
  by_method,  ///< not set by the route: as HTTP defines for the method
  idempotent,
  non_idempotent,
  cacheable,
};

/// One of the services among which a route splits its requests.
struct WeightedService {
  std::string service;
  double weight = 0;  ///< relative to the weights of the others; 0: no requests
};

/// A route: which requests it matches, and how they are handled.
struct RouteConfiguration {
  std::string name, host, prefix;                  ///< no name: the prefix is used; no host: any
  std::vector<WeightedService> weighted_services;  ///< at least one
  std::vector<std::string> methods;                ///< none: any
  RequestKind kind = RequestKind::by_method;
  Duration timeout{0};         ///< 0: the service's deadline
  Duration latency_target{0};  ///< within which a response has its full value; 0: the timeout
  int priority = 0;            ///< 0 is the highest
  int max_attempts = 4;        ///< maximum number of backend instances to which one request is sent
  Duration cache_lifetime{0};  ///< of responses, overriding their own; 0: as they state

  /// Whether the route sends requests to the service.
  bool sends_to(const std::string& service) const {
    return std::any_of(weighted_services.begin(), weighted_services.end(), [&](const auto& weighted) {
      return weighted.service == service && weighted.weight > 0;
    });
  }

  /// The name of the route in counters and logs.
  const std::string& label() const { return name.empty() ? prefix : name; }
};

/// The route of a request.
struct RouteMatch {
  const RouteConfiguration* route = nullptr;  ///< null: none matches
  bool method_mismatch = false;               ///< no route matches, but one does for another method
};

/// The checked document.
struct RoutingConfiguration {
  std::string name;
  std::string text;  ///< the document, as JSON without white space
  std::map<std::string, ServiceConfiguration> services;
  std::vector<RouteConfiguration> routes;  ///< longest prefix first
  int64_t body_bytes = 1 << 20;            ///< maximum size of a request's body
  int64_t cache_bytes = 64 << 20;          ///< maximum size of the responses that one node caches
  int64_t head_bytes = 16 << 10;           ///< maximum size of a request's head
  Duration head_timeout{10000};            ///< within which the head of a request must be received
  Duration idle_timeout{60000};            ///< after which an idle client connection is closed

  /// Finds the first route that matches a request.
  /// @param host    with or without a port
  /// @param target  with or without a query
  RouteMatch match(std::string_view method, std::string_view host, std::string_view target) const;
};

/// The configuration, or all errors when the document is not valid.
using RoutingConfigurationResult =
    std::variant<std::shared_ptr<const RoutingConfiguration>, std::vector<base::ValidationError>>;

RoutingConfigurationResult parse_routing_configuration(const std::string& name, const base::Json& json);
RoutingConfigurationResult parse_routing_configuration(const std::string& name, std::string_view text);

/// The JSON schema of the document. It checks each value on its own; parsing also checks the references
/// between the parts of the document.
std::string_view routing_configuration_schema();

}  // namespace dunlinwing::config
