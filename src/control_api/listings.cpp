// Registers that hold one message each are listed by the rest of their names.
#include "control_api/listings.hpp"

#include <fmt/format.h>

#include "config/release.hpp"
#include "membership/deregistered.hpp"

namespace dunlinwing::control_api {
namespace {
template <class Message>
base::Response list_registers(node::Node& node, const std::string& prefix, const char* what) {
  std::string list;
  for (auto& [key, held] : node.state_cache().chosen()) {
    if (!key.starts_with(prefix)) continue;
    Message message;
    message.ParseFromString(held.data);
    list += fmt::format("{}{}:{}", list.empty() ? "" : ",", base::quote(key.substr(prefix.size())),
                        message_json(message));
  }
  return json_response(200, fmt::format("{{\"{}\":{{{}}}}}", what, list));
}

std::string deregistered_names(node::Node& node) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(membership::kDeregisteredKey);
  std::string list;
  if (found == chosen.end()) return list;
  for (auto& instance : membership::read_deregistered(found->second.data))
    list += (list.empty() ? "" : ",") + base::quote(instance);
  return list;
}
}  // namespace

base::Response list_nodes(node::Node& node, TimePoint now) {
  std::set<std::string> members;
  for (auto& member : node.state_cache().statuses().members(now)) members.insert(member.name);
  std::string list;
  for (auto& known : node.state_cache().statuses().all(now)) {
    if (known.info.zone().empty()) continue;
    list += fmt::format(R"({}{{"name":{},"member":{},"age_ms":{},"facts":{}}})", list.empty() ? "" : ",",
                        base::quote(known.name), members.count(known.name) > 0, known.age.count(),
                        message_json(known.info));
  }
  return json_response(200, "{\"nodes\":[" + list + "]}");
}

base::Response list_instances(node::Node& node, TimePoint now) {
  std::string list;
  for (auto& [instance, worker] : node.state_cache().statuses().backend_instances(now)) {
    list +=
        fmt::format(R"({}{{"instance":{},"gone":{},"age_ms":{},"beat":{}}})", list.empty() ? "" : ",",
                    base::quote(instance), worker.gone, worker.age.count(), message_json(worker.heartbeat));
  }
  return json_response(200, "{\"workers\":[" + list + "],\"departed\":[" + deregistered_names(node) + "]}");
}

base::Response list_drains(node::Node& node) { return list_registers<pb::Drain>(node, "drain/", "drains"); }
base::Response list_purges(node::Node& node) {
  return list_registers<pb::PurgeSet>(node, "purge/", "purges");
}

base::Response get_assignments(node::Node& node) {
  auto& chosen = node.state_cache().chosen();
  auto found = chosen.find(rollout::kRolloutKey);
  uint64_t version = found == chosen.end() ? 0 : found->second.version;
  return json_response(200, message_json(rollout::read_rollout_state(chosen)), version);
}

base::Response get_assignment(node::Node& node, const std::string& name) {
  auto rollout = rollout::read_rollout_state(node.state_cache().chosen());
  auto found = rollout.nodes().find(name);
  if (found == rollout.nodes().end()) return error_response(404, "no such node");
  return json_response(200, message_json(found->second), found->second.generation());
}

}  // namespace dunlinwing::control_api
