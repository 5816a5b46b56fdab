// Which versions may be asked, and what has been purged.
#include "traffic/table.hpp"

#include <algorithm>

#include "base/ports.hpp"

namespace dunlinwing::traffic {

void settle(Table& t) {
  for (auto& s : t.given_up)
    if (auto f = t.states.find(s); f != t.states.end()) f->second.set_switching(false);
  for (auto& [name, ws] : t.workers) {
    auto& st = t.states[name];
    if (!st.current().empty()) continue;
    std::set<std::string> all;
    for (auto& w : ws) all.insert(w.version);
    st.clear_kept();
    for (auto& v : all) st.add_kept(v);
  }
}

Versions versions(const Service& s, const pb::ServiceState* st) {
  Versions v;
  auto allowed = [&](const std::string& x) {
    return !x.empty() &&
           (s.versions.empty() || std::find(s.versions.begin(), s.versions.end(), x) != s.versions.end()) &&
           !(st && st->quarantined().count(x));
  };
  if (st && st->switching() && allowed(st->trial())) {
    v.open.push_back(st->trial());
    return v;
  }
  // Once a version is in place, a layout that leaves it out takes the service nowhere else.
  bool placed = st && !st->current().empty();
  std::string cur = placed && allowed(st->current()) ? st->current() : std::string();
  if (!placed)
    for (auto& x : s.versions)
      if (allowed(x) && !(st && st->trial() == x)) {
        cur = x;
        break;
      }
  if (!cur.empty()) v.open.push_back(cur);
  if (!st) return v;
  bool tried = !st->trial().empty() && allowed(st->trial());
  if (placed ? !st->within_ms() || st->trial().empty() : s.versions.empty())
    for (auto& k : st->kept())
      if (allowed(k) && k != cur && k != st->trial()) v.open.push_back(k);
  if (tried) v.trial = st->trial();
  return v;
}

bool overtaken(const Table& t, const std::string& relay, uint64_t generation) {
  if (t.order) return t.order > generation;
  auto f = t.assigned.find(relay);
  return f != t.assigned.end() && f->second > generation;
}

namespace {
const pb::PurgeSet* find(const Table& t, const std::string& key) {
  auto f = t.purges.find(key);
  return f == t.purges.end() ? nullptr : &f->second;
}

bool hit(const pb::PurgeSet& s, const Named& n, uint64_t since) {
  if (s.number() <= since) return false;
  auto path = n.target.substr(0, n.target.find('?'));
  for (auto& p : s.purges()) {
    if (p.number() <= since) continue;
    if (p.kind() == "service") return true;
    if (!p.host().empty() && !base::same_word(p.host(), n.host)) continue;
    if (p.kind() == "prefix" && path.substr(0, p.path().size()) == p.path()) return true;
    if (p.kind() == "path" && (path == p.path() || n.target == p.path())) return true;
    if (p.kind() == "tag" && n.tags && std::find(n.tags->begin(), n.tags->end(), p.path()) != n.tags->end())
      return true;
  }
  return false;
}
}  // namespace

uint64_t purge_number(const Table& t, const std::string& service) {
  auto* s = find(t, service);
  auto* all = find(t, kAllServices);
  return (s ? s->number() : 0) | (all ? all->number() << 32 : 0);  // two counts that only rise
}

uint64_t purge_least(uint64_t a, uint64_t b) {
  return std::min(a & 0xffffffff, b & 0xffffffff) | (std::min(a >> 32, b >> 32) << 32);
}

bool purged(const Table& t, const Named& n, uint64_t since) {
  auto* s = find(t, std::string(n.service));
  auto* all = find(t, kAllServices);
  return (s && hit(*s, n, since & 0xffffffff)) || (all && hit(*all, n, since >> 32));
}

}  // namespace dunlinwing::traffic
