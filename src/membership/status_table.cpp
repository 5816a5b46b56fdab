// Versions are pairs of incarnation and count, so that a source that was
// restarted, and counts from one again, is never taken for its older self.
#include "membership/status_table.hpp"

#include <tuple>

namespace dunlinwing::membership {

bool newer(const pb::StatusVersion& a, const pb::StatusVersion& b) {
  return std::make_tuple(a.incarnation(), a.count()) > std::make_tuple(b.incarnation(), b.count());
}

bool StatusTable::merge(const pb::NodeStatus& status, TimePoint now) {
  auto& e = by_[status.source()];
  TimePoint heard = now - Duration(static_cast<int64_t>(status.age_ms()));
  if (e.statuses.source().empty() || newer(status.version(), e.statuses.version())) {
    e.statuses = status;
    e.heard = heard;
    return true;
  }
  return false;
}

std::vector<pb::NodeStatus> StatusTable::since(
    const google::protobuf::Map<std::string, pb::StatusVersion>& have, TimePoint now) const {
  std::vector<pb::NodeStatus> out;
  for (auto& [k, e] : by_) {
    auto f = have.find(k);
    if (f != have.end() && !newer(e.statuses.version(), f->second)) continue;
    out.push_back(e.statuses);
    out.back().set_age_ms(static_cast<uint64_t>((now - e.heard).count()));
  }
  return out;
}

google::protobuf::Map<std::string, pb::StatusVersion> StatusTable::known_versions() const {
  google::protobuf::Map<std::string, pb::StatusVersion> m;
  for (auto& [k, e] : by_) m[k] = e.statuses.version();
  return m;
}

std::optional<pb::StatusVersion> StatusTable::known_version(const std::string& s) const {
  auto here = by_.find(s);
  auto noted = noted_.find(s);
  if (here == by_.end() && noted == noted_.end()) return {};
  if (noted == noted_.end()) return here->second.statuses.version();
  if (here == by_.end()) return noted->second.mark;
  auto& mark = here->second.statuses.version();
  return newer(noted->second.mark, mark) ? noted->second.mark : mark;
}

void StatusTable::note_known_versions(
    const google::protobuf::Map<std::string, pb::StatusVersion>& known_to_asker, TimePoint now) {
  for (auto& [source, mark] : known_to_asker) {
    auto known = this->known_version(source);
    if (!known || newer(mark, *known))
      noted_[source] = {mark, now};
    else if (auto noted = noted_.find(source); noted != noted_.end() && !newer(noted->second.mark, mark))
      noted->second.heard = now;
  }
}

std::vector<Member> StatusTable::all(TimePoint now) const {
  std::vector<Member> out;
  for (auto& [k, e] : by_) out.push_back({k, e.statuses.node(), now - e.heard});
  return out;
}

std::vector<Member> StatusTable::members(TimePoint now) const {
  std::vector<Member> out;
  for (auto& m : all(now))
    if (m.age < session_ && !m.info.leaving()) out.push_back(m);
  return out;
}

std::map<std::string, pb::NodeStatus> StatusTable::latest(TimePoint now) const {
  std::map<std::string, pb::NodeStatus> out;
  for (auto& [k, e] : by_)
    if (now - e.heard < session_) out[k] = e.statuses;
  return out;
}

std::map<std::string, BackendInstanceStatus> StatusTable::backend_instances(TimePoint now) const {
  std::map<std::string, BackendInstanceStatus> out;
  for (auto& [k, e] : by_)
    for (auto& heartbeat : e.statuses.heartbeats()) {
      Duration age = now - e.heard + Duration(static_cast<int64_t>(heartbeat.age_ms()));
      auto& instance = out[heartbeat.instance()];
      bool later =
          instance.heartbeat.instance().empty() || heartbeat.sequence() > instance.heartbeat.sequence();
      if (later || (heartbeat.sequence() == instance.heartbeat.sequence() && age < instance.age)) {
        bool left = instance.heartbeat.leaving();
        instance.heartbeat = heartbeat;
        instance.age = age;
        if (left) instance.heartbeat.set_leaving(true);
      } else if (heartbeat.leaving()) {
        instance.heartbeat.set_leaving(true);
      }
    }
  for (auto& [k, w] : out)
    if (departed_.count(k)) w.heartbeat.set_leaving(true);
  for (auto& [k, w] : out)
    w.gone = w.heartbeat.leaving() || w.age > Duration(w.heartbeat.period_ms() * kMissedHeartbeats);
  return out;
}

void StatusTable::forget(TimePoint now) {
  for (auto i = by_.begin(); i != by_.end();)
    i = now - i->second.heard > session_ * 20 ? by_.erase(i) : std::next(i);
  std::erase_if(noted_, [&](auto& noted) {
    auto here = by_.find(noted.first);
    bool known_here = here != by_.end() && !newer(noted.second.mark, here->second.statuses.version());
    return known_here || now - noted.second.heard > session_ * 20;
  });
}

}  // namespace dunlinwing::membership
