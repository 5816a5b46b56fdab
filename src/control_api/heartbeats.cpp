// A heartbeat without new information is acknowledged under the read lease, without a round of its
// own: it affects only this node's memory, and the next one arrives within seconds. New information,
// above all that an instance is leaving, is acknowledged by a majority.
#include "control_api/heartbeats.hpp"

#include "control_api/schemas.hpp"
#include "control_api/write_forwarder.hpp"
#include "membership/deregistered.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr int kOk = 200;
constexpr const char* kAcknowledged = "{\"known\":true}";

/// @param json  conforms to the schema
pb::Heartbeat parse_heartbeat(const base::Json& json) {
  pb::Heartbeat heartbeat;
  heartbeat.set_service(json.at("service").string_or());
  heartbeat.set_version(json.at("version").string_or());
  heartbeat.set_instance(json.at("instance").string_or());
  heartbeat.set_zone(json.at("zone").string_or());
  heartbeat.set_address(json.at("address").string_or());
  heartbeat.set_capacity(static_cast<uint32_t>(json.at("capacity").integer_or(1)));
  heartbeat.set_leaving(json.at("leaving").bool_or());
  heartbeat.set_sequence(static_cast<uint64_t>(json.at("number").integer_or()));
  heartbeat.set_period_ms(static_cast<uint32_t>(json.at("period_ms").integer_or()));
  heartbeat.set_warm_up_ms(static_cast<uint32_t>(json.at("cold_ms").integer_or()));
  return heartbeat;
}

bool forward_deregistration(const ApiContext& context, const ApiRequest& heartbeat,
                            const std::string& instance) {
  const base::Request http{"", "DELETE", "/v1/workers/" + encode_segment(instance), {}, {}};
  auto request = parse_request(http);
  request.deadline = heartbeat.deadline;
  ForwardTrace trace;
  return context.forwarder.forward(request, trace).status == kOk;
}
}  // namespace

base::Response post_heartbeat(const ApiContext& context, const ApiRequest& request) {
  auto body = parse_body(request.http.body, heartbeat_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  auto deregister = [&](const std::string& instance) {
    return forward_deregistration(context, request, instance);
  };
  if (!context.node.accept_heartbeat(parse_heartbeat(std::get<base::Json>(body)), deregister))
    return error_response(503, "this node cannot pass the beat on; try another");
  return json_response(200, kAcknowledged);
}

base::Response delete_instance(const ApiContext& context, const ApiRequest& request) {
  if (!membership::deregister(context.updater, request.path[2], request.deadline))
    return error_response(503, "this node cannot record it; try another");
  context.node.state_cache().pull_soon();
  return json_response(200, kAcknowledged);
}

}  // namespace dunlinwing::control_api
