/// @file
/// Commands that show the fleet's resources, and those that roll out versions, purge content and drain nodes.
#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

#include "console/commands.hpp"
#include "console/output.hpp"

namespace dunlinwing::console {
namespace {
std::string yes_or_no(bool value) { return value ? "yes" : "no"; }

void print_node_row(const base::Json& node) {
  auto facts = node.at("facts");
  std::cout << row({{node.at("name").string_or(), 10},
                    {facts.at("zone").string_or(), 6},
                    {yes_or_no(node.at("member").bool_or()), 7},
                    {yes_or_no(facts.at("ready").bool_or()), 6},
                    {yes_or_no(facts.at("holder").bool_or()), 7},
                    {facts.at("generation").string_or(), 6},
                    {facts.at("running").at("layout").string_or(), 20},
                    {facts.at("software").string_or(), 0}});
}

ExitStatus nodes(CommandContext& context) {
  return print_reply(context, context.client.get("/v1/nodes"), [](const base::Json& body) {
    std::cout << row({{"NAME", 10},
                      {"ZONE", 6},
                      {"MEMBER", 7},
                      {"READY", 6},
                      {"HOLDER", 7},
                      {"GEN", 6},
                      {"LAYOUT", 20},
                      {"SOFTWARE", 0}});
    for (auto& node : body.at("nodes").items()) print_node_row(node);
  });
}

std::string worker_state(const base::Json& worker) {
  if (worker.at("beat").at("leaving").bool_or()) return "leaving";
  return worker.at("gone").bool_or() ? "gone" : "beating";
}

ExitStatus workers(CommandContext& context) {
  return print_reply(context, context.client.get("/v1/workers"), [](const base::Json& body) {
    std::cout << row(
        {{"INSTANCE", 16}, {"SERVICE", 14}, {"VERSION", 10}, {"ZONE", 6}, {"ADDRESS", 22}, {"STATE", 0}});
    for (auto& worker : body.at("workers").items()) {
      auto heartbeat = worker.at("beat");
      std::cout << row({{worker.at("instance").string_or(), 16},
                        {heartbeat.at("service").string_or(), 14},
                        {heartbeat.at("version").string_or(), 10},
                        {heartbeat.at("zone").string_or(), 6},
                        {heartbeat.at("address").string_or(), 22},
                        {worker_state(worker), 0}});
    }
  });
}

ExitStatus leaders(CommandContext& context) {
  return print_reply(context, context.client.get("/v1/duties"), [](const base::Json& body) {
    for (auto& [name, leader] : body.members())
      std::cout << name << ": " << leader.at("holder").string_or() << ", understudy "
                << leader.at("understudy").string_or() << ", term " << leader.at("term").string_or() << "\n";
  });
}

ExitStatus get(CommandContext& context) {
  const auto& resource = context.arguments[0];
  auto reply = context.client.get(resource.starts_with("/") ? resource : "/v1/" + resource);
  if (reply.status != 200) return report_rejection(reply);
  std::cout << reply.text;
  return ExitStatus::ok;
}

/// The optional third argument is a time in seconds: the rollout completes within it or is rolled back.
ExitStatus move(CommandContext& context) {
  const auto& service = context.arguments[0];
  auto version = base::quote(context.arguments[1]);
  if (context.arguments.size() <= 2)
    return print_confirmation(
        context, context.client.put("/v1/services/" + service, fmt::format(R"({{"version":{}}})", version)),
        "stated; watch it with: console get services/" + service);
  auto within_ms = std::strtoll(context.arguments[2].c_str(), nullptr, 10) * 1000;
  auto body = fmt::format(R"({{"version":{},"within_ms":{}}})", version, within_ms);
  return print_confirmation(context, context.client.put("/v1/moves/" + service, body),
                            "asked for; see how it goes with: console get moves/" + service);
}

ExitStatus purge(CommandContext& context) {
  const auto& arguments = context.arguments;
  auto path = arguments.size() > 3 ? fmt::format(R"(,"path":{})", base::quote(arguments[3])) : "";
  auto body = fmt::format(R"({{"service":{},"kind":{}{}}})", base::quote(arguments[1]),
                          base::quote(arguments[2]), path);
  return print_confirmation(context, context.client.put("/v1/purges/" + arguments[0], body),
                            "purged; no relay serves it two seconds from now");
}

ExitStatus put_drain(CommandContext& context, bool drained) {
  auto path = fmt::format("/v1/drains/{}/{}", context.arguments[0], context.arguments[1]);
  auto body = fmt::format(R"({{"drained":{},"reason":{}}})", drained, base::quote(context.reason));
  return print_confirmation(context, context.client.put(path, body),
                            drained ? "draining" : "no longer drained");
}

ExitStatus drain(CommandContext& context) {
  return context.reason.empty() ? report_missing_reason() : put_drain(context, true);
}
ExitStatus undrain(CommandContext& context) { return put_drain(context, false); }
}  // namespace

Commands fleet_commands() {
  return {
      {"get", {"get RESOURCE", "prints any resource as JSON", 1, 1, get}},
      {"move",
       {"move SERVICE VERSION [SECONDS]",
        "moves a service to a worker version; rolls back if not complete within SECONDS", 2, 3, move}},
      {"purge", {"purge NAME SERVICE path|prefix|service [PATH]", "purges cached content", 3, 4, purge}},
      {"drain", {"drain node|zone NAME --reason R", "takes a relay or a zone out of traffic", 2, 2, drain}},
      {"undrain", {"undrain node|zone NAME", "returns a relay or a zone to traffic", 2, 2, undrain}},
      {"nodes", {"nodes", "lists all relays", 0, 0, nodes}},
      {"workers", {"workers", "lists all workers", 0, 0, workers}},
      {"duties", {"duties", "lists which relay does each duty", 0, 0, leaders}},
  };
}

}  // namespace dunlinwing::console
