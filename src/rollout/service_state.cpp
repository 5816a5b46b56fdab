#include "rollout/service_state.hpp"

#include <algorithm>

#include "canary/canary_share.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr int kIdleVersions = 16;  // previous versions without backend instances that are kept
}  // namespace

int instance_count(const InstanceCountsByVersion& instances, const std::string& version) {
  auto found = instances.find(version);
  return found == instances.end() ? 0 : found->second;
}

std::string service_key(const std::string& service) { return "service/" + service; }

void start_canary(pb::ServiceState& state, const std::string& version, Duration deadline, Duration longest) {
  drop_canary(state);
  state.set_canary(version);
  state.set_canary_number(state.canary_number() + 1);
  state.set_good(0);
  state.set_bad(0);
  state.set_baseline_good(0);
  state.set_baseline_bad(0);
  state.set_held_ms(0);
  state.set_reason("on trial");
  state.set_deadline_ms(static_cast<uint64_t>(deadline.count()));
  state.set_longest_ms(static_cast<uint64_t>(longest.count()));
  state.set_percent(deadline > Duration(0) ? canary::kColdPercent : 0);
  if (deadline == Duration(0)) return;
  state.set_requested(version);
  state.set_outcome("running");
}

void drop_canary(pb::ServiceState& state) {
  state.clear_canary();
  state.set_switching(false);
  state.set_switch_is_near(false);
  if (state.outcome() != "running") return;
  state.set_outcome("rolled_back");
  state.set_reason("another order took its place");
}

std::string rollout_outcome(const pb::ServiceState& state) {
  return state.requested().empty() ? std::string() : state.outcome();
}

void prune_previous_versions(pb::ServiceState& state, const InstanceCountsByVersion& instances) {
  auto* versions = state.mutable_previous_versions();
  auto is_idle = [&](const std::string& version) { return instance_count(instances, version) == 0; };
  auto excess = std::count_if(versions->begin(), versions->end(), is_idle) - kIdleVersions;
  for (int i = 0; excess > 0 && i < versions->size();) {
    if (!is_idle(versions->Get(i))) {
      ++i;
      continue;
    }
    versions->DeleteSubrange(i, 1);
    --excess;
  }
}

}  // namespace dunlinwing::rollout
