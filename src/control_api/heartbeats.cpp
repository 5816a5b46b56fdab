// A heartbeat that says nothing new is acknowledged under the read lease, without a round
// of its own: it concerns this relay's memory alone, and the next one comes within seconds.
// What is new, and above all the word to leave, is acknowledged by a majority.
#include "control_api/heartbeats.hpp"

#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr const char* kKnown = "{\"known\":true}";

pb::Heartbeat heartbeat_of(const base::Json& json) {
  pb::Heartbeat beat;
  beat.set_service(json.at("service").string_or());
  beat.set_version(json.at("version").string_or());
  beat.set_instance(json.at("instance").string_or());
  beat.set_zone(json.at("zone").string_or());
  beat.set_address(json.at("address").string_or());
  beat.set_capacity(static_cast<uint32_t>(json.at("capacity").integer_or(1)));
  beat.set_leaving(json.at("leaving").bool_or());
  beat.set_sequence(static_cast<uint64_t>(json.at("number").integer_or()));
  beat.set_period_ms(static_cast<uint32_t>(json.at("period_ms").integer_or()));
  beat.set_warm_up_ms(static_cast<uint32_t>(json.at("cold_ms").integer_or()));
  return beat;
}
}  // namespace

base::Response post_heartbeat(node::Node& node, ApiRequest& call) {
  auto body = parse_body(call.request.body, heartbeat_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  if (!node.accept_heartbeat(heartbeat_of(std::get<base::Json>(body))))
    return error_response(503, "this node cannot pass the beat on; try another");
  return json_response(200, kKnown);
}

base::Response delete_instance(node::Node& node, ApiRequest& call) {
  if (!node.deregister_instance(call.path[2]))
    return error_response(503, "this node cannot record it; try another");
  return json_response(200, kKnown);
}

}  // namespace dunlinwing::control_api
