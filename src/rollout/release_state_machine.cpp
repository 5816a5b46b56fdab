// Decides which transitions each release makes in a step. The checks are in release_checks.cpp, the
// transitions in release_transitions.cpp.
#include "rollout/release_state_machine.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "rollout/release_checks.hpp"
#include "rollout/release_transitions.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kZoneHoldFraction = 4;  // phase three: each zone is held for phase two's time divided by this
constexpr int kRestartBounds = 20;    // within so many bounds a machine has restarted with other software
constexpr int64_t kMsPerSecond = 1000;

// The releases of one kind that a step may act on; null if there is none.
struct Candidates {
  pb::ReleaseProgress* active = nullptr;
  pb::ReleaseProgress* next = nullptr;  // the waiting release that starts once none is active
};

// One step of all releases for an observation of the fleet.
class FleetStep {
 public:
  FleetStep(const pb::RolloutState& state, const FleetObservation& observation, const RolloutRules& rules)
      : before_(state), observation_(observation), rules_(rules), transitions_(state, observation, rules) {}

  StepResult run() {
    transitions_.add_new_nodes();
    for (const auto* kind : config::kReleaseKinds) step_kind(kind);
    transitions_.forget_finished();
    return transitions_.finish(before_);
  }

 private:
  void step_kind(const std::string& kind);
  Candidates find_candidates(const std::string& kind);
  bool resolve_waiting(const std::string& kind, Candidates& candidates);
  void start_waiting(pb::ReleaseProgress& progress);
  void step_active(pb::ReleaseProgress& progress);
  bool is_deployed(pb::ReleaseProgress& progress);
  std::optional<std::string> next_phase_blocker(const pb::ReleaseProgress& progress,
                                                const config::Release& release,
                                                const pb::OperatorAction& action) const;
  const config::Release* find_release(const pb::ReleaseProgress& progress) const;
  pb::OperatorAction operator_action(const pb::ReleaseProgress& progress) const;

  const pb::RolloutState& before_;
  const FleetObservation& observation_;
  const RolloutRules& rules_;
  ReleaseTransitions transitions_;
};

const config::Release* FleetStep::find_release(const pb::ReleaseProgress& progress) const {
  auto found = observation_.releases.find(config::release_key(progress.kind(), progress.release()));
  return found == observation_.releases.end() ? nullptr : &found->second;
}

pb::OperatorAction FleetStep::operator_action(const pb::ReleaseProgress& progress) const {
  auto found = observation_.operator_actions.find(config::release_key(progress.kind(), progress.release()));
  return found == observation_.operator_actions.end() ? pb::OperatorAction() : found->second;
}

void FleetStep::step_kind(const std::string& kind) {
  auto candidates = find_candidates(kind);
  if (resolve_waiting(kind, candidates)) return;
  if (candidates.active)
    step_active(*candidates.active);
  else if (candidates.next && candidates.next->phase() == pb::WAITING)
    start_waiting(*candidates.next);
}

Candidates FleetStep::find_candidates(const std::string& kind) {
  Candidates candidates;
  for (auto& progress : *transitions_.state().mutable_releases()) {
    if (progress.kind() != kind) continue;
    if (is_active(progress.phase()))
      candidates.active = &progress;
    else if (progress.phase() == pb::WAITING &&
             (!candidates.next || progress.order() < candidates.next->order()))
      candidates.next = &progress;
  }
  return candidates;
}

// Withdraws a waiting release, deploys it by express, or lets it supersede the active one.
// Returns true if one was deployed by express: the step then does nothing else for this kind.
bool FleetStep::resolve_waiting(const std::string& kind, Candidates& candidates) {
  for (auto& progress : *transitions_.state().mutable_releases()) {
    if (progress.kind() != kind || progress.phase() != pb::WAITING) continue;
    auto action = operator_action(progress);
    if (!action.withdrawn().empty()) {
      transitions_.withdraw_waiting(progress, action.withdrawn());
      continue;
    }
    const auto* release = find_release(progress);
    if (!release) continue;
    const auto& express = action.express().empty() ? release->express : action.express();
    if (!express.empty()) {
      if (candidates.active)
        transitions_.roll_back(*candidates.active, pb::WITHDRAWN,
                               "release " + progress.release() + " was sent by express");
      transitions_.deploy_everywhere(progress, "express: " + express);
      return true;
    }
    if (candidates.active && release->supersedes == candidates.active->release()) {
      transitions_.roll_back(*candidates.active, pb::WITHDRAWN, "superseded by " + progress.release());
      candidates = {nullptr, &progress};
    }
  }
  return false;
}

// Starts a waiting release, if it may start now.
void FleetStep::start_waiting(pb::ReleaseProgress& progress) {
  if (!find_release(progress)) return;
  const auto& state = transitions_.state();
  const bool first_layout =
      progress.kind() == "layout" && !state.in_force().count("layout") && !state.nodes().empty();
  if (first_layout) return transitions_.deploy_everywhere(progress, "the fleet had no layout");
  if (!observation_.in_quiet_hours) return progress.set_reason("waiting for the quiet hours");
  transitions_.enter_phase_one(progress);
}

// Runs one step of the active release.
void FleetStep::step_active(pb::ReleaseProgress& progress) {
  const auto* release = find_release(progress);
  if (!release) return;
  auto action = operator_action(progress);
  if (!action.withdrawn().empty()) return transitions_.roll_back(progress, pb::WITHDRAWN, action.withdrawn());
  if (!action.express().empty())
    return transitions_.deploy_everywhere(progress, "express: " + action.express());
  accumulate_evidence(progress, observation_, transitions_.state());
  if (auto failure = failed_check(progress, observation_, transitions_.state(), rules_, action))
    return transitions_.roll_back(progress, pb::STOPPED, *failure);
  const auto elapsed_ms = static_cast<uint64_t>(observation_.elapsed.count());
  progress.set_settle_ms(progress.settle_ms() + elapsed_ms);
  if (!is_deployed(progress)) return progress.set_reason("its nodes are still loading it");
  progress.set_held_ms(progress.held_ms() + elapsed_ms);
  if (auto blocker = next_phase_blocker(progress, *release, action)) return progress.set_reason(*blocker);
  transitions_.advance(progress);
}

// Whether all nodes of the phase run the release; if not, assigns it to more of them where allowed.
bool FleetStep::is_deployed(pb::ReleaseProgress& progress) {
  if (progress.phase() == pb::ONE) return all_run_release(progress, observation_, transitions_.state());
  return transitions_.spread_in_zone(progress);
}

// Why a release that all nodes of its phase run cannot leave the phase yet; nothing if it can.
std::optional<std::string> FleetStep::next_phase_blocker(const pb::ReleaseProgress& progress,
                                                         const config::Release& release,
                                                         const pb::OperatorAction& action) const {
  const Duration left =
      rules_.hold_time(release, progress.phase()) - Duration(static_cast<int64_t>(progress.held_ms()));
  if (left > Duration(0))
    return fmt::format("holding: {} s of the phase are left",
                       (left.count() + kMsPerSecond - 1) / kMsPerSecond);
  if (auto missing = missing_evidence(progress, rules_, action)) return missing;
  // Completing a release changes no node, so it is allowed at any hour.
  const bool ends = progress.phase() == pb::THREE && !transitions_.has_remaining_zones(progress);
  if (!observation_.in_quiet_hours && !ends) return "waiting for the quiet hours";
  return {};
}

StepResult acquire_leadership(const pb::RolloutState& state, uint64_t term) {
  StepResult result{state, {}};
  if (term <= state.term()) return result;
  result.state.set_term(term);
  result.effects.emplace_back(PersistEffect{true});
  return result;
}

// Whether the release has progress, or had it before it was forgotten.
bool is_known(const pb::RolloutState& state, const config::Release& release) {
  if (find_progress(state, release.kind, release.name)) return true;
  const auto path = qualified_release_name(release.kind, release.name);
  return std::find(state.forgotten().begin(), state.forgotten().end(), path) != state.forgotten().end();
}

StepResult record_release(const pb::RolloutState& state, const config::Release& release) {
  StepResult result{state, {}};
  if (is_known(state, release)) return result;
  auto* progress = result.state.add_releases();
  progress->set_kind(release.kind);
  progress->set_release(release.name);
  progress->set_order(state.next_order());
  result.state.set_next_order(state.next_order() + 1);
  result.effects.emplace_back(
      LogEffect{fmt::format("Release {} {} is recorded and waiting.", release.kind, release.name)});
  result.effects.emplace_back(PersistEffect{true});
  return result;
}
}  // namespace

Duration RolloutRules::hold_time(const config::Release& release, pb::Phase phase) const {
  auto hold_ms = static_cast<double>(
      (phase == pb::ONE ? release.hold_times.phase_one : release.hold_times.phase_two).count());
  if (phase == pb::THREE) hold_ms /= kZoneHoldFraction;
  return Duration(static_cast<int64_t>(hold_ms / scale));
}

Duration RolloutRules::allowed_absence(const std::string& kind) const {
  return kind == "software" ? bound * kRestartBounds : Duration(0);
}

bool is_finished(pb::Phase phase) {
  return phase == pb::DONE || phase == pb::STOPPED || phase == pb::WITHDRAWN;
}

bool is_active(pb::Phase phase) { return phase != pb::WAITING && !is_finished(phase); }

const pb::ReleaseProgress* active_release(const pb::RolloutState& state, const std::string& kind) {
  for (const auto& progress : state.releases())
    if (progress.kind() == kind && is_active(progress.phase())) return &progress;
  return nullptr;
}

std::string assigned_release(const pb::RolloutState& state, const std::string& node,
                             const std::string& kind) {
  auto assignment = state.nodes().find(node);
  if (assignment == state.nodes().end()) return {};
  auto release = assignment->second.releases().find(kind);
  return release == assignment->second.releases().end() ? std::string() : release->second;
}

const pb::ReleaseProgress* find_progress(const pb::RolloutState& state, const std::string& kind,
                                         const std::string& release) {
  for (const auto& progress : state.releases())
    if (progress.kind() == kind && progress.release() == release) return &progress;
  return nullptr;
}

bool is_on_active_release(const pb::RolloutState& state, const std::string& node) {
  return std::any_of(state.releases().begin(), state.releases().end(), [&](auto& progress) {
    return is_active(progress.phase()) &&
           assigned_release(state, node, progress.kind()) == progress.release();
  });
}

std::string qualified_release_name(const std::string& kind, const std::string& name) {
  return kind + "/" + name;
}

StepResult step(const pb::RolloutState& state, const Event& event, const RolloutRules& rules) {
  if (const auto* acquired = as<LeadershipAcquired>(event)) return acquire_leadership(state, acquired->term);
  if (const auto* recorded = as<ReleaseRecorded>(event)) return record_release(state, recorded->release);
  return FleetStep(state, std::get<FleetObservation>(event), rules).run();
}

}  // namespace dunlinwing::rollout
