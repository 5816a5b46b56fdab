// A step is taken only when every holder that is not gone for good votes, so that
// the machine added last is filled and nothing else is under way. A machine is added
// before one is removed.
#include "membership/replica_repair.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log lg("membership");
constexpr size_t kMost = 9, kFewest = 3;
}  // namespace

std::optional<RepairStep> plan_repair(const ClusterView& s) {
  if (s.tolerate < 1 || s.set.empty()) return {};
  size_t want = 2 * static_cast<size_t>(s.tolerate) + 1, live = 0;
  std::map<std::string, const RepairCandidate*> by;
  for (auto& n : s.nodes) by[n.name] = &n;
  std::map<std::string, size_t> zones;
  const consensus::Replica* gone = nullptr;
  for (auto& h : s.set) {
    auto f = by.find(h.name);
    if (f == by.end()) return {};
    auto& k = *f->second;
    if (!k.votes && !k.present && k.absent >= s.bound * kGoneBounds) {
      gone = &h;
      continue;
    }
    if (!k.votes) return {};  // being filled, or away for a while
    ++live;
    ++zones[k.zone];
  }
  if (live < s.set.size() / 2 + 1) return {};
  if (gone && s.set.size() > std::max(want, kFewest))
    return RepairStep{false, *gone, fmt::format("it is gone, and {} others vote", live)};
  if (live >= want || s.set.size() >= kMost) return {};
  const RepairCandidate* best = nullptr;
  for (auto& [n, k] : by) {
    bool in = std::any_of(s.set.begin(), s.set.end(),
                          [&](auto& h) { return h.name == k->name || h.address == k->address; });
    if (in || !k->disk || !k->present || k->address.empty()) continue;
    if (!best || zones[k->zone] < zones[best->zone]) best = k;
  }
  if (!best) return {};
  return RepairStep{true, {best->name, best->address}, fmt::format("{} of the {} wanted vote", live, want)};
}

struct ReplicaRepair::Impl {
  base::Ports& ps;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  Leadership& leadership;
  int tolerate;
  Duration bound;
  std::map<std::string, TimePoint> met;  // when each holder's session last stood, as far as known here

  Impl(base::Ports& p, consensus::RegisterClient& b, StateCache& m, Leadership& d, int t, Duration bd)
      : ps(p), registers(b), state_cache(m), leadership(d), tolerate(t), bound(bd) {}

  ClusterView sight() {
    ClusterView s{registers.holders(), {}, tolerate, bound};
    TimePoint now = ps.clock.now();
    std::set<std::string> in;
    for (auto& m : state_cache.statuses().members(now)) {
      in.insert(m.name);
      met[m.name] = now;
    }
    std::map<std::string, RepairCandidate> by;
    for (auto& h : s.set) by[h.name] = {h.name, "", h.address, true, false, false, Duration(0)};
    for (auto& m : state_cache.statuses().all(now)) {
      if (m.fact.zone().empty()) continue;
      auto& k = by[m.name];
      k = {m.name, m.fact.zone(), m.fact.peer_address(), m.fact.disk(), in.count(m.name) && !m.fact.drained(),
           false,  Duration(0)};
    }
    for (auto& [n, k] : by) {
      k.votes = state_cache.votes(n);
      k.absent = now - met.emplace(n, now).first->second;
      s.nodes.push_back(k);
    }
    return s;
  }

  void tick() {
    if (!state_cache.fresh()) return met.clear();  // what was not seen is not absence
    auto s = sight();
    if (!leadership.held()) return;
    auto st = plan_repair(s);
    if (!st) return;
    auto to = s.set;
    if (st->add)
      to.push_back(st->who);
    else
      std::erase_if(to, [&](auto& h) { return h.name == st->who.name; });
    auto from = ps.clock.now();
    auto r =
        registers.change(to, [&] { return leadership.held() ? state_cache.names(bound) : std::nullopt; });
    if (auto* set = std::get_if<pb::ReplicaSet>(&r))
      lg.info("{} {} the holders, for {}; epoch {}, {} of them, in {} ms.", st->who.name,
              st->add ? "joins" : "leaves", st->why, set->epoch(), set->holders_size(),
              (ps.clock.now() - from).count());
    else
      lg.warn("{} could not be {} the holders; the next look tries again.", st->who.name,
              st->add ? "added to" : "removed from");
  }
};

ReplicaRepair::ReplicaRepair(base::Ports& ps, consensus::RegisterClient& b, StateCache& m, Leadership& d,
                             int tolerate, Duration bound)
    : p_(std::make_shared<Impl>(ps, b, m, d, tolerate, bound)) {}
ReplicaRepair::~ReplicaRepair() = default;

void ReplicaRepair::start() {
  if (p_->tolerate < 1) return;
  p_->ps.tasks.spawn([p = p_] {
    for (;;) {
      p->ps.clock.sleep(p->bound / 2);
      p->tick();
    }
  });
}

}  // namespace dunlinwing::membership
