#include "rollout/release_checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
constexpr double kSlack = 0.005;              // a failure rate this close to the baseline's proves nothing
constexpr uint64_t kMinFailures = 5;          // one failed request proves nothing
constexpr uint64_t kMinHealthChecks = 10;     // minimum health checks before their failures are judged
constexpr uint64_t kMinUsualHeartbeats = 16;  // of so many, fewer than a quarter hardly ever arrive by chance
constexpr uint64_t kThousandths = 1000;       // unit of the usual heartbeats
constexpr int kMinLostNodes = 2;              // a single node may be lost for a reason other than the release

bool is_waived(const pb::OperatorAction& action, const char* check) {
  return action.waived().count(check) > 0;
}

bool is_assigned(const pb::RolloutState& state, const std::string& node,
                 const pb::ReleaseProgress& progress) {
  return assigned_release(state, node, progress.kind()) == progress.release();
}

void add_release_counts(pb::Evidence& evidence, const NodeObservation& node) {
  evidence.set_requests(evidence.requests() + node.requests);
  evidence.set_failures(evidence.failures() + node.failures);
  evidence.set_checks_passed(evidence.checks_passed() + node.checks_passed);
  evidence.set_checks_failed(evidence.checks_failed() + node.checks_failed);
  evidence.set_heartbeats(evidence.heartbeats() + node.heartbeats);
  evidence.set_heartbeats_usual(evidence.heartbeats_usual() + node.heartbeats_usual);
}

void add_baseline_counts(pb::Evidence& evidence, const NodeObservation& node) {
  evidence.set_baseline_requests(evidence.baseline_requests() + node.requests);
  evidence.set_baseline_failures(evidence.baseline_failures() + node.failures);
  evidence.set_baseline_checks_passed(evidence.baseline_checks_passed() + node.checks_passed);
  evidence.set_baseline_checks_failed(evidence.baseline_checks_failed() + node.checks_failed);
  evidence.set_baseline_heartbeats(evidence.baseline_heartbeats() + node.heartbeats);
  evidence.set_baseline_heartbeats_usual(evidence.baseline_heartbeats_usual() + node.heartbeats_usual);
}

struct NodeCount {
  int total = 0;
  int lost = 0;  // of `total`, those not present
};

// Fails when the phase-one node is lost, or when at least two nodes and more than a third of those on the
// release are lost, and that part is more than twice the baseline's.
std::optional<std::string> check_presence(const pb::ReleaseProgress& progress,
                                          const FleetObservation& observation, const pb::RolloutState& state,
                                          const RolloutRules& rules) {
  NodeCount assigned, others;
  for (const auto& node : observation.nodes) {
    auto& count = is_assigned(state, node.name, progress) ? assigned : others;
    ++count.total;
    count.lost += !node.present;
  }
  if (progress.phase() == pb::ONE && assigned.lost > 0 &&
      Duration(static_cast<int64_t>(progress.lost_ms())) >= rules.allowed_absence(progress.kind()))
    return "check beats: the phase-one machine is lost";
  if (assigned.lost >= kMinLostNodes && assigned.lost * 3 > assigned.total &&
      assigned.lost * others.total > 2 * others.lost * assigned.total)
    return fmt::format("check beats: {} of {} nodes on it are lost", assigned.lost, assigned.total);
  return {};
}

std::optional<std::string> check_load(const pb::ReleaseProgress& progress,
                                      const FleetObservation& observation, const pb::RolloutState& state) {
  const auto prefix = qualified_release_name(progress.kind(), progress.release()) + ":";
  std::optional<std::string> failure;  // of the last node with a load error
  for (const auto& node : observation.nodes)
    if (node.present && is_assigned(state, node.name, progress) && node.load_error.starts_with(prefix))
      failure = "check load: " + node.name + ": " + node.load_error;
  return failure;
}

std::optional<std::string> check_failures(const pb::Evidence& evidence, const RolloutRules& rules) {
  if (evidence.failures() < kMinFailures) return {};
  auto rate = [](uint64_t failures, uint64_t requests) {
    return static_cast<double>(failures) / static_cast<double>(std::max<uint64_t>(requests, 1));
  };
  const double allowed = rate(evidence.baseline_failures(), evidence.baseline_requests()) *
                             static_cast<double>(rules.system.failure_ratio_percent) / 100 +
                         kSlack;
  if (rate(evidence.failures(), evidence.requests()) <= allowed) return {};
  return fmt::format("check defects: {} of {} requests on it, {} of {} elsewhere", evidence.failures(),
                     evidence.requests(), evidence.baseline_failures(), evidence.baseline_requests());
}

// Fails when more than a quarter of the health checks failed, and more than twice the baseline's part.
std::optional<std::string> check_health(const pb::Evidence& evidence) {
  const auto checks = evidence.checks_passed() + evidence.checks_failed();
  const auto others = evidence.baseline_checks_passed() + evidence.baseline_checks_failed();
  if (checks < kMinHealthChecks || evidence.checks_failed() * 4 <= checks ||
      evidence.checks_failed() * others <= 2 * evidence.baseline_checks_failed() * checks)
    return {};
  return fmt::format("check probes: {} of {} failed, {} of {} elsewhere", evidence.checks_failed(), checks,
                     evidence.baseline_checks_failed(), others);
}

// Fails when the release's nodes accept fewer than a quarter of the usual heartbeats of backend instances,
// while the other nodes accept more than half of theirs.
std::optional<std::string> check_heartbeats(const pb::Evidence& evidence) {
  const auto usual = evidence.heartbeats_usual() / kThousandths;
  const auto baseline_usual = evidence.baseline_heartbeats_usual() / kThousandths;
  const bool missing = usual >= kMinUsualHeartbeats && evidence.heartbeats() * 4 < usual;
  if (!missing || evidence.baseline_heartbeats() * 2 <= baseline_usual) return {};
  return fmt::format(
      "check worker-beats: {} came through nodes on it where {} were usual, {} of {} elsewhere",
      evidence.heartbeats(), usual, evidence.baseline_heartbeats(), baseline_usual);
}
}  // namespace

bool runs_release(const NodeObservation& node, const pb::ReleaseProgress& progress) {
  auto found = node.running.find(progress.kind());
  return found != node.running.end() && found->second == progress.release();
}

bool all_run_release(const pb::ReleaseProgress& progress, const FleetObservation& observation,
                     const pb::RolloutState& state) {
  bool any = false;
  for (const auto& node : observation.nodes) {
    if (!is_assigned(state, node.name, progress)) continue;
    if (!node.present || !runs_release(node, progress)) return false;
    any = true;
  }
  return any;
}

void accumulate_evidence(pb::ReleaseProgress& progress, const FleetObservation& observation,
                         const pb::RolloutState& state) {
  auto& evidence = *progress.mutable_evidence();
  bool any_lost = false;
  for (const auto& node : observation.nodes) {
    const bool assigned = is_assigned(state, node.name, progress);
    any_lost |= assigned && !node.present;
    if (!node.present) continue;
    if (!assigned)
      add_baseline_counts(evidence, node);
    else if (runs_release(node, progress))
      add_release_counts(evidence, node);
  }
  progress.set_lost_ms(any_lost ? progress.lost_ms() + static_cast<uint64_t>(observation.elapsed.count())
                                : 0);
}

std::optional<std::string> failed_check(const pb::ReleaseProgress& progress,
                                        const FleetObservation& observation, const pb::RolloutState& state,
                                        const RolloutRules& rules, const pb::OperatorAction& action) {
  std::optional<std::string> failure;
  if (!is_waived(action, kPresenceCheck)) failure = check_presence(progress, observation, state, rules);
  if (!failure && !is_waived(action, kLoadCheck)) failure = check_load(progress, observation, state);
  if (!failure && !is_waived(action, kFailureCheck)) failure = check_failures(progress.evidence(), rules);
  if (!failure && !is_waived(action, kHealthCheck)) failure = check_health(progress.evidence());
  if (!failure && !is_waived(action, kHeartbeatCheck)) failure = check_heartbeats(progress.evidence());
  return failure;
}

std::optional<std::string> missing_evidence(const pb::ReleaseProgress& progress, const RolloutRules& rules,
                                            const pb::OperatorAction& action) {
  if (is_waived(action, kEvidenceCheck)) return {};
  const auto least = static_cast<uint64_t>(rules.system.evidence_requests);
  const auto& evidence = progress.evidence();
  if (evidence.requests() < least)
    return fmt::format("too little evidence: {} of {} requests seen in this phase", evidence.requests(),
                       least);
  const auto checks = evidence.checks_passed() + evidence.checks_failed();
  if (checks < kMinHealthChecks && !is_waived(action, kHealthCheck))
    return fmt::format("too little evidence: {} of {} probes seen in this phase", checks, kMinHealthChecks);
  return {};
}

}  // namespace dunlinwing::rollout
