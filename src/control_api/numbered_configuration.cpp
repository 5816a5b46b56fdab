// A configuration whose number is not above the one in force changes nothing. It is validated on its
// own like any other. A lower number, or the same number with the content in force, is acknowledged;
// the same number with different content is a conflict (409), since of two operators who use one
// number only one can have been acknowledged.
#include "control_api/numbered_configuration.hpp"

#include <fmt/format.h>

#include <charconv>

#include "base/log.hpp"
#include "config/numbered_configuration.hpp"
#include "control_api/cached_registers.hpp"
#include "control_api/register_change.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr base::Log logger("control-api");

/// A number above 0, in decimal digits.
std::optional<uint64_t> parse_number(const std::string& text) {
  uint64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || !number) return {};
  return number;
}

/// The request as it would be recorded, or the response that says why it is invalid.
std::variant<pb::NumberedConfiguration, base::Response> parse_configuration(const ApiRequest& request) {
  auto number = parse_number(request.path[2]);
  if (!number) return error_response(422, "a layout is stated under a number above 0");
  auto parsed = base::Json::parse(request.http.body);
  if (auto* error = std::get_if<base::ValidationError>(&parsed)) return validation_errors({*error});
  auto& json = std::get<base::Json>(parsed);
  auto read =
      config::parse_routing_configuration(config::numbered_configuration_name(*number), json.at("content"));
  if (auto* errors = std::get_if<std::vector<base::ValidationError>>(&read))
    return validation_errors(*errors);
  pb::NumberedConfiguration requested;
  requested.set_number(*number);
  requested.set_document(std::get<std::shared_ptr<const config::RoutingConfiguration>>(read)->text);
  requested.set_operator_text(json.at("stated").string_or());
  return requested;
}

std::string recorded_json(uint64_t number, bool changed) {
  return fmt::format(R"({{"number":{},"changed":{}}})", number, changed);
}

/// The response to a configuration whose number is not above the one in force.
base::Response unchanged_response(const pb::NumberedConfiguration& in_force,
                                  const pb::NumberedConfiguration& requested, uint64_t version) {
  if (in_force.number() == requested.number() && in_force.document() != requested.document()) {
    logger.warn("Configuration {} was rejected: its content differs from the one in force under this number.",
                in_force.number());
    return json_response(
        409,
        fmt::format(R"({{"defect":"held under this number with other content","number":{}}})",
                    in_force.number()),
        version);
  }
  return json_response(200, recorded_json(in_force.number(), false), version);
}
}  // namespace

base::Response put_numbered_configuration(const ApiContext& context, const ApiRequest& request) {
  auto parsed = parse_configuration(request);
  if (auto* invalid = std::get_if<base::Response>(&parsed)) return *invalid;
  const auto& requested = std::get<pb::NumberedConfiguration>(parsed);
  RegisterChange change;
  change.key = config::kNumberedConfigurationKey;
  change.may_share_version = true;  // its precondition is the number
  change.decide =
      [&](const consensus::VersionedValue& stored) -> std::variant<RegisterWrite, base::Response> {
    pb::NumberedConfiguration in_force;
    in_force.ParseFromString(stored.data);
    if (in_force.number() >= requested.number())
      return unchanged_response(in_force, requested, stored.version);
    return RegisterWrite{requested.SerializeAsString(), recorded_json(requested.number(), true)};
  };
  change.on_written = [&] {
    logger.info("Configuration {} was recorded.", requested.number());
    context.node.state_cache().pull_soon();
  };
  return apply_change(context, request, change);
}

base::Response get_numbered_configuration(const ApiContext& context, const ApiRequest&) {
  auto stored = cached_register(context.node, config::kNumberedConfigurationKey);
  pb::NumberedConfiguration in_force;
  if (!in_force.ParseFromString(stored.data) || !in_force.number())
    return error_response(404, "no layout was ever stated under a number");
  return json_response(200,
                       fmt::format(R"({{"number":{},"content":{},"stated":{}}})", in_force.number(),
                                   in_force.document(), base::quote(in_force.operator_text())),
                       stored.version);
}

}  // namespace dunlinwing::control_api
