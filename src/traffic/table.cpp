// Which versions may be asked, and what has been purged.
#include "traffic/table.hpp"

#include <algorithm>

namespace dunlinwing::traffic {

Versions versions(const Service& s, const pb::ServiceState* st) {
  Versions v;
  auto allowed = [&](const std::string& x) {
    return std::find(s.versions.begin(), s.versions.end(), x) != s.versions.end() &&
           !(st && st->quarantined().count(x));
  };
  // Once a version is in place, a layout that leaves it out takes the service nowhere else.
  std::string cur = st && allowed(st->current()) ? st->current() : std::string();
  if (!st || st->current().empty())
    for (auto& x : s.versions)
      if (allowed(x) && !(st && st->trial() == x)) {
        cur = x;
        break;
      }
  if (!cur.empty()) v.open.push_back(cur);
  if (!st) return v;
  for (auto& k : st->kept())
    if (allowed(k) && k != cur) v.open.push_back(k);
  if (!st->trial().empty() && allowed(st->trial())) v.trial = st->trial();
  return v;
}

bool overtaken(const Table& t, const std::string& relay, uint64_t generation) {
  auto f = t.assigned.find(relay);
  return f != t.assigned.end() && f->second > generation;
}

uint64_t purge_number(const Table& t, const std::string& service) {
  auto f = t.purges.find(service);
  return f == t.purges.end() ? 0 : f->second.number();
}

bool purged(const Table& t, const std::string& service, std::string_view target, uint64_t since) {
  auto f = t.purges.find(service);
  if (f == t.purges.end()) return false;
  auto path = target.substr(0, target.find('?'));
  for (auto& p : f->second.purges()) {
    if (p.number() <= since) continue;
    if (p.kind() == "service") return true;
    if (p.kind() == "prefix" && path.substr(0, p.path().size()) == p.path()) return true;
    if (p.kind() == "path" && (path == p.path() || target == p.path())) return true;
  }
  return false;
}

}  // namespace dunlinwing::traffic
