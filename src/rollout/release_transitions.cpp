#include "rollout/release_transitions.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

#include "rollout/release_checks.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kFinishedReleases = 64;   // kept of each kind, so that operators can look up their progress
constexpr size_t kRestartFraction = 3;  // one in so many nodes of a zone may restart for software at a time
}  // namespace

ReleaseTransitions::ReleaseTransitions(pb::RolloutState state, const FleetObservation& observation,
                                       const RolloutRules& rules)
    : state_(std::move(state)), observation_(observation), rules_(rules) {
  for (const auto& node : observation_.nodes) nodes_[node.name] = &node;
}

void ReleaseTransitions::log(std::string message) { effects_.emplace_back(LogEffect{std::move(message)}); }

// Assigns the releases to the nodes under one new generation; an empty release removes the kind.
void ReleaseTransitions::assign(const std::string& kind, const ReleaseByNode& releases) {
  if (releases.empty()) return;
  state_.set_generation(state_.generation() + 1);
  for (const auto& [node, release] : releases) {
    auto& assignment = (*state_.mutable_nodes())[node];
    if (release.empty())
      assignment.mutable_releases()->erase(kind);
    else
      (*assignment.mutable_releases())[kind] = release;
    assignment.set_generation(state_.generation());
  }
  assignments_changed_ = true;
}

void ReleaseTransitions::assign_release(pb::ReleaseProgress& progress,
                                        const std::vector<std::string>& nodes) {
  ReleaseByNode releases;
  for (const auto& node : nodes) {
    (*progress.mutable_previous_releases())[node] = assigned_release(state_, node, progress.kind());
    releases[node] = progress.release();
  }
  assign(progress.kind(), releases);
}

void ReleaseTransitions::add_new_nodes() {
  for (const auto& node : observation_.nodes) {
    if (!node.present) continue;
    auto known = state_.nodes().find(node.name);
    if (known != state_.nodes().end() && known->second.zone() == node.zone) continue;
    auto assignment = first_assignment(node.zone);
    state_.set_generation(state_.generation() + 1);
    assignment.set_generation(state_.generation());
    (*state_.mutable_nodes())[node.name] = assignment;
    assignments_changed_ = true;
    log(fmt::format("Node {} of zone {} joined.", node.name, node.zone));
  }
}

// The first assignment of a node that is new in the zone: of each kind, the release of most of the zone's
// nodes, else the one in force.
pb::NodeAssignment ReleaseTransitions::first_assignment(const std::string& zone) const {
  pb::NodeAssignment assignment;
  assignment.set_zone(zone);
  for (const auto& [kind, release] : state_.in_force()) (*assignment.mutable_releases())[kind] = release;
  std::map<std::string, std::map<std::string, int>> nodes_on;  // kind -> release
  for (const auto& [name, other] : state_.nodes()) {
    if (other.zone() != zone) continue;
    for (const auto& [kind, release] : other.releases()) ++nodes_on[kind][release];
  }
  for (const auto& [kind, releases] : nodes_on) {
    auto most = std::max_element(releases.begin(), releases.end(),
                                 [](auto& left, auto& right) { return left.second < right.second; });
    const auto* active = active_release(state_, kind);
    // In phase one only a single node has the release, so the rest of the zone still has the previous one.
    if (active && most->first == active->release() && active->phase() == pb::ONE) continue;
    (*assignment.mutable_releases())[kind] = most->first;
  }
  return assignment;
}

void ReleaseTransitions::enter_phase_one(pb::ReleaseProgress& progress) {
  std::vector<const NodeObservation*> eligible;
  for (bool stateful : {false, true}) {
    for (const auto& node : observation_.nodes)
      if (node.present && !node.drained && node.is_stateful == stateful && state_.nodes().count(node.name))
        eligible.push_back(&node);
    if (!eligible.empty()) break;
  }
  if (eligible.empty()) return progress.set_reason("no node is present");
  const auto& first = *eligible[progress.order() % eligible.size()];
  progress.set_first_node(first.name);
  enter(progress, pb::ONE, first.zone);
  progress.clear_completed_zones();
  assign_release(progress, {first.name});
}

void ReleaseTransitions::enter(pb::ReleaseProgress& progress, pb::Phase phase, const std::string& zone) {
  progress.set_phase(phase);
  progress.set_zone(zone);
  progress.set_held_ms(0);
  progress.set_lost_ms(0);
  progress.set_settle_ms(0);
  progress.clear_evidence();
  assignments_changed_ = true;
  log(fmt::format("Release {} {} enters phase {}{}.", progress.kind(), progress.release(),
                  pb::Phase_Name(phase), zone.empty() ? "" : " in zone " + zone));
}

ReleaseTransitions::ZoneStatus ReleaseTransitions::zone_status(const pb::ReleaseProgress& progress) const {
  ZoneStatus zone;
  for (const auto& [name, assignment] : state_.nodes()) {
    if (assignment.zone() != progress.zone()) continue;
    ++zone.nodes;
    auto found = nodes_.find(name);
    const bool present = found != nodes_.end() && found->second->present;
    if (assigned_release(state_, name, progress.kind()) != progress.release()) {
      const bool stateful = present && found->second->is_stateful;
      (stateful ? zone.pending_stateful : zone.pending_stateless).push_back(name);
      continue;
    }
    const bool running = present && runs_release(*found->second, progress);
    zone.unavailable += !running;
    if (present && !running) zone.all_running = false;
  }
  // The order of a protobuf map differs between runs.
  std::sort(zone.pending_stateful.begin(), zone.pending_stateful.end());
  std::sort(zone.pending_stateless.begin(), zone.pending_stateless.end());
  return zone;
}

void ReleaseTransitions::assign_stateless(pb::ReleaseProgress& progress, ZoneStatus zone) {
  if (progress.kind() == "software") {  // its nodes are unavailable while they restart
    auto allowed = std::max<size_t>(1, zone.nodes / kRestartFraction);
    if (zone.unavailable >= allowed) return;
    zone.pending_stateless.resize(std::min(zone.pending_stateless.size(), allowed - zone.unavailable));
  }
  assign_release(progress, zone.pending_stateless);
  progress.set_settle_ms(0);
}

bool ReleaseTransitions::spread_in_zone(pb::ReleaseProgress& progress) {
  auto zone = zone_status(progress);
  if (!zone.pending_stateless.empty()) {
    assign_stateless(progress, std::move(zone));
    return false;
  }
  if (zone.pending_stateful.empty()) return zone.all_running;
  if (zone.all_running && Duration(static_cast<int64_t>(progress.settle_ms())) >= rules_.settle_time()) {
    assign_release(progress, {zone.pending_stateful.front()});
    progress.set_settle_ms(0);
  }
  return false;
}

std::vector<std::string> ReleaseTransitions::remaining_zones(const pb::ReleaseProgress& progress) const {
  std::set<std::string> zones;
  for (const auto& [name, assignment] : state_.nodes())
    if (assigned_release(state_, name, progress.kind()) != progress.release())
      zones.insert(assignment.zone());
  return {zones.begin(), zones.end()};
}

bool ReleaseTransitions::has_remaining_zones(const pb::ReleaseProgress& progress) const {
  return !remaining_zones(progress).empty();
}

void ReleaseTransitions::advance(pb::ReleaseProgress& progress) {
  auto zones = remaining_zones(progress);
  const auto home = state_.nodes().at(progress.first_node()).zone();
  if (progress.phase() == pb::ONE) {
    std::erase(zones, home);
    if (zones.empty()) return progress.set_reason("there is no zone without the phase-one machine");
    return enter(progress, pb::TWO, zones[progress.order() % zones.size()]);
  }
  progress.add_completed_zones(progress.zone());
  if (!zones.empty()) {  // the zone of the phase-one node is last
    const auto& next = zones.front() == home && zones.size() > 1 ? zones[1] : zones.front();
    return enter(progress, pb::THREE, next);
  }
  enter(progress, pb::DONE, "");
  progress.set_reason("it runs everywhere");
  (*state_.mutable_in_force())[progress.kind()] = progress.release();
}

void ReleaseTransitions::deploy_everywhere(pb::ReleaseProgress& progress, const std::string& reason) {
  ReleaseByNode releases;
  for (const auto& [node, assignment] : state_.nodes()) releases[node] = progress.release();
  assign(progress.kind(), releases);
  progress.set_phase(pb::DONE);
  progress.set_reason(reason);
  (*state_.mutable_in_force())[progress.kind()] = progress.release();
  log(fmt::format("Release {} {} is deployed to all nodes at once: {}.", progress.kind(), progress.release(),
                  reason));
}

void ReleaseTransitions::roll_back(pb::ReleaseProgress& progress, pb::Phase end, const std::string& reason) {
  auto in_force = state_.in_force().find(progress.kind());
  const std::string fallback = in_force == state_.in_force().end() ? std::string() : in_force->second;
  ReleaseByNode releases;
  for (const auto& [node, assignment] : state_.nodes()) {
    if (assigned_release(state_, node, progress.kind()) != progress.release()) continue;
    auto previous = progress.previous_releases().find(node);
    releases[node] = previous == progress.previous_releases().end() ? fallback : previous->second;
  }
  assign(progress.kind(), releases);
  progress.set_phase(end);
  progress.set_reason(reason);
  assignments_changed_ = true;
  log(fmt::format("Release {} {} is {}: {}. {} nodes return to their previous releases under generation {}.",
                  progress.kind(), progress.release(), end == pb::STOPPED ? "stopped" : "withdrawn", reason,
                  releases.size(), state_.generation()));
}

void ReleaseTransitions::withdraw_waiting(pb::ReleaseProgress& progress, const std::string& reason) {
  progress.set_phase(pb::WITHDRAWN);
  progress.set_reason(reason);
  assignments_changed_ = true;
}

void ReleaseTransitions::forget_finished() {
  auto* names = state_.mutable_forgotten();
  names->erase(std::remove_if(names->begin(), names->end(),
                              [&](auto& name) { return observation_.removable_forgotten.count(name) > 0; }),
               names->end());
  std::map<std::string, int> finished;  // by kind
  for (int i = state_.releases_size() - 1; i >= 0; --i) {
    const auto& progress = state_.releases(i);
    if (!is_finished(progress.phase()) || ++finished[progress.kind()] <= kFinishedReleases) continue;
    names->Add(qualified_release_name(progress.kind(), progress.release()));
    state_.mutable_releases()->DeleteSubrange(i, 1);
  }
}

StepResult ReleaseTransitions::finish(const pb::RolloutState& before) {
  if (assignments_changed_)
    effects_.emplace_back(PersistEffect{true});
  else if (!google::protobuf::util::MessageDifferencer::Equals(state_, before))
    effects_.emplace_back(PersistEffect{false});
  return {std::move(state_), std::move(effects_)};
}

}  // namespace dunlinwing::rollout
