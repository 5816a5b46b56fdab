// Versions are pairs of incarnation and count, so that a source that was
// restarted, and counts from one again, is never taken for its older self.
#include "membership/status_table.hpp"

#include <tuple>

namespace dunlinwing::membership {

bool newer(const pb::Mark& a, const pb::Mark& b) {
  return std::make_tuple(a.incarnation(), a.count()) > std::make_tuple(b.incarnation(), b.count());
}

bool StatusTable::merge(const pb::NodeStatus& n, TimePoint now) {
  auto& e = by_[n.source()];
  TimePoint heard = now - Duration(static_cast<int64_t>(n.age_ms()));
  if (e.statuses.source().empty() || newer(n.mark(), e.statuses.mark())) {
    e.statuses = n;
    e.heard = heard;
    return true;
  }
  return false;
}

std::vector<pb::NodeStatus> StatusTable::since(const google::protobuf::Map<std::string, pb::Mark>& have,
                                               TimePoint now) const {
  std::vector<pb::NodeStatus> out;
  for (auto& [k, e] : by_) {
    auto f = have.find(k);
    if (f != have.end() && !newer(e.statuses.mark(), f->second)) continue;
    out.push_back(e.statuses);
    out.back().set_age_ms(static_cast<uint64_t>((now - e.heard).count()));
  }
  return out;
}

google::protobuf::Map<std::string, pb::Mark> StatusTable::marks() const {
  google::protobuf::Map<std::string, pb::Mark> m;
  for (auto& [k, e] : by_) m[k] = e.statuses.mark();
  return m;
}

std::optional<pb::Mark> StatusTable::mark(const std::string& s) const {
  auto here = by_.find(s);
  auto noted = noted_.find(s);
  if (here == by_.end() && noted == noted_.end()) return {};
  if (noted == noted_.end()) return here->second.statuses.mark();
  if (here == by_.end()) return noted->second.mark;
  auto& mark = here->second.statuses.mark();
  return newer(noted->second.mark, mark) ? noted->second.mark : mark;
}

void StatusTable::note(const google::protobuf::Map<std::string, pb::Mark>& known_to_asker, TimePoint now) {
  for (auto& [source, mark] : known_to_asker) {
    auto known = this->mark(source);
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
    if (m.age < session_ && !m.fact.leaving()) out.push_back(m);
  return out;
}

std::map<std::string, pb::NodeStatus> StatusTable::latest(TimePoint now) const {
  std::map<std::string, pb::NodeStatus> out;
  for (auto& [k, e] : by_)
    if (now - e.heard < session_) out[k] = e.statuses;
  return out;
}

std::map<std::string, WorkerFact> StatusTable::workers(TimePoint now) const {
  std::map<std::string, WorkerFact> out;
  for (auto& [k, e] : by_)
    for (auto& b : e.statuses.beats()) {
      Duration age = now - e.heard + Duration(static_cast<int64_t>(b.age_ms()));
      auto& w = out[b.instance()];
      bool later = w.beat.instance().empty() || b.number() > w.beat.number();
      if (later || (b.number() == w.beat.number() && age < w.age)) {
        bool left = w.beat.leaving();
        w.beat = b;
        w.age = age;
        if (left) w.beat.set_leaving(true);
      } else if (b.leaving()) {
        w.beat.set_leaving(true);
      }
    }
  for (auto& [k, w] : out)
    if (departed_.count(k)) w.beat.set_leaving(true);
  for (auto& [k, w] : out) w.gone = w.beat.leaving() || w.age > Duration(w.beat.period_ms() * kMissedBeats);
  return out;
}

void StatusTable::forget(TimePoint now) {
  for (auto i = by_.begin(); i != by_.end();)
    i = now - i->second.heard > session_ * 20 ? by_.erase(i) : std::next(i);
  std::erase_if(noted_, [&](auto& noted) {
    auto here = by_.find(noted.first);
    bool known_here = here != by_.end() && !newer(noted.second.mark, here->second.statuses.mark());
    return known_here || now - noted.second.heard > session_ * 20;
  });
}

}  // namespace dunlinwing::membership
