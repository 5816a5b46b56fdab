#include "control_api/router.hpp"

#include <algorithm>
#include <charconv>

#include "base/json_text.hpp"
#include "control_api/artifact_chunks.hpp"
#include "control_api/drains.hpp"
#include "control_api/heartbeats.hpp"
#include "control_api/listings.hpp"
#include "control_api/majority_contact.hpp"
#include "control_api/metrics.hpp"
#include "control_api/node_identity.hpp"
#include "control_api/numbered_configuration.hpp"
#include "control_api/operator_write_log.hpp"
#include "control_api/purges.hpp"
#include "control_api/releases.hpp"
#include "control_api/replicas.hpp"
#include "control_api/services.hpp"
#include "control_api/status_page.hpp"
#include "control_api/version_rollouts.hpp"
#include "control_api/write_forwarder.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr Duration kLongestWatch{30000};
constexpr std::string_view kWildcard = "*";

base::Response get_readiness(const ApiContext& context, const ApiRequest&) {
  return context.node.ready() ? json_response(200, "{\"ready\":true}")
                              : json_response(503, "{\"ready\":false}");
}

base::Response get_status(const ApiContext& context, const ApiRequest&) {
  return json_response(200, status_page(context.node, context.ports.clock.now()));
}

base::Response get_metrics(const ApiContext& context, const ApiRequest&) {
  return {
      200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_page(context, context.ports.clock.now())};
}

base::Response no_such_resource() { return error_response(404, "no such resource"); }

/// How a request is answered.
enum class RouteType {
  local,       ///< from this node's state, at once, even without contact with the others
  read,        ///< after contact with a majority; may be a watch
  heartbeat,   ///< a report of a backend instance, within kResponseLimit
  departure,   ///< a write of a backend instance, carried out by the coordinator, within kResponseLimit
  write,       ///< a write of an operator, carried out by the coordinator, within kResponseLimit
  long_write,  ///< a write of an operator, without a time limit here
};

struct Route {
  RouteType type;
  std::string_view method;  ///< empty: any; a read by GET also accepts HEAD
  std::string_view path;    ///< a segment that equals kWildcard matches any segment
  Handler handler;
};

constexpr Route kRoutes[] = {
    {RouteType::local, "", "/readyz", get_readiness},
    {RouteType::local, "GET", "/status", get_status},
    {RouteType::local, "GET", "/metrics", get_metrics},
    {RouteType::local, "GET", "/v1/self", get_node_identity},

    {RouteType::read, "GET", "/v1/nodes", list_nodes},
    {RouteType::read, "GET", "/v1/duties", get_leadership},
    {RouteType::read, "GET", "/v1/assignments", get_assignments},
    {RouteType::read, "GET", "/v1/assignments/*", get_assignment},

    {RouteType::read, "GET", "/v1/layouts/current", get_numbered_configuration},
    {RouteType::write, "PUT", "/v1/layouts/*", put_numbered_configuration},

    {RouteType::read, "GET", "/v1/releases", list_releases},
    {RouteType::read, "GET", "/v1/releases/*", list_releases_of_kind},
    {RouteType::read, "GET", "/v1/releases/*/*", get_release},
    {RouteType::write, "PUT", "/v1/releases/*/*", put_release},
    {RouteType::write, "PUT", "/v1/releases/*/*/*", put_operator_action},
    {RouteType::write, "PUT", "/v1/releases/*/*/*/*", put_operator_action},

    {RouteType::read, "GET", "/v1/services/*", get_service},
    {RouteType::write, "PUT", "/v1/services/*", put_service},
    {RouteType::read, "GET", "/v1/moves/*", get_version_rollout},
    {RouteType::write, "PUT", "/v1/moves/*", put_version_rollout},

    {RouteType::read, "GET", "/v1/workers", list_instances},
    {RouteType::heartbeat, "POST", "/v1/beats", post_heartbeat},
    {RouteType::departure, "DELETE", "/v1/workers/*", delete_instance},

    {RouteType::read, "GET", "/v1/purges", list_purges},
    {RouteType::write, "POST", "/v1/purges", put_purge},
    {RouteType::write, "PUT", "/v1/purges/*", put_purge},

    {RouteType::read, "GET", "/v1/drains", list_drains},
    {RouteType::write, "PUT", "/v1/drains/*/*", put_drain},

    {RouteType::read, "GET", "/v1/holders", get_replicas},
    {RouteType::long_write, "PUT", "/v1/holders/*", put_replica},

    {RouteType::read, "GET", "/v1/artifacts/*", get_artifact},
    {RouteType::long_write, "PUT", "/v1/artifacts/*", put_artifact_chunk},
};

bool matches_method(const Route& route, std::string_view method) {
  if (route.type == RouteType::read && method == "HEAD") return true;
  return route.method.empty() || route.method == method;
}

/// @param pattern  of a route
/// @param path     of a request
bool matches_path(std::string_view pattern, const std::vector<std::string>& path) {
  for (const auto& segment : path) {
    if (pattern.empty()) return false;
    pattern.remove_prefix(1);  // the slash
    auto expected = pattern.substr(0, pattern.find('/'));
    if (expected != kWildcard && expected != segment) return false;
    pattern.remove_prefix(expected.size());
  }
  return pattern.empty();
}

/// Whether the coordinator of the resource carries out the request.
bool is_forwarded(const Route& route) {
  return route.type == RouteType::write || route.type == RouteType::departure;
}

/// The route of a request, or null.
const Route* find_route(const ApiRequest& request) {
  for (const auto& route : kRoutes)
    if (matches_method(route, request.http.method) && matches_path(route.path, request.path)) return &route;
  return nullptr;
}

/// A number in the query; -1 when it is absent.
int64_t query_number(const ApiRequest& request, const char* name) {
  int64_t value = -1;
  if (auto found = request.query.find(name); found != request.query.end())
    std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
  return value;
}

int64_t etag_number(const base::Response& response) {
  auto tag = base::header(response.headers, "ETag");
  int64_t value = 0;
  if (tag.size() > 2) std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, value);
  return value;
}
}  // namespace

struct Router::Impl {
  base::Ports& ports;
  node::Node& node;
  OperatorWriteTotals write_totals;
  consensus::RegisterUpdater no_updater{nullptr};
  WriteForwarder forwarder;
  ApiContext context;
  ApiContext validating_context;  ///< its handlers propose nothing

  Impl(base::Ports& all_ports, node::Node& own_node)
      : ports(all_ports),
        node(own_node),
        forwarder(
            all_ports, own_node, [this](const ApiRequest& request) { return execute(context, request); },
            [this](const ApiRequest& request) { return execute(validating_context, request); }),
        context{all_ports, own_node, own_node.register_updater(), forwarder, write_totals},
        validating_context{all_ports, own_node, no_updater, forwarder, write_totals} {}

  /// Carries out a write on this node.
  static base::Response execute(const ApiContext& context, const ApiRequest& request) {
    const auto* route = find_route(request);
    return route ? route->handler(context, request) : no_such_resource();
  }

  /// Answers a read. With `after` in its query it is a watch: it waits until the version exceeds `after`.
  base::Response read(const ApiRequest& request, const Route* route) const {
    auto after = query_number(request, "after");
    auto longest = std::clamp(Duration(query_number(request, "wait_ms")), Duration(0), kLongestWatch);
    const TimePoint end = ports.clock.now() + longest;
    for (;;) {
      if (auto no_majority = await_majority_contact(node)) return *no_majority;
      auto response = route ? route->handler(context, request) : no_such_resource();
      if (after < 0 || response.status != 200) return response;
      auto version = etag_number(response);
      if (version > after) return response;
      if (ports.clock.now() >= end) return json_response(304, "", static_cast<uint64_t>(version));
    }
  }

  base::Response write(const ApiRequest& request, const Route* route, ForwardTrace& trace) {
    if (route && is_forwarded(*route)) return forwarder.forward(request, trace);
    if (route) return route->handler(context, request);
    if (request.http.method != "PUT")
      return error_response(405, "resources are read by GET and stated by PUT");
    return no_such_resource();
  }
};

Router::Router(base::Ports& ports, node::Node& node) : impl_(std::make_shared<Impl>(ports, node)) {
  node.set_write_handler(
      [impl = impl_](const pb::ForwardedWrite& write) { return impl->forwarder.handle(write); });
}
Router::~Router() = default;

base::Response Router::handle(base::Request& http) {
  auto request = parse_request(http);
  const auto* route = find_route(request);
  if (route && route->type == RouteType::local) return route->handler(impl_->context, request);
  if (request.path.size() < 2 || request.path[0] != "v1") return no_such_resource();
  if (http.method == "GET" || http.method == "HEAD") return impl_->read(request, route);
  if (route && route->type == RouteType::long_write) return route->handler(impl_->context, request);
  // The coordinator parses the body; what no node may parse is refused here, and not sent to it.
  if (auto limit = base::exceeded_json_limit(http.body)) return validation_errors({{"", std::move(*limit)}});
  auto deadline = impl_->ports.clock.now() + kResponseLimit;
  // The work may outlast this call, so it gets its own copy of the request.
  auto http_copy = std::make_shared<base::Request>(http);
  auto times = std::make_shared<OperatorWriteTimes>();
  times->request = http.method + " " + http.target;
  times->received = impl_->ports.clock.now();
  auto response =
      respond_within(impl_->ports, kResponseLimit, [impl = impl_, http_copy, deadline, route, times] {
        auto request_copy = parse_request(*http_copy);
        request_copy.deadline = deadline;
        auto written = impl->write(request_copy, route, times->forward);
        times->written = impl->ports.clock.now();
        return written;
      });
  times->status = response.status;
  times->responded = impl_->ports.clock.now();
  if (route && route->type == RouteType::write) record_operator_write(impl_->context, times);
  return response;
}

}  // namespace dunlinwing::control_api
