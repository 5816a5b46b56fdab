#include "canary/canary_statistics.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::canary {
namespace {
// Clearly worse: at least this many failed or slow responses, and a rate above the baseline's by both the
// excess and the factor.
constexpr uint64_t kMinClearFailures = 8;
constexpr double kClearRateExcess = 0.2;
constexpr double kClearRateFactor = 2;

// Worse since the switch: at least this many failed or slow responses, and more than the factor times those
// expected of the baseline, plus some slack. The canary's share predicts little about the whole load, and
// failures under the whole load count against the same allowance at ten times the rate. So a few responses
// must be enough, and fewer once the share that the allowance is based on is used up.
constexpr uint64_t kMinFailuresWithinShare = 4, kMinFailuresBeyondShare = 3;
constexpr double kFactorAfterSwitch = 3;
constexpr double kSlackAfterSwitch = 2.5;
constexpr uint64_t kTenth = 10;  // of a service's requests: the share that the allowance is based on

// Responses needed as evidence on a route; fewer are enough when few of them failed or were slow. A version
// that fails on a third of its requests has no failure in twelve once in a hundred times. Six more responses
// for each that failed or was slow leave the same uncertainty.
constexpr uint64_t kMaxNeeded = 30, kNeededWithoutFailure = 12, kNeededPerFailure = 6;
constexpr uint64_t kConclusiveResponses =
    60;  // responses after which a difference beyond the noise is conclusive

// Differences that count as noise: of the rate; of the mean latency as a factor plus some milliseconds.
constexpr double kRateNoise = 0.08;
constexpr double kLatencyFactor = 2.2, kLatencyNoiseMs = 3;

// Where the baseline itself fails or is slow this often, its instances are overloaded or faulty, and the
// canary's effect can't be determined.
constexpr double kMaxBaselineFailureRate = 0.1;

constexpr uint64_t kMinTraffic = 3;  // responses of the baseline from which a route has traffic
constexpr uint64_t kPercent = 100;
// A route with this many requests since the canary began yields enough evidence from its own share.
constexpr uint64_t kFrequentRequests =
    kNeededWithoutFailure * kPercent / static_cast<uint64_t>(kDeadlinePercent);
// Failed or slow responses on a rare route that block a canary's promotion, and that end a switch.
constexpr uint64_t kRareFailuresToBlock = 2, kRareFailuresToEndSwitch = 3;

bool is_clearly_worse(const OutcomeCounts& canary, const OutcomeCounts& baseline) {
  auto usual = baseline.failure_rate();
  return canary.failed_or_slow() >= kMinClearFailures &&
         canary.failure_rate() > std::max(usual * kClearRateFactor, usual + kClearRateExcess);
}

OutcomeCounts counts_of(const CountsByRoute& routes, const std::string& route) {
  auto found = routes.find(route);
  return found == routes.end() ? OutcomeCounts{} : found->second;
}

OutcomeCounts difference(const OutcomeCounts& left, const OutcomeCounts& right) {
  return {left.good - std::min(left.good, right.good), left.bad - std::min(left.bad, right.bad),
          left.slow - std::min(left.slow, right.slow),
          left.total_ms - std::min(left.total_ms, right.total_ms)};
}

/// Describes how the canary is worse on a route; empty: it is not.
std::string route_regression(const std::string& route, const OutcomeCounts& canary,
                             const OutcomeCounts& baseline) {
  if (canary.failure_rate() > baseline.failure_rate() + kRateNoise)
    return fmt::format("{} poor answers of {} on route '{}', against {} of {}", canary.failed_or_slow(),
                       canary.total(), route, baseline.failed_or_slow(), baseline.total());
  if (baseline.total() && canary.mean_ms() > kLatencyFactor * baseline.mean_ms() + kLatencyNoiseMs)
    return fmt::format("{:.1f} ms on route '{}', against {:.1f}", canary.mean_ms(), route,
                       baseline.mean_ms());
  return {};
}

/// Whether the responses are enough for a verdict.
bool is_evidence(const OutcomeCounts& counts) {
  return counts.total() >=
         std::min(kMaxNeeded, kNeededWithoutFailure + kNeededPerFailure * counts.failed_or_slow());
}

/// The routes on which the baseline has traffic or the canary has responded.
std::set<std::string> routes_with_traffic(const CanarySample& sample) {
  std::set<std::string> routes;
  for (const auto& [route, counts] : sample.baseline)
    if (counts.total() >= kMinTraffic) routes.insert(route);
  for (const auto& [route, counts] : sample.canary)
    if (counts.total()) routes.insert(route);
  return routes;
}

/// The baseline's counters on a route: since the canary's instances became warm, if there are any since then.
OutcomeCounts baseline_on(const CanarySample& sample, const std::string& route) {
  auto warm = counts_of(sample.warm_baseline, route);
  return warm.total() ? warm : counts_of(sample.baseline, route);
}

/// Describes how often the baseline fails on a route, when that is too often for a comparison; empty: it is
/// not.
std::string baseline_trouble(const CanarySample& sample, const std::string& route) {
  const auto baseline = baseline_on(sample, route);
  if (baseline.total() < kNeededWithoutFailure || baseline.failure_rate() <= kMaxBaselineFailureRate)
    return {};
  return fmt::format("the version in place gave {} poor answers of {} on route '{}'",
                     baseline.failed_or_slow(), baseline.total(), route);
}

/// Whether a route can't yield evidence of its own: it has few requests, and the canary answered few of them.
bool is_rare(const CanarySample& sample, const std::string& route) {
  auto requests = counts_of(sample.baseline, route).total() + counts_of(sample.canary, route).total();
  return requests < kFrequentRequests && !is_evidence(counts_of(sample.warm_canary, route));
}

/// The canary's counters on a rare route: the responses of warm instances, and also the failures of cold
/// ones, since each one is significant where there are so few.
OutcomeCounts canary_on_rare(const CanarySample& sample, const std::string& route) {
  auto counts = counts_of(sample.warm_canary, route);
  counts.bad += difference(counts_of(sample.canary, route), counts).bad;
  return counts;
}

/// Totals over the rare routes: of the canary, and as expected of the baseline for the same requests.
struct RareRoutes {
  OutcomeCounts canary;
  double expected_failures = 0;  ///< failed or slow responses
  double expected_ms = 0;        ///< sum of the latencies
};

RareRoutes sum_rare_routes(const CanarySample& sample) {
  RareRoutes rare;
  for (const auto& route : routes_with_traffic(sample)) {
    if (!is_rare(sample, route)) continue;
    auto canary = canary_on_rare(sample, route), baseline = baseline_on(sample, route);
    auto requests = static_cast<double>(canary.total());
    rare.canary += canary;
    rare.expected_failures += requests * baseline.failure_rate();
    rare.expected_ms +=
        baseline.total() ? requests * baseline.mean_ms() : static_cast<double>(canary.total_ms);
  }
  return rare;
}

/// Describes how the canary is worse on the rare routes together; empty: it is not.
std::string rare_regression(const RareRoutes& rare) {
  const auto& canary = rare.canary;
  auto requests = static_cast<double>(canary.total());
  if (static_cast<double>(canary.failed_or_slow()) > rare.expected_failures + requests * kRateNoise)
    return fmt::format("{} poor answers of {} on routes with few requests, where {:.1f} are usual",
                       canary.failed_or_slow(), canary.total(), rare.expected_failures);
  if (static_cast<double>(canary.total_ms) > kLatencyFactor * rare.expected_ms + kLatencyNoiseMs * requests)
    return fmt::format("{} ms for {} answers on routes with few requests, where {:.0f} are usual",
                       canary.total_ms, canary.total(), rare.expected_ms);
  return {};
}

/// A rare route on which at least `min_failures` responses failed or were slow, far more than is usual there;
/// empty: there is none.
std::string rare_route_regression(const CanarySample& sample, uint64_t min_failures) {
  for (const auto& route : routes_with_traffic(sample)) {
    auto canary = canary_on_rare(sample, route), baseline = baseline_on(sample, route);
    if (!is_rare(sample, route) || canary.failed_or_slow() < min_failures) continue;
    if (canary.failure_rate() > baseline.failure_rate() + kClearRateExcess)
      return fmt::format("{} poor answers of {} on route '{}', which has few requests",
                         canary.failed_or_slow(), canary.total(), route);
  }
  return {};
}

/// Why the rare routes block promotion; empty: they do not.
std::string rare_blocker(const CanarySample& sample) {
  auto rare = sum_rare_routes(sample);
  if (auto worse = rare_route_regression(sample, kRareFailuresToBlock); !worse.empty()) return worse;
  if (is_evidence(rare.canary)) return rare_regression(rare);
  // The rare routes have too few responses together: those of all routes suffice if none failed or was slow.
  if (is_evidence(sum(sample.warm_canary)) && !rare.canary.failed_or_slow()) return {};
  return fmt::format("only {} answers on routes with few requests, {} of them poor", rare.canary.total(),
                     rare.canary.failed_or_slow());
}

bool is_worse_after_switch(const CanarySample& sample) {
  const auto after_switch = sum(sample.after_switch);
  const auto baseline = sum(sample.baseline);
  const auto canary = sum(sample.canary);
  const bool beyond_share = canary.total() * kTenth > canary.total() + baseline.total();
  const auto failures = after_switch.failed_or_slow();
  const double usual = baseline.failure_rate() * static_cast<double>(after_switch.total());
  return failures >= (beyond_share ? kMinFailuresBeyondShare : kMinFailuresWithinShare) &&
         static_cast<double>(failures) > kSlackAfterSwitch + kFactorAfterSwitch * usual;
}
}  // namespace

OutcomeCounts& OutcomeCounts::operator+=(const OutcomeCounts& other) {
  good += other.good;
  bad += other.bad;
  slow += other.slow;
  total_ms += other.total_ms;
  return *this;
}

OutcomeCounts sum(const CountsByRoute& routes) {
  OutcomeCounts total;
  for (const auto& [route, counts] : routes) total += counts;
  return total;
}

void CanaryStatistics::update_canaries(const States& states, const std::set<std::string>& warm) {
  for (const auto& [service, state] : states) {
    if (state.canary().empty()) {
      canaries_.erase(service);
      continue;
    }
    auto& canary = canaries_[service];
    if (canary.number != state.canary_number()) canary = {state.canary_number(), false, {}};
    canary.warm |= warm.count(service) > 0;
  }
}

void CanaryStatistics::add(const pb::ServiceState& state, const CounterKey& counter,
                           const OutcomeCounts& increase, Canary& canary) {
  auto& sample = canary.sample;
  const auto& route = counter.route;
  if (counter.version == state.canary()) {
    sample.canary[route] += increase;
    if (state.switching()) sample.after_switch[route] += increase;
    if (canary.warm) sample.warm_canary[route] += increase;
  } else if (counter.version == state.current()) {
    sample.baseline[route] += increase;
    if (canary.warm) sample.warm_baseline[route] += increase;
  }
}

void CanaryStatistics::update(const States& states, const std::map<std::string, pb::NodeStatus>& statuses,
                              const std::set<std::string>& warm) {
  update_canaries(states, warm);
  for (const auto& [name, status] : statuses) {
    auto& source = sources_[name];
    if (source.incarnation != status.version().incarnation()) source.counters.clear();
    source.incarnation = status.version().incarnation();
    std::map<CounterKey, OutcomeCounts> latest;
    for (const auto& reported : status.version_counts()) {
      CounterKey key{reported.service(), reported.version(), reported.route()};
      OutcomeCounts counts{reported.good(), reported.bad(), reported.slow(), reported.total_ms()};
      auto increase = difference(counts, source.counters[key]);
      latest[key] = counts;
      auto canary = canaries_.find(key.service);
      if (has_previous_counters_ && canary != canaries_.end())
        add(states.at(key.service), key, increase, canary->second);
    }
    source.counters = std::move(latest);  // a counter that disappears restarts at 0 when it returns
  }
  has_previous_counters_ = true;
}

const CanarySample& CanaryStatistics::at(const std::string& service) const {
  static const CanarySample none;
  auto canary = canaries_.find(service);
  return canary == canaries_.end() ? none : canary->second.sample;
}

bool is_clearly_worse(const CanarySample& sample) {
  if (is_worse_after_switch(sample)) return true;
  // Each is checked separately: earlier good responses, from cold instances or under low load, must not mask
  // later failures.
  for (const auto* routes : {&sample.canary, &sample.warm_canary, &sample.after_switch}) {
    if (is_clearly_worse(sum(*routes), sum(sample.baseline))) return true;
    for (const auto& [route, counts] : *routes)
      if (is_clearly_worse(counts, counts_of(sample.baseline, route))) return true;
  }
  return false;
}

std::string regression(const CanarySample& sample) {
  for (const auto& [route, counts] : sample.warm_canary) {
    if (counts.total() < kConclusiveResponses) continue;
    if (auto worse = route_regression(route, counts, baseline_on(sample, route)); !worse.empty())
      return worse;
  }
  return {};
}

std::string promotion_blocker(const CanarySample& sample) {
  if (!sum(sample.warm_canary).total()) return "no answers since its workers are warm";
  for (const auto& route : routes_with_traffic(sample)) {
    if (auto trouble = baseline_trouble(sample, route); !trouble.empty()) return trouble;
    if (is_rare(sample, route)) continue;
    auto canary = counts_of(sample.warm_canary, route);
    if (!is_evidence(canary))
      return fmt::format("only {} answers on route '{}', {} of them poor", canary.total(), route,
                         canary.failed_or_slow());
    auto worse = route_regression(route, canary, baseline_on(sample, route));
    if (!worse.empty()) return worse;
  }
  return rare_blocker(sample);
}

std::string regression_after_switch(const CanarySample& sample) {
  return rare_route_regression(sample, kRareFailuresToEndSwitch);
}

}  // namespace dunlinwing::canary
