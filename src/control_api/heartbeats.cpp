// A heartbeat that says nothing new is acknowledged under the read lease, without a round
// of its own: it concerns this relay's memory alone, and the next one comes within seconds.
// What is new, and above all the word to leave, is acknowledged by a majority.
#include "control_api/heartbeats.hpp"

#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr const char* kKnown = "{\"known\":true}";

pb::Beat heartbeat_of(const base::Json& json) {
  pb::Beat beat;
  beat.set_service(json.at("service").str());
  beat.set_version(json.at("version").str());
  beat.set_instance(json.at("instance").str());
  beat.set_zone(json.at("zone").str());
  beat.set_address(json.at("address").str());
  beat.set_capacity(static_cast<uint32_t>(json.at("capacity").num(1)));
  beat.set_leaving(json.at("leaving").flag());
  beat.set_number(static_cast<uint64_t>(json.at("number").num()));
  beat.set_period_ms(static_cast<uint32_t>(json.at("period_ms").num()));
  beat.set_cold_ms(static_cast<uint32_t>(json.at("cold_ms").num()));
  return beat;
}
}  // namespace

base::Response post_heartbeat(relay::Node& node, Call& call) {
  auto body = parse_body(call.request.body, beat_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  if (!node.beat(heartbeat_of(std::get<base::Json>(body))))
    return error_response(503, "this node cannot pass the beat on; try another");
  return json_response(200, kKnown);
}

base::Response delete_worker(relay::Node& node, Call& call) {
  if (!node.gone(call.path[2])) return error_response(503, "this node cannot record it; try another");
  return json_response(200, kKnown);
}

}  // namespace dunlinwing::control_api
