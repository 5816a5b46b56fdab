#include "limits/rate_allocator.hpp"

#include <set>

#include "base/log.hpp"
#include "config/numbered_configuration.hpp"

namespace dunlinwing::limits {
namespace {
constexpr base::Log logger("limits");
constexpr int kObservationsNeeded = 3;  // until then demand is too uncertain to lower quotas by it
constexpr double kMsPerSecond = 1000;

using Releases = std::map<std::string, config::Release>;
using ConfigurationNames = std::set<std::string>;
using Rates = std::map<std::string, int64_t>;  // by service, requests per second

/// The routing configurations that are assigned to some node.
ConfigurationNames assigned_configurations(const pb::RolloutState& rollout) {
  ConfigurationNames names;
  for (const auto& [node, assignment] : rollout.nodes())
    if (auto found = assignment.releases().find("layout"); found != assignment.releases().end())
      names.insert(found->second);
  return names;
}

Rates rates_of(const config::RoutingConfiguration& configuration) {
  Rates rates;
  for (const auto& [name, service] : configuration.services)
    if (service.rate > 0) rates[name] = std::max<int64_t>(1, static_cast<int64_t>(service.rate));
  return rates;
}

void lower_rates(const config::RoutingConfiguration& configuration, Rates& rates) {
  for (const auto& [name, service] : configuration.services) {
    if (service.rate == 0) continue;
    auto rate = static_cast<int64_t>(service.rate);
    auto& lowest = rates.emplace(name, rate).first->second;
    lowest = std::min(lowest, rate);
  }
}
}  // namespace

struct RateAllocator::Impl {
  /// A service's quotas as stored in their register.
  struct StoredQuotas {
    pb::RateQuotas quotas;
    uint64_t version = 0;  ///< 0: never written
  };

  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  Duration bound;
  uint64_t term = 0;         ///< of the leadership; the members below were observed under it
  TimePoint observed_at{0};  ///< when demand was last observed
  int observations = 0;      ///< number of demand observations, up to kObservationsNeeded
  DemandEstimator demand;
  std::map<std::string, TimePoint> decreased_at;  ///< by service; initially when it was first seen
  Rates rates;                                    ///< the lowest rate in force of each service that has one
  ConfigurationNames rated_configurations;        ///< the configurations that `rates` was read from
  config::NumberedConfigurationReader numbered_configuration;

  /// Reads the lowest rate that any active configuration sets for a service; a rate applies to all nodes.
  void read_rates(const pb::RolloutState& rollout, const Releases& releases) {
    if (const auto& active = numbered_configuration.read(state_cache.chosen()); active.number) {
      rates = active.configuration ? rates_of(*active.configuration) : Rates{};
      return;
    }
    auto names = assigned_configurations(rollout);
    if (names == rated_configurations) return;
    rates.clear();
    for (const auto& name : names) {
      auto release = releases.find(config::release_key("layout", name));
      if (release == releases.end()) return;  // not known here yet; the next tick retries
      auto result = config::parse_routing_configuration(name, release->second.content);
      if (auto* parsed = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&result))
        lower_rates(**parsed, rates);
    }
    rated_configurations = std::move(names);
  }

  StoredQuotas stored_quotas(const std::string& service) const {
    StoredQuotas stored;
    auto found = state_cache.chosen().find(quota_key(service));
    if (found == state_cache.chosen().end()) return stored;
    stored.quotas.ParseFromString(found->second.data);
    stored.version = found->second.version;
    return stored;
  }

  /// Writes the term into the quotas, so that decisions of an earlier term can no longer be written.
  /// @return whether they carry it already; if not, the next tick reads the quotas again
  bool take_over(const std::string& service, StoredQuotas stored,
                 const membership::LeadershipFence& fence) const {
    if (!stored.version || stored.quotas.term() == fence.term()) return fence.allows(stored.quotas.term());
    fence.write(registers, quota_key(service), stored.version, stored.quotas.term(), stored.quotas);
    return false;
  }

  void begin_term(uint64_t new_term, TimePoint now) {
    if (term == new_term) return;
    term = new_term;
    decreased_at.clear();
    demand.clear();
    observations = 0;
    observed_at = now;
  }

  void tick(TimePoint now, const pb::RolloutState& rollout, const Releases& releases,
            const membership::LeadershipFence& fence) {
    begin_term(fence.term(), now);
    if (now - observed_at < bound / 2) return;
    double seconds = static_cast<double>((now - observed_at).count()) / kMsPerSecond;
    observed_at = now;
    observations = std::min(observations + 1, kObservationsNeeded);
    read_rates(rollout, releases);
    auto statuses = state_cache.statuses().live_statuses(now);
    for (const auto& [service, rate] : rates) {
      demand.observe(service, statuses, seconds, now);
      allocate(service, {rate, bound, now}, statuses, fence);
    }
  }

  void allocate(const std::string& service, const RateContext& context,
                const DemandEstimator::Statuses& statuses, const membership::LeadershipFence& fence) {
    auto stored = stored_quotas(service);
    const auto& quotas = stored.quotas;
    if (!take_over(service, stored, fence)) return;
    QuotaInput input;
    input.rate = context.rate;
    input.bound = bound;
    input.demand = demand.estimate(service, statuses, quotas, context);
    auto& decreased = decreased_at[service];
    if (decreased == TimePoint(0)) decreased = context.now;
    input.since_decrease = context.now - decreased;
    bool rate_stands = quotas.rate() <= static_cast<uint32_t>(context.rate);
    if (observations < kObservationsNeeded && quotas.milli_requests_size() && rate_stands) return;
    write(service, next_quotas(quotas, input), stored, fence);
  }

  void write(const std::string& service, QuotaStep step, const StoredQuotas& stored,
             const membership::LeadershipFence& fence) {
    if (step.change == QuotaChange::none) return;
    bool decreased = step.change == QuotaChange::decreased;
    auto written =
        fence.write(registers, quota_key(service), stored.version, stored.quotas.term(), step.quotas);
    // Even a write that failed may have taken effect and lowered quotas.
    if (decreased || !written) decreased_at[service] = ports.clock.now();
    logger.debug("Service {}: {} the rate quotas of {} nodes.", service, decreased ? "lowered" : "raised",
                 step.quotas.milli_requests_size());
  }
};

RateAllocator::RateAllocator(base::Ports& ports, consensus::RegisterClient& registers,
                             membership::StateCache& state_cache, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, bound}) {}
RateAllocator::~RateAllocator() = default;

void RateAllocator::tick(TimePoint now, const pb::RolloutState& rollout,
                         const std::map<std::string, config::Release>& releases,
                         const membership::LeadershipFence& fence) {
  impl_->tick(now, rollout, releases, fence);
}

}  // namespace dunlinwing::limits
