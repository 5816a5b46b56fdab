// A configuration whose number is not above the one held changes nothing. It is judged by
// itself like any other, and then: acknowledged below the number held, and under it with the
// content that is held; a conflict (409) under it with another content, since of two operators
// only one can have been heard.
#include "control_api/numbered_configuration.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/log.hpp"
#include "config/numbered_configuration.hpp"
#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("control-api");
constexpr int kAttempts = 16;

std::optional<uint64_t> parse_number(const std::string& text) {
  uint64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || !number) return {};
  return number;
}

// The request as it would be recorded, or the response that says why it is invalid.
std::variant<pb::NumberedConfiguration, base::Response> read_request(ApiRequest& call) {
  auto number = parse_number(call.path[2]);
  if (!number) return error_response(422, "a layout is stated under a number above 0");
  auto parsed = base::Json::parse(call.request.body);
  if (auto* error = std::get_if<base::ValidationError>(&parsed)) return validation_errors({*error});
  auto& json = std::get<base::Json>(parsed);
  auto read =
      config::parse_routing_configuration(config::numbered_configuration_name(*number), json.at("content"));
  if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&read))
    return validation_errors(*errors);
  pb::NumberedConfiguration stated;
  stated.set_number(*number);
  stated.set_document(std::get<std::shared_ptr<const config::RoutingConfiguration>>(read)->text);
  stated.set_operator_text(json.at("stated").string_or());
  return stated;
}

// The response to what is not above the configuration held.
base::Response nothing_changed(const pb::NumberedConfiguration& held, const pb::NumberedConfiguration& stated,
                               uint64_t version) {
  if (held.number() == stated.number() && held.document() != stated.document()) {
    logger.warn("Layout {} was stated with another content than is held.", held.number());
    return json_response(
        409,
        fmt::format(R"({{"defect":"held under this number with other content","number":{}}})", held.number()),
        version);
  }
  return json_response(200, fmt::format(R"({{"number":{},"changed":false}})", held.number()), version);
}
}  // namespace

base::Response put_numbered_configuration(base::Ports& ports, node::Node& node, ApiRequest& call) {
  auto request = read_request(call);
  if (auto* response = std::get_if<base::Response>(&request)) return *response;
  auto& stated = std::get<pb::NumberedConfiguration>(request);
  auto read = node.registers().read(config::kNumberedConfigurationKey);
  if (auto* error = std::get_if<consensus::RegisterError>(&read)) return register_error(*error);
  auto held = std::get<consensus::VersionedValue>(read);
  for (int i = 0; i < kAttempts && (i == 0 || ports.clock.now() < call.deadline); ++i) {
    pb::NumberedConfiguration now;
    now.ParseFromString(held.data);
    if (now.number() >= stated.number()) return nothing_changed(now, stated, held.version);
    auto written =
        node.registers().write(config::kNumberedConfigurationKey, held.version, stated.SerializeAsString());
    if (auto* value = std::get_if<consensus::VersionedValue>(&written)) {
      logger.info("Layout {} was recorded.", stated.number());
      node.state_cache().pull_soon();
      return json_response(200, fmt::format(R"({{"number":{},"changed":true}})", stated.number()),
                           value->version);
    }
    if (auto* error = std::get_if<consensus::RegisterError>(&written)) return register_error(*error);
    held = std::get<consensus::VersionConflict>(written).current;
  }
  return error_response(503, "other writes came first; send it again");
}

base::Response get_numbered_configuration(node::Node& node) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(config::kNumberedConfigurationKey);
  pb::NumberedConfiguration held;
  if (found == chosen.end() || !held.ParseFromString(found->second.data) || !held.number())
    return error_response(404, "no layout was ever stated under a number");
  return json_response(200,
                       fmt::format(R"({{"number":{},"content":{},"stated":{}}})", held.number(),
                                   held.document(), base::quote(held.operator_text())),
                       found->second.version);
}

}  // namespace dunlinwing::control_api
