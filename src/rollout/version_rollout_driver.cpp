#include "rollout/version_rollout_driver.hpp"

#include <algorithm>

#include "rollout/effects.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kRecentBounds = 5;   // ten seconds, for VersionRolloutObservation::recent
constexpr int kMinuteBounds = 30;  // one minute, for VersionRolloutObservation::minute
constexpr double kMsPerSecond = 1000;

bool is_aborted(const std::map<std::string, pb::NodeStatus>& statuses, const std::string& service,
                const pb::ServiceState& state) {
  if (state.canary().empty()) return false;
  for (const auto& [source, status] : statuses)
    for (const auto& counts : status.canary_counts())
      if (counts.service() == service && counts.number() == state.canary_number() && counts.aborted())
        return true;
  return false;
}

// The longest delay of a write of counts alone; with a deadline, a new leader needs them sooner.
Duration flush_interval(const pb::ServiceState& state, Duration bound) {
  return state.deadline_ms() ? bound / 2 : bound;
}
}  // namespace

VersionRolloutDriver::VersionRolloutDriver(consensus::RegisterClient& registers,
                                           membership::StateCache& state_cache,
                                           membership::Leadership& leadership,
                                           const membership::LeadershipFence& fence, Duration bound)
    : registers_(registers),
      state_cache_(state_cache),
      leadership_(leadership),
      fence_(fence),
      bound_(bound),
      observer_(bound) {}

void VersionRolloutDriver::tick(TimePoint now, Duration elapsed, const RolloutRules& rules) {
  Observations observations;
  const auto statuses = state_cache_.statuses().live_statuses(now);
  count_responses(now, statuses, observations);
  urgent_ = false;
  observer_.update(now, state_cache_.last_good_pull(), state_cache_.chosen(), statuses,
                   state_cache_.statuses().backend_instances(now));
  if (!leadership_.is_leader()) return;
  sum_recent(now, observations);
  count_instances(now, observations);
  const auto prefix = service_key("");
  for (const auto& [key, value] : state_cache_.chosen()) {
    if (!key.starts_with(prefix)) continue;
    const auto service = key.substr(prefix.size());
    const auto& state = current_record(service, value).state;
    if (!fence_.allows(state.term())) continue;
    auto& observation = observations[service];
    observation.elapsed = elapsed;
    observation.aborted = is_aborted(statuses, service, state);
    observation.requests_per_second = requests_per_second(now, service);
    observer_.fill_observation(now, service, state, observation);
    step_service(now, service, rules, observation);
  }
}

void VersionRolloutDriver::count_responses(TimePoint now, const Statuses& statuses,
                                           Observations& observations) {
  for (const auto& [source, status] : statuses) {
    ReportedByKey latest;
    for (const auto& counts : status.version_counts()) {
      const auto increase = take_increase(status, counts, latest);
      if (increase.total() == 0) continue;
      observations[counts.service()].delta[counts.version()] += increase;
      recent_.push_back({now, counts.service(), counts.version(), increase});
    }
    reported_[source] = std::move(latest);  // entries no longer reported restart at 0 when they reappear
  }
  std::erase_if(recent_, [&](auto& entry) { return now - entry.at > bound_ * kMinuteBounds; });
}

// The increase of the source's counters since its previous status, or since its restart.
ResponseTotals VersionRolloutDriver::take_increase(const pb::NodeStatus& status,
                                                   const pb::VersionCounts& counts, ReportedByKey& latest) {
  const std::string key = counts.service() + "/" + counts.version() + "/" + counts.route();
  const ReportedTotals& known = reported_[status.source()][key];
  const ResponseTotals totals{counts.good(), counts.bad()};
  ResponseTotals increase = totals;
  if (known.incarnation == status.version().incarnation()) {
    increase.good -= std::min(increase.good, known.totals.good);
    increase.bad -= std::min(increase.bad, known.totals.bad);
  }
  latest[key] = {status.version().incarnation(), totals};
  return increase;
}

void VersionRolloutDriver::sum_recent(TimePoint now, Observations& observations) const {
  for (const auto& entry : recent_) {
    auto& observation = observations[entry.service];
    observation.minute[entry.version] += entry.totals;
    if (now - entry.at <= bound_ * kRecentBounds) observation.recent[entry.version] += entry.totals;
  }
}

// The rate over the last bound or the last ten seconds, whichever is higher.
double VersionRolloutDriver::requests_per_second(TimePoint now, const std::string& service) const {
  uint64_t latest = 0;
  uint64_t recent = 0;
  for (const auto& entry : recent_) {
    if (entry.service != service || now - entry.at > bound_ * kRecentBounds) continue;
    recent += entry.totals.total();
    if (now - entry.at <= bound_) latest += entry.totals.total();
  }
  const double per_bound = std::max(static_cast<double>(latest), static_cast<double>(recent) / kRecentBounds);
  return per_bound * kMsPerSecond / static_cast<double>(bound_.count());
}

void VersionRolloutDriver::count_instances(TimePoint now, Observations& observations) const {
  for (const auto& [name, instance] : state_cache_.statuses().backend_instances(now))
    if (!instance.gone) ++observations[instance.heartbeat.service()].instances[instance.heartbeat.version()];
}

VersionRolloutDriver::ServiceRecord& VersionRolloutDriver::current_record(
    const std::string& service, const consensus::VersionedValue& value) {
  auto& record = services_[service];
  if (record.version != value.version) {
    record.version = value.version;
    record.state.Clear();
    record.state.ParseFromString(value.data);
  }
  return record;
}

void VersionRolloutDriver::step_service(TimePoint now, const std::string& service, const RolloutRules& rules,
                                        const VersionRolloutObservation& observation) {
  auto& record = services_[service];
  const auto recorded_term = record.state.term();
  auto result = step(service, record.state, observation, rules);
  urgent_ |= result.is_urgent;
  if (result.is_urgent) state_cache_.pull_soon();
  const auto required = required_persistence(result.effects);
  const bool takes_over = recorded_term < fence_.term();
  if (required == Persistence::deferrable && !takes_over &&
      now - record.last_write < flush_interval(result.state, bound_)) {
    record.state = std::move(result.state);
    return;
  }
  if (required != Persistence::none || takes_over) {
    auto written =
        fence_.write(registers_, service_key(service), record.version, recorded_term, result.state);
    if (!written) return;  // the next pull returns the value in force
    record = {written->version, std::move(result.state), now};
  }
  log_effects(result.effects);
}

}  // namespace dunlinwing::rollout
