#include "rollout/rollout_state_store.hpp"

#include <algorithm>

#include "rollout/effects.hpp"

namespace dunlinwing::rollout {
namespace {
// The longest delay of a write of counts alone. What is lost with a leader has to be counted again. In test
// fleets hold times are short, so the delay is, too.
constexpr int kFlushBounds = 5;
constexpr double kFlushMs = 45000;

Duration flush_interval(const RolloutRules& rules) {
  return std::min<Duration>(rules.bound * kFlushBounds,
                            Duration(static_cast<int64_t>(kFlushMs / rules.scale)));
}
}  // namespace

pb::RolloutState read_rollout_state(const membership::ChosenValues& chosen) {
  pb::RolloutState state;
  if (auto found = chosen.find(kRolloutKey); found != chosen.end()) state.ParseFromString(found->second.data);
  return state;
}

RolloutStateStore::RolloutStateStore(base::Clock& clock, consensus::RegisterClient& registers,
                                     const membership::LeadershipFence& fence)
    : clock_(clock), registers_(registers), fence_(fence) {}

void RolloutStateStore::follow(pb::RolloutState state) {
  state_ = std::move(state);
  loaded_ = false;
}

bool RolloutStateStore::load() {
  if (loaded_) return true;
  auto result = registers_.read(kRolloutKey);
  const auto* value = as<consensus::VersionedValue>(result);
  if (!value) return false;
  version_ = value->version;
  state_.Clear();
  state_.ParseFromString(value->data);
  loaded_ = true;
  return true;
}

bool RolloutStateStore::apply(const Event& event, const RolloutRules& rules) {
  auto result = step(state_, event, rules);
  const auto required = required_persistence(result.effects);
  if (required == Persistence::deferrable && clock_.now() - last_write_ < flush_interval(rules)) {
    state_ = std::move(result.state);
    return true;
  }
  if (required != Persistence::none && !save(std::move(result.state))) return false;
  log_effects(result.effects);
  return true;
}

bool RolloutStateStore::save(pb::RolloutState next) {
  auto written = fence_.write(registers_, kRolloutKey, version_, state_.term(), next);
  if (!written) {
    loaded_ = false;
    return false;
  }
  version_ = written->version;
  state_ = std::move(next);
  last_write_ = clock_.now();
  return true;
}

}  // namespace dunlinwing::rollout
