#include "proxy/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <mutex>

namespace dunlinwing::proxy {
namespace {
using membership::BackendInstance;
using InstancePointers = std::vector<const BackendInstance*>;

// Outlier detection: consecutive failures until an instance is ejected. A failed connection is stronger
// evidence than a bad response.
constexpr int kFailuresToEject = 5;
constexpr int kConnectFailuresToEject = 2;
constexpr Duration kBaseEjection{500};
constexpr int kMaxDoublings = 4;  // of kBaseEjection, one per consecutive ejection

constexpr double kLatencyWeight = 0.15;       // weight of the latest response in the mean
constexpr double kReportedLoadDecayMs = 800;  // time in which a reported load decays to 1/e
constexpr double kDefaultLatencyMs = 50;      // while no latency is known
constexpr double kColdFactor = 2.0;           // latency factor of an instance that has just started
constexpr double kZoneUtilization = 0.6;      // above this utilization other zones' instances are considered
constexpr double kFullSlowdown = 0.35;        // relative latency increase of an instance at full utilization

// An instance that has not responded for kStalledLatencies times its latency, and at least for kMinStall, is
// probably stuck: its expected latency is multiplied by kStalledFactor.
constexpr double kStalledLatencies = 6;
constexpr Duration kMinStall{400};
constexpr double kStalledFactor = 16;

constexpr size_t kChoices = 3;  // instances compared for one choice

struct InstanceState {
  int running = 0;           // attempts of this node
  int failures = 0;          // consecutive
  int connect_failures = 0;  // consecutive
  int ejections = 0;         // consecutive
  bool probing = false;      // an attempt is probing whether the instance has recovered
  double reported_load = 0;  // requests running and waiting there, at `reported_at`
  int slots = 0;             // the instance's concurrent requests, as reported; 0: not reported
  double latency_ms = 0;     // weighted mean; 0 while unknown
  uint64_t subset_hash = 0;  // of this node's name and the instance's; 0: not computed yet
  TimePoint reported_at{0};
  TimePoint progressed_at{0};  // when it last responded, or the first of the running attempts began
  TimePoint ejected_until{0};

  bool is_outlier() const {
    return failures >= kFailuresToEject || connect_failures >= kConnectFailuresToEject;
  }
};

void update_mean(double& mean, Duration latest) {
  mean += (mean > 0 ? kLatencyWeight : 1) * (static_cast<double>(latest.count()) - mean);
}

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}
}  // namespace

struct LoadBalancer::Impl {
  base::Clock& clock;
  base::Random& random;
  mutable std::mutex mutex;                     // guards all below
  std::map<std::string, InstanceState> states;  // by instance
  std::map<std::string, double> latencies_ms;   // by service; weighted mean
  std::string node_name;

  uint64_t subset_hash(const BackendInstance& instance) {
    auto& state = states[instance.instance];
    if (!state.subset_hash)
      state.subset_hash = std::hash<std::string>()(node_name + "\n" + instance.instance) | 1;
    return state.subset_hash;
  }

  double service_latency_ms(const std::string& service) const {
    auto found = latencies_ms.find(service);
    return found == latencies_ms.end() ? 0 : found->second;
  }

  // The estimated number of requests at an instance, plus one.
  static double load_with_one_more(const InstanceState& state, TimePoint now) {
    double age_ms = static_cast<double>((now - state.reported_at).count());
    double reported = state.reported_load * std::exp(-age_ms / kReportedLoadDecayMs);
    return std::max(reported, static_cast<double>(state.running)) + 1;
  }

  // The utilization of the instance's slots with one more request; above 1 requests wait.
  double utilization(const BackendInstance& instance, TimePoint now) {
    const auto& state = states[instance.instance];
    return load_with_one_more(state, now) / std::max(state.slots ? state.slots : instance.capacity, 1);
  }

  // The latency of a request at an idle instance.
  double latency_ms(const BackendInstance& instance, TimePoint now) {
    double latency = states[instance.instance].latency_ms;
    if (latency <= 0) latency = service_latency_ms(instance.service);
    if (latency <= 0) latency = kDefaultLatencyMs;
    return instance.cold_until > now ? latency * kColdFactor : latency;
  }

  double queueing_ms(const BackendInstance& instance, TimePoint now) {
    return latency_ms(instance, now) * std::max(0.0, utilization(instance, now) - 1);
  }

  double expected_ms(const BackendInstance& instance, TimePoint now) {
    const auto& state = states[instance.instance];
    double latency = latency_ms(instance, now);
    double used = utilization(instance, now);
    double expected = latency * (1 + kFullSlowdown * std::min(used, 1.0) + std::max(0.0, used - 1));
    auto stall = std::max(kMinStall, Duration(static_cast<int64_t>(latency * kStalledLatencies)));
    if (state.running && now - state.progressed_at > stall) expected *= kStalledFactor;
    return expected;
  }

  // The eligible instances: those that are not ejected, or all of them if every one is ejected.
  InstancePointers candidates(const std::vector<BackendInstance>& instances,
                              const std::vector<std::string>& versions, const std::vector<std::string>& tried,
                              TimePoint now) {
    InstancePointers healthy, ejected;
    for (const auto& instance : instances) {
      if (!contains(versions, instance.version)) continue;
      if (contains(tried, instance.instance)) continue;
      const auto& state = states[instance.instance];
      bool out = state.ejected_until > now || (state.is_outlier() && state.probing);
      (out ? ejected : healthy).push_back(&instance);
    }
    return healthy.empty() ? ejected : healthy;
  }

  // Reduces the instances to this node's subset: those with the lowest hashes.
  void reduce_to_subset(InstancePointers& instances, size_t size) {
    if (instances.size() <= size) return;
    std::nth_element(instances.begin(), instances.begin() + static_cast<std::ptrdiff_t>(size),
                     instances.end(),
                     [&](auto* one, auto* other) { return subset_hash(*one) < subset_hash(*other); });
    instances.resize(size);
  }

  // The fastest of a few instances drawn at random; if each node chose the fastest of all, all nodes would
  // choose the same instance. Changes the order of the instances.
  const BackendInstance* fastest_of_some(InstancePointers& instances, TimePoint now) {
    const BackendInstance* best = nullptr;
    double least_ms = 0;
    for (size_t i = 0; i < kChoices && i < instances.size(); ++i) {
      std::swap(instances[i], instances[i + random.below(instances.size() - i)]);
      double expected = expected_ms(*instances[i], now);
      if (best && expected >= least_ms) continue;
      best = instances[i];
      least_ms = expected;
    }
    return best;
  }

  // Counts a failure and ejects the instance if the limit is reached.
  void count_failure(InstanceState& state, AttemptHealth health, TimePoint now) {
    bool eject = health == AttemptHealth::unreachable ? ++state.connect_failures >= kConnectFailuresToEject
                                                      : ++state.failures >= kFailuresToEject;
    if (!eject) return;
    state.ejected_until = now + kBaseEjection * (1 << std::min(state.ejections, kMaxDoublings));
    ++state.ejections;
  }
};

LoadBalancer::LoadBalancer(base::Clock& clock, base::Random& random)
    : impl_(new Impl{clock, random, {}, {}, {}, {}}) {}
LoadBalancer::~LoadBalancer() = default;

std::optional<BackendSelection> LoadBalancer::choose(const std::vector<BackendInstance>& instances,
                                                     const std::vector<std::string>& versions,
                                                     const std::string& zone,
                                                     const std::vector<std::string>& tried,
                                                     size_t subset_size) {
  const std::lock_guard lock(impl_->mutex);
  const TimePoint now = impl_->clock.now();
  auto all_zones = impl_->candidates(instances, versions, tried, now);
  if (all_zones.empty()) return {};
  impl_->reduce_to_subset(all_zones, subset_size);
  InstancePointers own_zone;
  for (const auto* instance : all_zones)
    if (instance->zone == zone) own_zone.push_back(instance);
  const auto* chosen = impl_->fastest_of_some(own_zone, now);
  if (!chosen || impl_->utilization(*chosen, now) > kZoneUtilization) {
    const auto* other = impl_->fastest_of_some(all_zones, now);
    if (!chosen || impl_->expected_ms(*other, now) < impl_->expected_ms(*chosen, now)) chosen = other;
  }
  auto& state = impl_->states[chosen->instance];
  if (state.is_outlier()) state.probing = true;
  return BackendSelection{*chosen, Duration(static_cast<int64_t>(impl_->expected_ms(*chosen, now))),
                          Duration(static_cast<int64_t>(impl_->queueing_ms(*chosen, now)))};
}

void LoadBalancer::set_node_name(const std::string& node_name) { impl_->node_name = node_name; }

void LoadBalancer::attempt_started(const BackendInstance& instance) {
  const std::lock_guard lock(impl_->mutex);
  auto& state = impl_->states[instance.instance];
  if (!state.running++) state.progressed_at = impl_->clock.now();
}

void LoadBalancer::attempt_finished(const BackendInstance& instance, const AttemptReport& report) {
  const std::lock_guard lock(impl_->mutex);
  const TimePoint now = impl_->clock.now();
  const auto& load = report.load;
  const bool healthy = report.health == AttemptHealth::healthy;
  auto& state = impl_->states[instance.instance];
  state.running = std::max(0, state.running - 1);
  state.probing = false;
  if (report.health == AttemptHealth::unknown) return;
  if (healthy || load) state.progressed_at = now;
  if (load) {
    // The report may or may not include the request that it answers.
    state.reported_load = std::max(0, load->running + load->waiting - 1);
    state.reported_at = now;
    if (load->slots > 0) state.slots = load->slots;
  }
  if (!healthy) return impl_->count_failure(state, report.health, now);
  state.failures = state.connect_failures = state.ejections = 0;
  if (!is_latency_sample(instance, report, now)) return;
  update_mean(state.latency_ms, report.latency);
  update_mean(impl_->latencies_ms[instance.service], report.latency);
}

bool LoadBalancer::is_latency_sample(const BackendInstance& instance, const AttemptReport& report,
                                     TimePoint now) {
  const bool had_waiting = report.load && report.load->waiting > 0;
  return report.health == AttemptHealth::healthy && report.latency > Duration(0) && !had_waiting &&
         instance.cold_until <= now;
}

void LoadBalancer::mark_wrong_instance(const BackendInstance& instance) {
  const std::lock_guard lock(impl_->mutex);
  auto& state = impl_->states[instance.instance];
  state.failures = kFailuresToEject;
  state.ejections = kMaxDoublings;
  state.ejected_until = impl_->clock.now() + kBaseEjection * (1 << kMaxDoublings);
}

void LoadBalancer::retain(const std::vector<std::string>& instances) {
  const std::lock_guard lock(impl_->mutex);
  std::erase_if(impl_->states,
                [&](auto& entry) { return !entry.second.running && !contains(instances, entry.first); });
}

Duration LoadBalancer::typical_latency(const std::string& service) const {
  const std::lock_guard lock(impl_->mutex);
  return Duration(static_cast<int64_t>(impl_->service_latency_ms(service)));
}

}  // namespace dunlinwing::proxy
