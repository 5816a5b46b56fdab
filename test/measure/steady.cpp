// One fleet, one load, one window. Figures per node count both directions of its link, so
// each message is counted at both ends.
#include "steady.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace dunlinwing::measure {
namespace {
constexpr Duration kUp{120000};
constexpr int kTicks = 8;

void registers(HollowFleet& f, int n) {
  int left = n, done = 0;
  for (int k = 0; k < std::min(n, 16); ++k)
    f.world.spawn(f.nodes[0]->life(), [&f, &left, &done] {
      while (left > 0) {
        auto key = fmt::format("idle/{:06}", left--);
        f.nodes[0]->relay().registers().write(key, 0, std::string(200, 'x'));
        ++done;
      }
    });
  f.wait_until(Duration(300000), [&] { return done >= n; });
}

// The processor time of one tick of the rollout standby: the work that a replica does every
// eighth of the bound while another node is the leader. It never suspends.
double watch_ms(HollowFleet& f) {
  auto& n = *f.nodes[0];
  double ms = 0;
  f.run_on_node(n, Duration(5000), [&] {
    membership::Leadership none(n.ports(), n.relay().registers(), n.relay().state_cache(), "measured", n.name,
                                n.zone, f.s.bound);
    rollout::RolloutController c(n.ports(), n.relay().registers(), n.relay().state_cache(), none,
                                 {f.s.bound, 600});
    c.tick();  // reads the releases, which later ticks do not repeat
    auto from = cpu_ns();
    for (int i = 0; i < kTicks; ++i) c.tick();
    ms = static_cast<double>(cpu_ns() - from) / 1e6 / kTicks;
  });
  return ms;
}

// The size of the responses that a console gets when it queries all nodes.
void console(HollowFleet& f, Figures& o) {
  for (auto* what : {"nodes", "assignments"}) {
    size_t bytes = 0;
    f.run_on_node(*f.nodes.back(), Duration(5000), [&] {
      base::Request request{"", "GET", fmt::format("/v1/{}", what), "", {}};
      bytes = f.nodes.back()->control().handle(request).body.size();
    });
    o[fmt::format("console_{}_bytes", what)] = static_cast<double>(bytes);
  }
}

struct Mark {
  LinkTraffic link_traffic;
  uint64_t answer_ns = 0;
};

std::vector<Mark> marks(HollowFleet& f) {
  std::vector<Mark> v;
  for (auto& n : f.nodes) v.push_back({n->link_traffic, n->answer_ns});
  return v;
}

void costs(HollowFleet& f, const std::vector<Mark>& was, const PullBytes& split, uint64_t cpu, double sec,
           Figures& o) {
  Distribution bytes;
  double rb = 0, rm = 0, hb = 0, hm = 0, ans = 0, most = 0, leadership = 0;
  int rn = 0, hn = 0;
  for (size_t i = 0; i < f.nodes.size(); ++i) {
    auto& n = *f.nodes[i];
    double b = static_cast<double>(n.link_traffic.bytes - was[i].link_traffic.bytes) / sec;
    double m = static_cast<double>(n.link_traffic.messages - was[i].link_traffic.messages) / sec;
    ans += static_cast<double>(n.answer_ns - was[i].answer_ns) / 1e6 / sec;
    (n.replica ? hb : rb) += b;
    (n.replica ? hm : rm) += m;
    ++(n.replica ? hn : rn);
    if (n.replica) most = std::max(most, b);
    if (!n.replica) bytes.add(b);
    if (n.up() && n.relay().leadership().is_leader()) leadership = b;
  }
  double all = static_cast<double>(cpu) / 1e6 / sec;
  o["relay_bytes"] = rn ? rb / rn : 0;
  o["relay_bytes_p50"] = bytes.at(0.5);
  o["relay_bytes_p99"] = bytes.at(0.99);
  o["relay_bytes_worst"] = bytes.most();
  o["relay_messages"] = rn ? rm / rn : 0;
  o["holder_bytes"] = hb / hn;
  o["holder_bytes_worst"] = most;
  o["holder_messages"] = hm / hn;
  o["duty_bytes"] = leadership;
  o["cpu_ms_s"] = all;  // of the complete fleet
  o["relay_cpu_ms_s"] =
      (all - ans) /
      static_cast<double>(f.nodes.size());  // a node's own pulls and tables, without responses to pulls
  o["holder_cpu_ms_s"] = o["relay_cpu_ms_s"] + ans / hn;
  auto per = [&](uint64_t a, uint64_t b) {
    return static_cast<double>(a - b) * 16 / sec / static_cast<double>(f.nodes.size());
  };
  o["pull_marks_bytes"] = per(f.split.marks, split.marks);
  o["pull_own_bytes"] = per(f.split.own, split.own);
  o["pull_news_bytes"] = per(f.split.statuses, split.statuses);
  o["pull_slots_bytes"] = per(f.split.slots, split.slots);
}
}  // namespace

std::string run_in_fleet(uint64_t seed, Shape s, Duration length,
                         const std::function<void(HollowFleet&)>& script) {
  simulation::World world(seed);
  HollowFleet f(world, s);
  std::string why = "the run timed out";
  world.run(world.now() + length + kUp, nullptr, [&] {
    f.start_all();
    f.outside([&] {
      auto not_up = [&](const char* x) {
        why = x;
        f.end();
      };
      if (!f.wait_until(kUp / 2, [&] { return f.all_up() && f.all_have_read_leases(); }))
        return not_up("not every node got a read lease");
      if (!put_layout(f, "first", 0)) return not_up("the first configuration was not accepted");
      if (!f.wait_until(kUp / 2, [&] { return f.all_run("first"); }))
        return not_up("not every node runs the first configuration");
      script(f);
      why.clear();
      f.end();  // the rest of the simulated time then needs no computation
    });
  });
  f.end();
  world.run(world.now() + Duration(20000), nullptr, nullptr);
  return why;
}

Figures steady(uint64_t seed, Shape s, const Load& l) {
  Figures o;
  auto empty = resident();
  auto began = cpu_ns();
  TimePoint up{0};
  auto why = run_in_fleet(seed, s, Duration(l.window_s * 1000 + 400000), [&](HollowFleet& f) {
    up = f.world.now();
    o["start_cpu_ms"] = static_cast<double>(cpu_ns() - began) / 1e6;
    if (l.registers) registers(f, l.registers);
    if (l.backends) f.send_heartbeats(l.backends, Duration(l.period_ms));
    f.sleep(Duration(2500) + Duration(l.backends ? 2 * l.period_ms : 0));
    Stream st(f);
    auto end = f.world.now() + Duration(l.window_s * 1000);
    auto was = marks(f);
    auto split = f.split;
    auto taken = f.heartbeats_accepted, missed = f.heartbeats_rejected;
    auto cpu = cpu_ns();
    st.changes(l.changes, end);
    st.purges(l.purges, end);
    Distribution configurations;
    for (int i = 1; i <= l.configurations; ++i) {
      auto from = f.world.now();
      auto name = fmt::format("next{}", i);
      if (put_layout(f, name, i) && f.wait_until(Duration(60000), [&] { return f.all_run(name); }))
        configurations.add(static_cast<double>((f.world.now() - from).count()));
    }
    uint64_t looks = 0, stale = 0;
    for (; f.world.now() < end; f.sleep(Duration(250)), ++looks) stale += !f.all_have_read_leases();
    costs(f, was, split, cpu_ns() - cpu,
          static_cast<double>((f.world.now() - end).count() + l.window_s * 1000) / 1000, o);
    o["beats_taken"] = static_cast<double>(f.heartbeats_accepted - taken);
    o["beats_missed"] = static_cast<double>(f.heartbeats_rejected - missed);
    o["looks_without_all_permits"] = static_cast<double>(stale);
    o["memory_bytes"] = static_cast<double>(resident() - empty) / static_cast<double>(f.nodes.size());
    if (l.configurations) {
      o["layout_everywhere"] = static_cast<double>(configurations.count());
      o["layout_p50_ms"] = configurations.at(0.5);
      o["layout_most_ms"] = configurations.most();
    }
    if (l.changes > 0 || l.purges > 0) {
      o["all_everywhere"] = st.await_propagation(Duration(30000));
      st.figures(o);
    }
    o["watch_ms"] = watch_ms(f);
    console(f, o);
  });
  o["ended"] = why.empty();
  return o;
}

}  // namespace dunlinwing::measure
