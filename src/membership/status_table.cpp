#include "membership/status_table.hpp"

#include <tuple>

namespace dunlinwing::membership {
namespace {
constexpr int kSessionsRemembered = 20;  // how long a node that is gone is still listed

std::tuple<uint64_t, uint64_t> order(const pb::StatusVersion& version) {
  return {version.incarnation(), version.count()};
}

/// Merges a heartbeat that is later than the known one, or the same with a lower age. An announced shutdown
/// is never cleared.
void merge_heartbeat(const pb::Heartbeat& heartbeat, Duration age, BackendInstanceStatus& instance) {
  auto& known = instance.heartbeat;
  bool leaving = known.leaving() || heartbeat.leaving();
  bool later = known.instance().empty() || heartbeat.sequence() > known.sequence();
  bool younger = heartbeat.sequence() == known.sequence() && age < instance.age;
  if (later || younger) {
    known = heartbeat;
    instance.age = age;
  }
  if (leaving) known.set_leaving(true);
}
}  // namespace

bool is_newer(const pb::StatusVersion& version, const pb::StatusVersion& other) {
  return order(version) > order(other);
}

bool StatusTable::merge(const pb::NodeStatus& status, TimePoint now) {
  auto& entry = entries_[status.source()];
  bool known = !entry.status.source().empty();
  if (known && !is_newer(status.version(), entry.status.version())) return false;
  entry.status = status;
  entry.reported_at = now - Duration(static_cast<int64_t>(status.age_ms()));
  return true;
}

std::vector<pb::NodeStatus> StatusTable::since(const KnownVersions& known, TimePoint now) const {
  std::vector<pb::NodeStatus> statuses;
  for (const auto& [source, entry] : entries_) {
    auto version = known.find(source);
    if (version != known.end() && !is_newer(entry.status.version(), version->second)) continue;
    statuses.push_back(entry.status);
    statuses.back().set_age_ms(static_cast<uint64_t>((now - entry.reported_at).count()));
  }
  return statuses;
}

KnownVersions StatusTable::known_versions() const {
  KnownVersions versions;
  for (const auto& [source, entry] : entries_) versions[source] = entry.status.version();
  return versions;
}

std::optional<pb::StatusVersion> StatusTable::known_version(const std::string& source) const {
  std::optional<pb::StatusVersion> latest;
  if (auto entry = entries_.find(source); entry != entries_.end()) latest = entry->second.status.version();
  auto requester = requester_versions_.find(source);
  if (requester != requester_versions_.end() && (!latest || is_newer(requester->second.version, *latest)))
    latest = requester->second.version;
  return latest;
}

void StatusTable::record_requester_versions(const KnownVersions& known_to_requester, TimePoint now) {
  for (const auto& [source, version] : known_to_requester) {
    auto known = known_version(source);
    if (!known || is_newer(version, *known)) {
      requester_versions_[source] = {version, now};
      continue;
    }
    auto noted = requester_versions_.find(source);
    if (noted != requester_versions_.end() && !is_newer(noted->second.version, version))
      noted->second.recorded_at = now;
  }
}

std::vector<Member> StatusTable::all_nodes(TimePoint now) const {
  std::vector<Member> nodes;
  for (const auto& [source, entry] : entries_)
    nodes.push_back({source, entry.status.node(), now - entry.reported_at});
  return nodes;
}

std::vector<Member> StatusTable::members(TimePoint now) const {
  std::vector<Member> members;
  for (auto& node : all_nodes(now))
    if (node.age < session_ && !node.info.leaving()) members.push_back(std::move(node));
  return members;
}

bool StatusTable::is_member(const std::string& source, Duration age, TimePoint now) const {
  const auto found = entries_.find(source);
  return found != entries_.end() && now - found->second.reported_at < age &&
         !found->second.status.node().leaving();
}

std::map<std::string, pb::NodeStatus> StatusTable::live_statuses(TimePoint now) const {
  std::map<std::string, pb::NodeStatus> statuses;
  for (const auto& [source, entry] : entries_)
    if (now - entry.reported_at < session_) {
      statuses[source] = entry.status;
      statuses[source].set_age_ms(static_cast<uint64_t>((now - entry.reported_at).count()));
    }
  return statuses;
}

std::map<std::string, BackendInstanceStatus> StatusTable::backend_instances(TimePoint now) const {
  std::map<std::string, BackendInstanceStatus> instances;
  for (const auto& [source, entry] : entries_)
    for (const auto& heartbeat : entry.status.heartbeats()) {
      Duration age = now - entry.reported_at + Duration(static_cast<int64_t>(heartbeat.age_ms()));
      merge_heartbeat(heartbeat, age, instances[heartbeat.instance()]);
    }
  for (auto& [name, instance] : instances) {
    if (deregistered_.count(name)) instance.heartbeat.set_leaving(true);
    instance.gone = instance.heartbeat.leaving() ||
                    instance.age > Duration(instance.heartbeat.period_ms() * kMissedHeartbeats);
  }
  return instances;
}

void StatusTable::remove_expired(TimePoint now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.reported_at > session_ * kSessionsRemembered;
  });
  std::erase_if(requester_versions_, [&](const auto& noted) {
    auto entry = entries_.find(noted.first);
    bool known_here =
        entry != entries_.end() && !is_newer(noted.second.version, entry->second.status.version());
    return known_here || now - noted.second.recorded_at > session_ * kSessionsRemembered;
  });
}

}  // namespace dunlinwing::membership
