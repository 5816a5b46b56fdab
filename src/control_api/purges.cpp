// A purge without a name is done again when it is sent again, which does no harm. One with
// a name is done once.
#include "control_api/purges.hpp"

#include <fmt/format.h>

#include "control_api/majority_contact.hpp"
#include "control_api/schemas.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr std::string_view kPurgePrefix = "purge/";
constexpr const char* kWholeService = "service";

base::Response name_taken(const std::string& service) {
  return error_response(
      409, "a purge of this name exists for service " + service + " and is another; take a new name");
}

// The other service that has a purge of this name, as of the latest pull.
std::optional<std::string> other_service_with(node::Node& node, const std::string& name,
                                              const std::string& service) {
  for (auto& [key, held] : node.state_cache().chosen()) {
    if (!key.starts_with(kPurgePrefix)) continue;
    auto other = key.substr(kPurgePrefix.size());
    pb::PurgeSet set;
    if (other == service || !set.ParseFromString(held.data)) continue;
    for (auto& purge : set.purges())
      if (purge.name() == name) return other;
  }
  return {};
}

pb::Purge purge_of(const base::Json& json) {
  pb::Purge purge;
  purge.set_kind(json.at("kind").string_or());
  purge.set_path(json.at(purge.kind() == "tag" ? "tag" : "path").string_or());
  purge.set_host(json.at("host").string_or());
  return purge;
}
}  // namespace

base::Response put_purge(node::Node& node, PurgeWriter& purger, ApiRequest& call) {
  auto body = parse_body(call.request.body, purge_schema());
  if (auto* response = std::get_if<base::Response>(&body)) return *response;
  auto& json = std::get<base::Json>(body);
  auto purge = purge_of(json);
  if (call.path.size() > 2) purge.set_name(call.path[2]);
  if (purge.kind() != kWholeService && purge.path().empty())
    return validation_errors({{purge.kind() == "tag" ? "/tag" : "/path", "is missing"}});
  auto service = json.at("service").string_or(proxy::kAllServices);
  if (service == proxy::kAllServices && purge.kind() == kWholeService)
    return validation_errors({{"/service", "is missing"}});
  if (!purge.name().empty()) {
    if (auto unheard = await_majority_contact(node)) return *unheard;
    if (auto other = other_service_with(node, purge.name(), service)) return name_taken(*other);
  }
  auto result = purger.put(service, purge);
  if (auto* error = std::get_if<PurgeError>(&result))
    return register_error(*error == PurgeError::no_majority ? consensus::RegisterError::no_majority
                                                            : consensus::RegisterError::fate_unknown);
  auto& done = std::get<PurgeResult>(result);
  if (done.conflict) return name_taken(service);
  return json_response(200, fmt::format(R"({{"purge":{},"number":{},"was_known":{}}})",
                                        base::quote(purge.name()), done.number, done.known));
}

}  // namespace dunlinwing::control_api
