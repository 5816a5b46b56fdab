// Calls the other components of this folder in sequence; the order of the steps is that of their writes.
#include "rollout/rollout_controller.hpp"

#include <algorithm>

#include "limits/rate_allocator.hpp"
#include "membership/leadership_fence.hpp"
#include "rollout/fleet_configuration.hpp"
#include "rollout/fleet_observer.hpp"
#include "rollout/forgotten_releases.hpp"
#include "rollout/health_prober.hpp"
#include "rollout/version_initializer.hpp"
#include "rollout/version_rollout_driver.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kSwitchTicks = 4;  // ticks of version rollouts in the time of one tick, while they are urgent
}  // namespace

// All members are used only by the fiber that calls tick().
class RolloutController::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
       membership::Leadership& leadership, const RolloutControllerConfig& config);
  void start();
  void tick();
  void pause();

 private:
  void follow(TimePoint now);
  void lead(TimePoint now, Duration elapsed);
  bool take_over();
  void read_system_options();
  FleetObservation observe(TimePoint now, Duration elapsed);
  bool record_new_releases(const FleetObservation& observation);

  base::Ports& ports_;
  membership::StateCache& state_cache_;
  membership::Leadership& leadership_;
  RolloutRules rules_;
  membership::LeadershipFence fence_;
  TimePoint last_leader_tick_{0};  // the last tick as leader under the current lease; 0: none yet
  RolloutStateStore store_;
  HealthProber prober_;
  FleetObserver observer_;
  ForgottenReleases forgotten_;
  FleetConfiguration fleet_configuration_;
  VersionInitializer version_initializer_;
  VersionRolloutDriver version_rollouts_;
  limits::RateAllocator rate_allocator_;
};

RolloutController::Impl::Impl(base::Ports& ports, consensus::RegisterClient& registers,
                              membership::StateCache& state_cache, membership::Leadership& leadership,
                              const RolloutControllerConfig& config)
    : ports_(ports),
      state_cache_(state_cache),
      leadership_(leadership),
      fence_(leadership),
      store_(ports.clock, registers, fence_),
      prober_(ports, state_cache, config.bound),
      observer_(state_cache, leadership, prober_, config.bound),
      forgotten_(registers, leadership, config.bound),
      version_initializer_(ports.clock, registers, state_cache, fence_, config.bound),
      version_rollouts_(registers, state_cache, leadership, fence_, config.bound),
      rate_allocator_(ports, registers, state_cache, config.bound) {
  rules_.scale = config.scale;
  rules_.bound = config.bound;
  rules_.system = config.system;
}

void RolloutController::Impl::start() {
  ports_.tasks.spawn([self = shared_from_this()] {
    for (;;) {
      self->tick();
      self->pause();
    }
  });
}

// Sleeps until the next tick; meanwhile, urgent version rollouts get additional ticks.
void RolloutController::Impl::pause() {
  const Duration span = rules_.bound / kTicksPerBound;
  if (!version_rollouts_.is_urgent()) return ports_.clock.sleep(span);
  for (int i = 0; i < kSwitchTicks; ++i) {
    ports_.clock.sleep(span / kSwitchTicks);
    if (i + 1 < kSwitchTicks && state_cache_.has_read_lease() && leadership_.is_leader())
      version_rollouts_.tick(ports_.clock.now(), Duration(0), rules_);
  }
}

void RolloutController::Impl::tick() {
  const auto now = ports_.clock.now();
  if (!state_cache_.has_read_lease()) {
    last_leader_tick_ = TimePoint(0);
    return;
  }
  const bool leads = leadership_.is_leader();
  if (fence_.begin()) {
    last_leader_tick_ = TimePoint(0);
    store_.invalidate();
    version_initializer_.reset();
  }
  if (!leads) return follow(now);
  const auto elapsed = last_leader_tick_ == TimePoint(0)
                           ? Duration(0)
                           : std::min<Duration>(now - last_leader_tick_, rules_.bound);
  last_leader_tick_ = now;
  lead(now, elapsed);
}

// A tick of a node that does not lead.
void RolloutController::Impl::follow(TimePoint now) {
  last_leader_tick_ = TimePoint(0);
  store_.follow(read_rollout_state(state_cache_.chosen()));
  version_initializer_.reset();
  observe(now, Duration(0));
  version_rollouts_.tick(now, Duration(0), rules_);
}

// A tick of the leader. A failed write ends it; the next tick starts over.
void RolloutController::Impl::lead(TimePoint now, Duration elapsed) {
  if (!take_over()) return;
  read_system_options();
  const auto observation = observe(now, elapsed);
  if (!record_new_releases(observation)) return;
  if (!store_.apply(observation, rules_)) return;
  prober_.probe(store_.state());
  version_initializer_.tick(
      fleet_configuration_.find(state_cache_.chosen(), store_.state(), observer_.releases()));
  version_rollouts_.tick(now, elapsed, rules_);
  rate_allocator_.tick(now, store_.state(), observer_.releases(), fence_);
  forgotten_.mark_next(store_.state(), observation.operator_actions);
}

// Loads the state if needed, and records the term of this lease in it before anything else is done.
bool RolloutController::Impl::take_over() {
  if (!store_.load()) return false;
  if (!fence_.allows(store_.state().term())) return false;
  return store_.state().term() >= fence_.term() || store_.apply(LeadershipAcquired{fence_.term()}, rules_);
}

void RolloutController::Impl::read_system_options() {
  auto in_force = store_.state().in_force().find("system");
  if (in_force == store_.state().in_force().end()) return;
  auto release = observer_.releases().find(config::release_key("system", in_force->second));
  if (release != observer_.releases().end())
    rules_.system = config::parse_system_options(release->second.content);
}

FleetObservation RolloutController::Impl::observe(TimePoint now, Duration elapsed) {
  auto observation = observer_.observe(now, elapsed, store_.state(), rules_.system.quiet_hours);
  observation.removable_forgotten = forgotten_.update(now, store_.state(), observation.operator_actions);
  return observation;
}

bool RolloutController::Impl::record_new_releases(const FleetObservation& observation) {
  for (const auto& [key, release] : observation.releases) {
    if (is_marked_forgotten(observation.operator_actions, key)) continue;
    if (find_progress(store_.state(), release.kind, release.name)) continue;
    if (!store_.apply(ReleaseRecorded{release}, rules_)) return false;
  }
  return true;
}

RolloutController::RolloutController(base::Ports& ports, consensus::RegisterClient& registers,
                                     membership::StateCache& state_cache, membership::Leadership& leadership,
                                     const RolloutControllerConfig& config)
    : impl_(std::make_shared<Impl>(ports, registers, state_cache, leadership, config)) {}

RolloutController::~RolloutController() = default;

void RolloutController::tick() { impl_->tick(); }

void RolloutController::start() { impl_->start(); }

}  // namespace dunlinwing::rollout
