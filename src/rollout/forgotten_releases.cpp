#include "rollout/forgotten_releases.hpp"

namespace dunlinwing::rollout {
namespace {
std::string release_key_of(const std::string& path) { return "release/" + path; }
std::string operator_action_key_of(const std::string& path) { return "act/" + path; }
}  // namespace

bool is_marked_forgotten(const OperatorActionsByKey& actions, const std::string& release_key) {
  auto action = actions.find(release_key);
  return action != actions.end() && action->second.forgotten();
}

ForgottenReleases::ForgottenReleases(consensus::RegisterClient& registers, membership::Leadership& leadership,
                                     Duration bound)
    : registers_(registers), leadership_(leadership), bound_(bound) {}

std::set<std::string> ForgottenReleases::update(TimePoint now, const pb::RolloutState& state,
                                                const OperatorActionsByKey& actions) {
  std::map<std::string, TimePoint> marked_since;
  std::set<std::string> removable;
  for (const auto& path : state.forgotten()) {
    if (!is_marked_forgotten(actions, release_key_of(path))) continue;
    auto before = marked_since_.find(path);
    const auto since = marked_since[path] = before == marked_since_.end() ? now : before->second;
    if (now - since > bound_) removable.insert(path);
  }
  marked_since_ = std::move(marked_since);
  return removable;
}

void ForgottenReleases::mark_next(const pb::RolloutState& state, const OperatorActionsByKey& actions) {
  for (const auto& path : state.forgotten())
    if (!is_marked_forgotten(actions, release_key_of(path))) return mark(path);
}

void ForgottenReleases::mark(const std::string& path) {
  const auto key = operator_action_key_of(path);
  auto result = registers_.read(key);
  const auto* value = as<consensus::VersionedValue>(result);
  if (!value || !leadership_.is_leader()) return;
  pb::OperatorAction action;
  action.ParseFromString(value->data);
  if (action.forgotten()) return;  // the next pull returns it
  action.set_forgotten(true);
  // A leader with older software does not know the marker; the withdrawal prevents a restart there, too.
  if (action.withdrawn().empty()) action.set_withdrawn("its course has ended and is no longer kept");
  registers_.write(key, value->version, action.SerializeAsString());
}

}  // namespace dunlinwing::rollout
