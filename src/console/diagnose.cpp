/// @file
/// Checks everything that an operator would check, and reports what is wrong. Seeds are checked first, then
/// nodes, releases, workers and leaders; each finding is one sentence.
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <set>

#include "console/commands.hpp"
#include "console/output.hpp"

namespace dunlinwing::console {
namespace {
using Findings = std::vector<std::string>;

constexpr Duration kReadinessLimit{2000};  ///< for a seed's response to GET /readyz

uint64_t parse_uint64(const base::Json& json) {
  return std::strtoull(json.string_or("0").c_str(), nullptr, 10);
}

/// @return whether any seed answers
bool check_seeds(CommandContext& context, Findings& findings) {
  size_t unreachable_seeds = 0;
  for (const auto& seed : context.client.seeds()) {
    if (context.client.get_from(seed, "/readyz", kReadinessLimit).status != 0) continue;
    ++unreachable_seeds;
    findings.push_back(fmt::format("seed {} does not answer", seed));
  }
  return unreachable_seeds < context.client.seeds().size();
}

void check_node(const base::Json& node, Findings& findings) {
  auto facts = node.at("facts");
  auto name = node.at("name").string_or();
  auto zone = facts.at("zone").string_or();
  auto load_error = facts.at("load_defect").string_or();
  if (!node.at("member").bool_or())
    findings.push_back(fmt::format(
        "node {} of zone {} has not been heard of for {} s: look whether its machine and process are up",
        name, zone, node.at("age_ms").integer_or() / 1000));
  else if (!load_error.empty())
    findings.push_back(fmt::format("node {} cannot load what it is assigned: {}", name, load_error));
  else if (!facts.at("ready").bool_or())
    findings.push_back(
        fmt::format("node {} of zone {} is a member but not ready: it is drained, or has no layout or no "
                    "fresh statuses",
                    name, zone));
}

void check_nodes(const base::Json& body, Findings& findings) {
  struct Zone {
    int nodes = 0;
    int ready = 0;
  };
  std::map<std::string, Zone> zones;
  int replicas = 0;
  int lost_replicas = 0;
  for (auto& node : body.at("nodes").items()) {
    auto facts = node.at("facts");
    bool member = node.at("member").bool_or();
    auto& zone = zones[facts.at("zone").string_or()];
    ++zone.nodes;
    if (member && facts.at("ready").bool_or()) ++zone.ready;
    if (facts.at("holder").bool_or()) {
      ++replicas;
      if (!member) ++lost_replicas;
    }
    check_node(node, findings);
  }
  if (lost_replicas > 0)
    findings.push_back(fmt::format("{} of {} holders are lost; {} more may be lost before control stops",
                                   lost_replicas, replicas, std::max(0, (replicas - 1) / 2 - lost_replicas)));
  for (auto& [name, zone] : zones)
    if (zone.ready == 0)
      findings.push_back(fmt::format("zone {}: none of its {} nodes is ready", name, zone.nodes));
}

void check_releases(const base::Json& body, Findings& findings) {
  for (auto& release : body.at("releases").items()) {
    auto progress = release.at("course");
    auto reason = progress.at("why").string_or();
    auto name = release.at("kind").string_or() + " " + release.at("name").string_or();
    if (progress.at("phase").string_or() == "STOPPED")
      findings.push_back(fmt::format("release {} was stopped: {}", name, reason));
    if (reason.starts_with("too little evidence"))
      findings.push_back(
          fmt::format("release {} holds: {}; wait, or waive the check evidence", name, reason));
    if (reason.starts_with("there is no zone"))
      findings.push_back(fmt::format("release {} cannot go on: {}", name, reason));
  }
}

using VersionCounts = std::map<std::string, int>;  ///< workers that send heartbeats, by version

std::map<std::string, VersionCounts> count_workers(const base::Json& body) {
  std::map<std::string, VersionCounts> by_service;
  for (auto& worker : body.at("workers").items()) {
    auto heartbeat = worker.at("beat");
    if (!worker.at("gone").bool_or())
      ++by_service[heartbeat.at("service").string_or()][heartbeat.at("version").string_or()];
  }
  return by_service;
}

std::set<std::string> assigned_layouts(const base::Json& body) {
  std::set<std::string> layouts;
  for (auto& [node, assignment] : body.at("nodes").members())
    layouts.insert(assignment.at("releases").at("layout").string_or());
  layouts.erase("");
  return layouts;
}

int allowed_workers(const VersionCounts& counts, const std::vector<std::string>& allowed_versions) {
  int workers = 0;
  for (const auto& [version, count] : counts)
    if (allowed_versions.empty() ||
        std::find(allowed_versions.begin(), allowed_versions.end(), version) != allowed_versions.end())
      workers += count;
  return workers;
}

void check_services(CommandContext& context, Findings& findings) {
  auto workers = count_workers(context.client.get("/v1/workers").body);
  auto layouts = assigned_layouts(context.client.get("/v1/assignments").body);
  if (layouts.empty())
    findings.emplace_back("no layout is in force: record one with: console apply layout NAME FILE");
  for (const auto& layout : layouts) {
    auto release = context.client.get("/v1/releases/layout/" + layout);
    for (auto& [name, service] : release.body.at("document").at("content").at("services").members()) {
      if (!allowed_workers(workers[name], service.at("versions").strings()))
        findings.push_back(
            fmt::format("service {} of layout {} has no worker of an allowed version", name, layout));
      auto state = context.client.get("/v1/services/" + name);
      for (auto& [version, reason] : state.body.at("quarantined").members())
        findings.push_back(
            fmt::format("service {}: version {} is in quarantine: {}", name, version, reason.string_or()));
    }
  }
}

void check_leaders(const base::Json& body, Findings& findings) {
  auto leader = body.at("rollout");
  if (leader.at("holder").string_or().empty()) findings.emplace_back("nobody does the rollout duty");
  if (parse_uint64(leader.at("term")) && leader.at("understudy").string_or().empty())
    findings.emplace_back("the rollout leadership has no understudy");
}

void print_findings(const CommandContext& context, const Findings& findings) {
  if (!context.json) {
    for (const auto& finding : findings) std::cout << "- " << finding << "\n";
    if (findings.empty()) std::cout << "nothing is wrong\n";
    return;
  }
  std::string list;
  for (const auto& finding : findings) {
    if (!list.empty()) list += ",";
    list += base::quote(finding);
  }
  std::cout << R"({"findings":[)" << list << "]}\n";
}
}  // namespace

ExitStatus diagnose(CommandContext& context) {
  Findings findings;
  bool reachable = check_seeds(context, findings);
  auto nodes = context.client.get("/v1/nodes");
  if (nodes.status != 200) {
    findings.emplace_back(
        reachable
            ? "no majority of the holders answers: control is at a stand, relays turn callers away. Bring "
              "holders back"
            : "no seed answers: nothing more can be said from here");
  } else {
    check_nodes(nodes.body, findings);
    check_releases(context.client.get("/v1/releases").body, findings);
    check_services(context, findings);
    check_leaders(context.client.get("/v1/duties").body, findings);
  }
  print_findings(context, findings);
  return findings.empty() ? ExitStatus::ok : ExitStatus::negative;
}

}  // namespace dunlinwing::console
