// The source leaves open what its checks measure. Ours compare the nodes on a
// release with those not on it over the same time, so that a bad hour for all
// does not stop a release, and a release that is only bad is stopped.
#include "rollout/release_checks.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::rollout {
namespace {
bool on(const pb::RolloutState& state, const std::string& node, const pb::ReleaseProgress& progress) {
  auto n = state.nodes().find(node);
  if (n == state.nodes().end()) return false;
  auto f = n->second.releases().find(progress.kind());
  return f != n->second.releases().end() && f->second == progress.release();
}

constexpr double kSlack = 0.005;       // a defect rate this close to the rest is no failure
constexpr uint64_t kLeastDefects = 5;  // one bad answer proves nothing
constexpr uint64_t kLeastProbes = 10;
constexpr uint64_t kLeastBeats = 16;  // by random alone less than a quarter of so many hardly ever comes
}  // namespace

bool runs_release(const NodeObservation& n, const pb::ReleaseProgress& progress) {
  auto f = n.running.find(progress.kind());
  return f != n.running.end() && f->second == progress.release();
}

bool all_run_release(const pb::ReleaseProgress& progress, const FleetObservation& observation,
                     const pb::RolloutState& state) {
  bool any = false;
  for (auto& n : observation.nodes) {
    if (!on(state, n.name, progress)) continue;
    if (!n.present || !runs_release(n, progress)) return false;
    any = true;
  }
  return any;
}

void accumulate_evidence(pb::ReleaseProgress& progress, const FleetObservation& observation,
                         const pb::RolloutState& state) {
  auto* e = progress.mutable_evidence();
  bool away = std::any_of(observation.nodes.begin(), observation.nodes.end(),
                          [&](auto& n) { return !n.present && on(state, n.name, progress); });
  progress.set_lost_ms(away ? progress.lost_ms() + static_cast<uint64_t>(observation.elapsed.count()) : 0);
  for (auto& n : observation.nodes) {
    if (!n.present) continue;
    if (on(state, n.name, progress)) {
      if (!runs_release(n, progress)) continue;
      e->set_requests(e->requests() + n.requests);
      e->set_failures(e->failures() + n.failures);
      e->set_checks_passed(e->checks_passed() + n.checks_passed);
      e->set_checks_failed(e->checks_failed() + n.checks_failed);
      e->set_heartbeats(e->heartbeats() + n.heartbeats);
      e->set_heartbeats_usual(e->heartbeats_usual() + n.heartbeats_usual);
    } else {
      e->set_baseline_requests(e->baseline_requests() + n.requests);
      e->set_baseline_failures(e->baseline_failures() + n.failures);
      e->set_baseline_checks_passed(e->baseline_checks_passed() + n.checks_passed);
      e->set_baseline_checks_failed(e->baseline_checks_failed() + n.checks_failed);
      e->set_baseline_heartbeats(e->baseline_heartbeats() + n.heartbeats);
      e->set_baseline_heartbeats_usual(e->baseline_heartbeats_usual() + n.heartbeats_usual);
    }
  }
}

std::optional<std::string> failed_check(const pb::ReleaseProgress& progress,
                                        const FleetObservation& observation, const pb::RolloutState& state,
                                        const RolloutRules& rules, const pb::OperatorAction& action) {
  auto waived = [&](const char* k) { return action.waived().count(k) > 0; };
  int on_all = 0, on_lost = 0, off_all = 0, off_lost = 0;
  std::string refused;
  for (auto& n : observation.nodes) {
    bool o = on(state, n.name, progress);
    (o ? on_all : off_all)++;
    if (!n.present) (o ? on_lost : off_lost)++;
    if (o && n.present && n.load_error.starts_with(progress.kind() + "/" + progress.release() + ":"))
      refused = n.name + ": " + n.load_error;
  }
  if (!waived("beats")) {
    if (progress.phase() == pb::ONE && on_lost > 0 &&
        Duration(static_cast<int64_t>(progress.lost_ms())) >= rules.absence(progress.kind()))
      return "check beats: the phase-one machine is lost";
    // One machine may be lost unnoticed; a third of those on it, when the rest stands better, may not.
    if (on_lost >= 2 && on_lost * 3 > on_all && on_lost * off_all > 2 * off_lost * on_all)
      return fmt::format("check beats: {} of {} nodes on it are lost", on_lost, on_all);
  }
  if (!waived("load") && !refused.empty()) return "check load: " + refused;
  auto& e = progress.evidence();
  if (!waived("defects") && e.failures() >= kLeastDefects) {
    double a = static_cast<double>(e.failures()) / static_cast<double>(std::max<uint64_t>(e.requests(), 1));
    double b = static_cast<double>(e.baseline_failures()) /
               static_cast<double>(std::max<uint64_t>(e.baseline_requests(), 1));
    if (a > b * static_cast<double>(rules.system.failure_ratio_percent) / 100 + kSlack)
      return fmt::format("check defects: {} of {} requests on it, {} of {} elsewhere", e.failures(),
                         e.requests(), e.baseline_failures(), e.baseline_requests());
  }
  auto probes = e.checks_passed() + e.checks_failed();
  // More than a quarter failed, and more than twice the part that failed elsewhere.
  auto others = e.baseline_checks_passed() + e.baseline_checks_failed();
  if (!waived("probes") && probes >= kLeastProbes && e.checks_failed() * 4 > probes &&
      e.checks_failed() * others > 2 * e.baseline_checks_failed() * probes)
    return fmt::format("check probes: {} of {} failed, {} of {} elsewhere", e.checks_failed(), probes,
                       e.baseline_checks_failed(), others);
  // Workers' beats that used to come through these nodes stay away, and elsewhere they do not.
  auto usual = e.heartbeats_usual() / 1000, off_usual = e.baseline_heartbeats_usual() / 1000;
  if (!waived("worker-beats") && usual >= kLeastBeats && e.heartbeats() * 4 < usual &&
      e.baseline_heartbeats() * 2 > off_usual)
    return fmt::format(
        "check worker-beats: {} came through nodes on it where {} were usual, {} of {} elsewhere",
        e.heartbeats(), usual, e.baseline_heartbeats(), off_usual);
  return {};
}

std::optional<std::string> missing_evidence(const pb::ReleaseProgress& progress, const RolloutRules& rules,
                                            const pb::OperatorAction& action) {
  if (action.waived().count("evidence")) return {};
  auto want = static_cast<uint64_t>(rules.system.evidence_requests);
  auto& e = progress.evidence();
  if (e.requests() < want)
    return fmt::format("too little evidence: {} of {} requests seen in this phase", e.requests(), want);
  if (auto probes = e.checks_passed() + e.checks_failed();
      probes < kLeastProbes && !action.waived().count("probes"))
    return fmt::format("too little evidence: {} of {} probes seen in this phase", probes, kLeastProbes);
  return {};
}

}  // namespace dunlinwing::rollout
