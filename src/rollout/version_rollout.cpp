#include "rollout/version_rollout.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

#include "rollout/version_rollout_deadline.hpp"

namespace dunlinwing::rollout {
namespace {
// A rate of bad responses is worse than another if it exceeds that rate times the factor plus the slack.
constexpr double kWorseFactor = 2;
constexpr double kWorseSlack = 0.01;
constexpr double kMsPerSecond = 1000;

ResponseTotals totals_of(const ResponseTotalsByVersion& totals, const std::string& version) {
  auto found = totals.find(version);
  return found == totals.end() ? ResponseTotals{} : found->second;
}

// One step of a service without a deadline: judges the canary, and may revert the current version.
class ServiceStep {
 public:
  ServiceStep(const std::string& service, const pb::ServiceState& state,
              const VersionRolloutObservation& observation, const RolloutRules& rules)
      : service_(service),
        before_(state),
        observation_(observation),
        rules_(rules),
        limit_(static_cast<uint64_t>(rules.system.max_canary_failures)),
        state_(state) {}

  VersionRolloutStep run() {
    if (!state_.canary().empty()) {
      add_canary_totals();
      judge_canary();
    }
    if (!revert_promotion(observation_.recent)) revert_promotion(observation_.minute);
    if (effects_.empty() && !google::protobuf::util::MessageDifferencer::Equals(state_, before_))
      effects_.emplace_back(PersistEffect{false});
    return {std::move(state_), std::move(effects_)};
  }

 private:
  void add_canary_totals();
  void judge_canary();
  bool has_evidence(const ResponseTotals& canary) const;
  void quarantine_canary(const ResponseTotals& canary, const ResponseTotals& baseline);
  void promote_canary(const ResponseTotals& canary);
  bool revert_promotion(const ResponseTotalsByVersion& totals);
  bool may_return_to(const std::string& version, const ResponseTotalsByVersion& totals) const;
  void quarantine(const std::string& version, const std::string& reason);
  void log(std::string message) { effects_.emplace_back(LogEffect{std::move(message)}); }

  const std::string& service_;
  const pb::ServiceState& before_;
  const VersionRolloutObservation& observation_;
  const RolloutRules& rules_;
  const uint64_t limit_;  // bad responses from which a version is quarantined
  pb::ServiceState state_;
  std::vector<Effect> effects_;
};

void ServiceStep::add_canary_totals() {
  const auto canary = totals_of(observation_.delta, state_.canary());
  const auto baseline = totals_of(observation_.delta, state_.current());
  state_.set_good(state_.good() + canary.good);
  state_.set_bad(state_.bad() + canary.bad);
  state_.set_baseline_good(state_.baseline_good() + baseline.good);
  state_.set_baseline_bad(state_.baseline_bad() + baseline.bad);
  state_.set_held_ms(state_.held_ms() + static_cast<uint64_t>(observation_.elapsed.count()));
}

void ServiceStep::judge_canary() {
  const ResponseTotals canary{state_.good(), state_.bad()};
  const ResponseTotals baseline{state_.baseline_good(), state_.baseline_bad()};
  if (canary.bad >= limit_ || observation_.aborted) return quarantine_canary(canary, baseline);
  if (!has_evidence(canary)) return;
  if (canary.is_worse_than(baseline))
    return state_.set_reason("it answers worse than the version in place, and stays on trial");
  promote_canary(canary);
}

// Whether the canary has had enough requests and time for a promotion.
bool ServiceStep::has_evidence(const ResponseTotals& canary) const {
  const Duration least(
      static_cast<int64_t>(static_cast<double>(rules_.system.promote_seconds) * kMsPerSecond / rules_.scale));
  return canary.total() >= static_cast<uint64_t>(rules_.system.promote_requests) &&
         Duration(static_cast<int64_t>(state_.held_ms())) >= least;
}

void ServiceStep::quarantine_canary(const ResponseTotals& canary, const ResponseTotals& baseline) {
  const auto version = state_.canary();
  state_.clear_canary();
  quarantine(version, fmt::format("{} bad answers of {} on trial, against {} of {}", canary.bad,
                                  canary.total(), baseline.bad, baseline.total()));
}

void ServiceStep::promote_canary(const ResponseTotals& canary) {
  auto* previous = state_.mutable_previous_versions();
  previous->erase(std::remove(previous->begin(), previous->end(), state_.canary()), previous->end());
  if (std::find(previous->begin(), previous->end(), state_.current()) == previous->end())
    state_.add_previous_versions(state_.current());
  prune_previous_versions(state_, observation_.instances);
  state_.set_current(state_.canary());
  state_.clear_canary();
  state_.set_reason(fmt::format("promoted after {} requests, {} of them bad", canary.total(), canary.bad));
  log(fmt::format("Service {}: version {} is {}.", service_, state_.current(), state_.reason()));
  effects_.emplace_back(PersistEffect{true});
}

// Goes back to the latest previous version with a better rate over the span of `totals`; true if it did.
bool ServiceStep::revert_promotion(const ResponseTotalsByVersion& totals) {
  const auto current = totals_of(totals, state_.current());
  if (current.bad < limit_) return false;
  for (int i = state_.previous_versions_size() - 1; i >= 0; --i) {
    const auto previous = state_.previous_versions(i);
    if (!may_return_to(previous, totals)) continue;
    const auto failed = state_.current();
    state_.set_current(previous);
    state_.mutable_previous_versions()->DeleteSubrange(i, 1);
    quarantine(failed, fmt::format("{} bad answers of {} after promotion", current.bad, current.total()));
    return true;
  }
  return false;
}

bool ServiceStep::may_return_to(const std::string& version, const ResponseTotalsByVersion& totals) const {
  return !state_.quarantined().count(version) && instance_count(observation_.instances, version) != 0 &&
         totals_of(totals, state_.current()).is_worse_than(totals_of(totals, version));
}

void ServiceStep::quarantine(const std::string& version, const std::string& reason) {
  (*state_.mutable_quarantined())[version] = reason;
  state_.set_reason(fmt::format("version {} is in quarantine: {}", version, reason));
  log(fmt::format("Service {}: {}.", service_, state_.reason()));
  effects_.emplace_back(PersistEffect{true});
}
}  // namespace

ResponseTotals& ResponseTotals::operator+=(const ResponseTotals& other) {
  good += other.good;
  bad += other.bad;
  return *this;
}

bool ResponseTotals::is_worse_than(const ResponseTotals& other) const {
  auto rate = [](const ResponseTotals& totals) {
    return totals.total() ? static_cast<double>(totals.bad) / static_cast<double>(totals.total()) : 0;
  };
  return rate(*this) > kWorseFactor * rate(other) + kWorseSlack;
}

VersionRolloutStep step(const std::string& service, const pb::ServiceState& state,
                        const VersionRolloutObservation& observation, const RolloutRules& rules) {
  if (!state.canary().empty() && state.deadline_ms())
    return step_with_deadline(service, state, observation, rules);
  return ServiceStep(service, state, observation, rules).run();
}

}  // namespace dunlinwing::rollout
