// The meter sums the bytes of each node's link per second. "Everywhere" means known to every
// running node; a disconnected region counts after it is reconnected.
#include "faults.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::measure {
namespace {

struct Meter {
  explicit Meter(HollowFleet& x) : f(x) {}
  HollowFleet& f;
  std::vector<uint64_t> was;
  Distribution each;  // bytes of one relay that is no replica in one second
  double total = 0;
  bool on = true;
};

std::shared_ptr<Meter> meter(HollowFleet& f) {
  auto m = std::make_shared<Meter>(f);
  for (auto& n : f.nodes) m->was.push_back(n->link_traffic.bytes);
  f.outside([m] {
    while (m->on) {
      m->f.sleep(Duration(1000));
      for (size_t i = 0; i < m->was.size(); ++i) {
        auto& now = m->f.nodes[i]->link_traffic.bytes;
        double d = static_cast<double>(now - std::exchange(m->was[i], now));
        m->total += d;
        if (!m->f.nodes[i]->replica) m->each.add(d);
      }
    }
  });
  return m;
}

void put(Figures& o, const std::string& when, Meter& m, double sec) {
  m.on = false;
  o[when + "_node_bytes_p50"] = m.each.at(0.5);
  o[when + "_node_bytes_worst"] = m.each.most();
  o[when + "_fleet_bytes_s"] = m.total / sec;
}

double ms_until(HollowFleet& f, Duration most, const std::function<bool()>& ok) {
  auto from = f.world.now();
  return f.wait_until(most, ok) ? static_cast<double>((f.world.now() - from).count()) : -1;
}

double count_read_leases(HollowFleet& f) {
  int n = 0;
  for (auto& x : f.nodes) n += x->up() && x->relay().state_cache().has_read_lease();
  return n;
}

bool has_recovered(HollowFleet& f) { return f.all_up() && f.all_have_read_leases() && f.all_run("first"); }

// Whether no running node lists a killed node as a member.
bool all_removed(HollowFleet& f, const std::vector<Node*>& dead) {
  for (auto& n : f.nodes) {
    if (!n->up()) continue;
    std::map<std::string, bool> in;
    for (auto& m : n->relay().state_cache().statuses().members(f.world.now())) in[m.name] = true;
    for (auto* d : dead)
      if (in.count(d->name)) return false;
  }
  return true;
}

void zone(HollowFleet& f, const FaultScenario& t, Figures& o) {
  std::vector<Node*> dead;
  auto z = f.nodes[0]->zone;  // the zone of a replica
  for (auto& n : f.nodes)
    if (n->zone == z) dead.push_back(n.get());
  auto m = meter(f);
  auto from = f.world.now();
  for (auto* n : dead) f.kill(*n);
  o["lost_nodes"] = static_cast<double>(dead.size());
  o["known_gone_ms"] = ms_until(f, Duration(20000), [&] { return all_removed(f, dead); });
  uint64_t looks = 0, stale = 0;
  for (; f.world.now() - from < Duration(t.hold_s * 1000); f.sleep(Duration(50)), ++looks)
    stale += !f.all_have_read_leases();
  o["looks"] = static_cast<double>(looks);
  o["looks_without_all_permits"] = static_cast<double>(stale);
  put(o, "while", *m, t.hold_s);
  m = meter(f);
  for (auto* n : dead) f.start(*n);
  o["whole_again_ms"] = ms_until(f, Duration(60000), [&] { return has_recovered(f); });
  f.sleep(Duration(5000));
  put(o, "after", *m, 5 + std::max(0.0, o["whole_again_ms"]) / 1000);
}

void apart(HollowFleet& f, const FaultScenario& t, Figures& o) {
  Stream st(f);
  auto from = f.world.now(), end = from + Duration(t.hold_s * 1000);
  auto m = meter(f);
  f.isolated_region = f.nodes.back()->region;
  int inside = 0;
  for (auto& n : f.nodes) inside += n->region == f.isolated_region;
  o["apart_nodes"] = inside;
  st.changes(t.changes, end);
  st.purges(t.purges, end);
  f.sleep(std::min<Duration>(Duration(5000), end - f.world.now()));
  o["permits_while"] = count_read_leases(f);
  o["others"] = static_cast<double>(f.nodes.size()) - inside;
  double least = o["permits_while"];
  for (; f.world.now() < end; f.sleep(Duration(500))) least = std::min(least, count_read_leases(f));
  o["permits_least"] = least;
  put(o, "while", *m, t.hold_s);
  m = meter(f);
  f.isolated_region = -1;
  o["whole_again_ms"] = ms_until(f, Duration(60000), [&] { return has_recovered(f); });
  o["all_everywhere"] = st.await_propagation(Duration(30000));
  st.figures(o);
  o["all_everywhere_ms"] = o["whole_again_ms"] < 0 ? -1 : static_cast<double>((f.world.now() - end).count());
  f.sleep(Duration(5000));
  put(o, "after", *m, static_cast<double>((f.world.now() - end).count()) / 1000);
}

void restart(HollowFleet& f, const FaultScenario& t, Figures& o) {
  std::vector<Node*> them;
  size_t want = std::max<size_t>(2, f.nodes.size() / 100);
  for (auto i = f.nodes.size(); them.size() < want; --i) them.push_back(f.nodes[i - 1].get());
  for (auto* n : them) f.kill(*n);
  f.sleep(Duration(1000));
  auto m = meter(f);
  auto bytes = them[0]->link_traffic.bytes;
  for (auto* n : them) f.start(*n);
  o["restarted"] = static_cast<double>(want);
  o["whole_again_ms"] = ms_until(f, Duration(60000), [&] { return has_recovered(f); });
  o["first_bytes"] = static_cast<double>(them[0]->link_traffic.bytes - bytes);
  f.sleep(Duration(t.hold_s * 1000));
  put(o, "after", *m, t.hold_s + std::max(0.0, o["whole_again_ms"]) / 1000);
}

void storm(HollowFleet& f, const FaultScenario& t, Figures& o) {
  Stream st(f);
  auto end = f.world.now() + Duration(t.hold_s * 1000);
  auto m = meter(f);
  auto cpu = cpu_ns();
  st.changes(t.changes, end);
  st.purges(t.purges, end);
  uint64_t looks = 0, stale = 0;
  for (; f.world.now() < end; f.sleep(Duration(250)), ++looks) stale += !f.all_have_read_leases();
  o["cpu_ms_s"] = static_cast<double>(cpu_ns() - cpu) / 1e6 / t.hold_s;
  o["looks"] = static_cast<double>(looks);
  o["looks_without_all_permits"] = static_cast<double>(stale);
  put(o, "while", *m, t.hold_s);
  o["all_everywhere"] = st.await_propagation(Duration(60000));
  o["all_everywhere_ms"] = static_cast<double>((f.world.now() - end).count());
  st.figures(o);
}
}  // namespace

Figures measure_fault(uint64_t seed, Shape s, const FaultScenario& t) {
  Figures o;
  auto why = run_in_fleet(seed, s, Duration(t.hold_s * 1000 + 300000), [&](HollowFleet& f) {
    f.sleep(Duration(3000));
    auto m = meter(f);
    f.sleep(Duration(5000));
    put(o, "before", *m, 5);
    if (t.kind == "zone") zone(f, t, o);
    if (t.kind == "apart") apart(f, t, o);
    if (t.kind == "restart") restart(f, t, o);
    if (t.kind == "storm") storm(f, t, o);
  });
  o["ended"] = why.empty();
  return o;
}

}  // namespace dunlinwing::measure
