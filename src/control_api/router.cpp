// Routes each request to its resource. A read waits for a pull that began after it came in,
// so it shows whatever was acknowledged before. A write is compare-and-set on the register of
// its resource, and is answered in time, come what may (contact.hpp).
#include "control_api/router.hpp"

#include <algorithm>
#include <charconv>

#include "control_api/artifact_chunks.hpp"
#include "control_api/drains.hpp"
#include "control_api/heartbeats.hpp"
#include "control_api/listings.hpp"
#include "control_api/majority_contact.hpp"
#include "control_api/metrics.hpp"
#include "control_api/node_identity.hpp"
#include "control_api/numbered_configuration.hpp"
#include "control_api/purges.hpp"
#include "control_api/releases.hpp"
#include "control_api/replicas.hpp"
#include "control_api/services.hpp"
#include "control_api/version_rollouts.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr Duration kLongestWatch{30000};
constexpr const char* kNoResource = "no such resource";

int64_t query_number(const ApiRequest& call, const char* name) {
  int64_t value = -1;
  if (auto f = call.query.find(name); f != call.query.end())
    std::from_chars(f->second.data(), f->second.data() + f->second.size(), value);
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
  PurgeWriter purger;

  Impl(base::Ports& p, node::Node& n) : ports(p), node(n), purger(p, n.registers()) {}

  base::Response read(ApiRequest& call) {
    auto& path = call.path;
    auto is = [&](size_t segments, const char* name) { return path.size() == segments && path[1] == name; };
    if (path.size() <= 4 && path[1] == "releases") return get_releases(node, call);
    if (is(2, "assignments")) return get_assignments(node);
    if (is(3, "assignments")) return get_assignment(node, path[2]);
    if (is(2, "nodes")) return list_nodes(node, ports.clock.now());
    if (is(2, "workers")) return list_instances(node, ports.clock.now());
    if (is(2, "purges")) return list_purges(node);
    if (is(2, "drains")) return list_drains(node);
    if (is(2, "holders")) return get_replicas(node);
    if (is(3, "layouts") && path[2] == "current") return get_numbered_configuration(node);
    if (is(3, "artifacts")) return get_artifact(node, call);
    if (is(2, "duties"))
      return json_response(200, "{\"rollout\":" + message_json(node.leadership().known_lease()) + "}");
    if (is(3, "moves")) return get_version_rollout(node, call);
    if (is(3, "services")) return get_service(node, call);
    return error_response(404, kNoResource);
  }

  // A watch is a read that waits until the response's version is past `after`.
  base::Response watch(ApiRequest& call) {
    auto after = query_number(call, "after");
    Duration longest = std::clamp(Duration(query_number(call, "wait_ms")), Duration(0), kLongestWatch);
    TimePoint end = ports.clock.now() + longest;
    for (;;) {
      if (auto unheard = await_majority_contact(node)) return *unheard;
      auto response = read(call);
      if (after < 0 || response.status != 200) return response;
      auto version = etag_number(response);
      if (version > after) return response;
      if (ports.clock.now() >= end) return json_response(304, "", static_cast<uint64_t>(version));
    }
  }

  base::Response write(ApiRequest& call) {
    auto& path = call.path;
    auto is = [&](size_t segments, const char* name) { return path.size() == segments && path[1] == name; };
    auto& method = call.request.method;
    if (method == "POST" && is(2, "beats")) return post_heartbeat(node, call);
    if (method == "POST" && is(2, "purges")) return put_purge(node, purger, call);
    if (method == "DELETE" && is(3, "workers")) return delete_instance(node, call);
    if (method != "PUT") return error_response(405, "resources are read by GET and stated by PUT");
    if (is(4, "releases")) return put_release(node, call);
    if (is(5, "releases") || is(6, "releases")) return put_operator_action(ports, node, call);
    if (is(3, "services")) return put_service(ports, node, call);
    if (is(3, "layouts")) return put_numbered_configuration(ports, node, call);
    if (is(3, "moves")) return put_version_rollout(ports, node, call);
    if (is(3, "purges")) return put_purge(node, purger, call);
    if (is(4, "drains")) return put_drain(ports, node, call);
    return error_response(404, kNoResource);
  }

  // What takes as long as it needs: pieces of a mebibyte, and a change of the set of replicas.
  static bool is_long(const ApiRequest& call) {
    return call.request.method == "PUT" && call.path.size() == 3 &&
           (call.path[1] == "artifacts" || call.path[1] == "holders");
  }
  base::Response write_long(ApiRequest& call) {
    return call.path[1] == "artifacts" ? put_artifact_chunk(node, call) : put_replica(node, call);
  }

  // What this relay tells of itself alone, whether or not it hears the others.
  std::optional<base::Response> read_local(const ApiRequest& call) {
    auto& path = call.path;
    bool get = call.request.method == "GET";
    if (path.size() == 1 && path[0] == "readyz")
      return node.ready() ? json_response(200, "{\"ready\":true}") : json_response(503, "{\"ready\":false}");
    if (get && path.size() == 1 && path[0] == "status")
      return json_response(200, status(node, ports.clock.now()));
    if (get && path.size() == 1 && path[0] == "metrics")
      return base::Response{
          200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics(node, ports.clock.now())};
    if (path.size() < 2 || path[0] != "v1") return error_response(404, kNoResource);
    if (get && path.size() == 2 && path[1] == "self") return node_identity(node);
    return {};
  }
};

Router::Router(base::Ports& ports, node::Node& node) : impl_(std::make_shared<Impl>(ports, node)) {}
Router::~Router() = default;

base::Response Router::handle(base::Request& request) {
  auto call = parse_request(request);
  if (auto response = impl_->read_local(call)) return *response;
  if (request.method == "GET" || request.method == "HEAD") return impl_->watch(call);
  if (Impl::is_long(call)) return impl_->write_long(call);
  auto deadline = impl_->ports.clock.now() + kResponseLimit;
  // The work may outlast this call, so it has a request of its own.
  auto own = std::make_shared<base::Request>(request);
  return respond_within(impl_->ports, kResponseLimit, [impl = impl_, own, deadline] {
    auto parsed = parse_request(*own);
    parsed.deadline = deadline;
    return impl->write(parsed);
  });
}

}  // namespace dunlinwing::control_api
