#include "control_api/listings.hpp"

#include <fmt/format.h>

#include "control_api/cached_registers.hpp"
#include "control_api/purge_writer.hpp"
#include "membership/deregistered.hpp"

namespace dunlinwing::control_api {
namespace {
constexpr std::string_view kDrainPrefix = "drain/";

/// Lists the registers with this prefix, which contain one message each, by name without the prefix.
/// @param key  of the list in the response
template <class Message>
base::Response list_registers(node::Node& node, std::string_view prefix, const char* key) {
  std::vector<std::string> list;
  for_each_cached_register(node, prefix,
                           [&](const std::string& name, const consensus::VersionedValue& value) {
                             Message message;
                             message.ParseFromString(value.data);
                             list.push_back(fmt::format("{}:{}", base::quote(name), message_json(message)));
                           });
  return json_response(200, fmt::format("{{\"{}\":{{{}}}}}", key, fmt::join(list, ",")));
}

std::vector<std::string> deregistered_names(node::Node& node) {
  std::vector<std::string> names;
  auto value = cached_register(node, membership::kDeregisteredKey);
  for (const auto& instance : membership::parse_deregistered(value.data))
    names.push_back(base::quote(instance));
  return names;
}
}  // namespace

base::Response list_nodes(const ApiContext& context, const ApiRequest&) {
  auto now = context.ports.clock.now();
  auto& statuses = context.node.state_cache().statuses();
  std::set<std::string> members;
  for (auto& member : statuses.members(now)) members.insert(member.name);
  std::vector<std::string> list;
  for (auto& known : statuses.all_nodes(now)) {
    if (known.info.zone().empty()) continue;  // nothing but its name was ever reported
    list.push_back(fmt::format(R"({{"name":{},"member":{},"age_ms":{},"facts":{}}})", base::quote(known.name),
                               members.count(known.name) > 0, known.age.count(), message_json(known.info)));
  }
  return json_response(200, fmt::format("{{\"nodes\":[{}]}}", fmt::join(list, ",")));
}

base::Response list_instances(const ApiContext& context, const ApiRequest&) {
  auto instances = context.node.state_cache().statuses().backend_instances(context.ports.clock.now());
  std::vector<std::string> list;
  list.reserve(instances.size());
  for (auto& [name, instance] : instances)
    list.push_back(fmt::format(R"({{"instance":{},"gone":{},"age_ms":{},"beat":{}}})", base::quote(name),
                               instance.gone, instance.age.count(), message_json(instance.heartbeat)));
  return json_response(200, fmt::format(R"({{"workers":[{}],"departed":[{}]}})", fmt::join(list, ","),
                                        fmt::join(deregistered_names(context.node), ",")));
}

base::Response list_drains(const ApiContext& context, const ApiRequest&) {
  return list_registers<pb::Drain>(context.node, kDrainPrefix, "drains");
}

base::Response list_purges(const ApiContext& context, const ApiRequest&) {
  return list_registers<pb::PurgeSet>(context.node, kPurgePrefix, "purges");
}

base::Response get_assignments(const ApiContext& context, const ApiRequest&) {
  auto version = cached_register(context.node, rollout::kRolloutKey).version;
  return json_response(200, message_json(rollout::read_rollout_state(context.node.state_cache().chosen())),
                       version);
}

base::Response get_assignment(const ApiContext& context, const ApiRequest& request) {
  auto rollout = rollout::read_rollout_state(context.node.state_cache().chosen());
  auto found = rollout.nodes().find(request.path[2]);
  if (found == rollout.nodes().end()) return error_response(404, "no such node");
  return json_response(200, message_json(found->second), found->second.generation());
}

base::Response get_leadership(const ApiContext& context, const ApiRequest&) {
  return json_response(200, "{\"rollout\":" + message_json(context.node.leadership().known_lease()) + "}");
}

}  // namespace dunlinwing::control_api
