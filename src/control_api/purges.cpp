// A purge without a name is carried out each time it is sent, which does no harm. A named purge is
// carried out once.
#include "control_api/purges.hpp"

#include <fmt/format.h>

#include "control_api/cached_registers.hpp"
#include "control_api/majority_contact.hpp"
#include "control_api/purge_writer.hpp"
#include "control_api/schemas.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::control_api {
namespace {
struct PurgeRequest {
  std::string service;  ///< proxy::kAllServices: every service
  pb::Purge purge;
};

/// The request, or the response (422) that says why it is invalid.
std::variant<PurgeRequest, base::Response> parse_purge(const ApiRequest& request) {
  auto body = parse_body(request.http.body, purge_schema());
  if (auto* invalid = std::get_if<base::Response>(&body)) return *invalid;
  const auto& json = std::get<base::Json>(body);
  PurgeRequest parsed;
  auto& purge = parsed.purge;
  purge.set_kind(json.at("kind").string_or());
  const char* target_key = purge.kind() == purge_kind::kTag ? "tag" : "path";
  purge.set_path(json.at(target_key).string_or());
  purge.set_host(json.at("host").string_or());
  if (request.path.size() > 2) purge.set_name(request.path[2]);
  bool whole_service = purge.kind() == purge_kind::kService;
  if (!whole_service && purge.path().empty())
    return validation_errors({{std::string("/") + target_key, "is missing"}});
  parsed.service = json.at("service").string_or(proxy::kAllServices);
  if (parsed.service == proxy::kAllServices && whole_service)
    return validation_errors({{"/service", "is missing"}});
  return parsed;
}

base::Response name_taken(const std::string& service) {
  return error_response(
      409, "a purge of this name exists for service " + service + " and is another; take a new name");
}

/// The first other service that has a purge of this name, as of the latest pull.
std::optional<std::string> find_other_service(node::Node& node, const PurgeRequest& wanted) {
  std::optional<std::string> found;
  for_each_cached_register(node, kPurgePrefix,
                           [&](const std::string& service, const consensus::VersionedValue& value) {
                             pb::PurgeSet set;
                             if (found || service == wanted.service || !set.ParseFromString(value.data))
                               return;
                             for (const auto& purge : set.purges())
                               if (purge.name() == wanted.purge.name()) found = service;
                           });
  return found;
}

}  // namespace

base::Response put_purge(const ApiContext& context, const ApiRequest& request) {
  auto parsed = parse_purge(request);
  if (auto* invalid = std::get_if<base::Response>(&parsed)) return *invalid;
  const auto& wanted = std::get<PurgeRequest>(parsed);
  if (!wanted.purge.name().empty()) {
    if (auto no_majority = await_majority_contact(context.node)) return *no_majority;
    if (auto other = find_other_service(context.node, wanted)) return name_taken(*other);
  }
  auto written = write_purge(context.updater, wanted.service, wanted.purge, request.deadline);
  if (auto* error = std::get_if<consensus::UpdateError>(&written)) return update_error(*error);
  const auto& result = std::get<PurgeResult>(written);
  if (result.conflict) return name_taken(wanted.service);
  return json_response(200, fmt::format(R"({{"purge":{},"number":{},"was_known":{}}})",
                                        base::quote(wanted.purge.name()), result.number, result.existed));
}

}  // namespace dunlinwing::control_api
