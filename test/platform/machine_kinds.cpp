// What befalls machines, clocks and links, and the faults that close a day.
#include <fmt/format.h>

#include "platform/day.hpp"

namespace dunlinwing::test {
namespace {

void node_kill(Day& y) {
  for (int i = 0; i < 3; ++i) {
    y.kill_for(y.any(i == 1).name, Duration(200 + y.below(2500)));
    y.f.sleep(Duration(3500));
  }
  y.floor = 0.85;
}

void herd_kill(Day& y) {
  std::vector<std::string> names;
  for (auto& h : y.f.hosts())
    if (y.below(10) < 6) names.push_back(h->name);
  for (auto& n : names) y.kill_for(n, Duration(300 + y.below(700)));
  y.f.sleep(Duration(8000));
  y.floor = 0.6;
}

// The machine that acknowledges a change is gone within four milliseconds.
void after_ack(Day& y, bool wipe) {
  for (int i = 0; i < 3; ++i) {
    auto old = y.page;
    y.page = next_page(old, old.revision + 1, 5 * y.below(100));
    bool ok = y.op.put(y.page);
    y.f.sleep(Duration(y.below(4)));
    auto by = y.op.last_by;
    y.d.unplanned = true;
    y.harm(by);
    y.f.kill(by);
    if (wipe) y.f.wipe(by);
    y.want(ok, "a configuration was not taken");
    y.f.sleep(Duration(500 + y.below(1500)));
    y.harm(by);
    y.f.start(by);
    y.f.sleep(Duration(5000));
    if (ok) y.clients.page(y.page);
  }
  y.floor = 0.85;
}

void core_cut(Day& y) {
  y.d.unplanned = true;
  auto one = y.any(true).name;
  bool one_way = y.below(2);
  for (auto& h : y.f.hosts())
    if (h->has_disk && h->name != one) {
      y.w.partition(one, h->name);
      if (!one_way) y.w.partition(h->name, one);
    }
  y.f.sleep(Duration(1000));
  y.change(5 * y.below(100));
  y.f.sleep(Duration(4000));
  y.w.heal_all();
  y.f.sleep(Duration(4000));
  y.floor = 0.8;
}

void node_cut(Day& y) {
  y.d.unplanned = true;
  auto one = y.any(false).name;
  for (auto& h : y.f.hosts())
    if (h->has_disk) y.w.partition(one, h->name), y.w.partition(h->name, one);
  y.f.sleep(Duration(1000));
  y.change(5 * y.below(100));
  y.f.sleep(Duration(4000));
  y.w.heal_all();
  y.f.sleep(Duration(4000));
  y.floor = 0.85;
}

void node_freeze(Day& y) {
  y.d.unplanned = true;
  for (bool core : {false, true}) {
    auto& host = y.any(core);
    y.w.freeze(host.name, y.w.now() + Duration(1500 + y.below(3500)));
    y.f.sleep(Duration(500));
    y.change(y.w.draw() % 100000);
    y.f.sleep(Duration(6500));
  }
  y.floor = 0.8;
}

void clock_step(Day& y) {
  std::vector<simulation::Host*> who;
  for (auto& h : y.f.hosts())
    if (y.below(10) < 3) who.push_back(h.get());
  int64_t by = y.below(2) ? 2000 : -2000;
  for (int sign : {1, -1}) {
    for (auto* host : who) {
      host->wall_offset_ms += sign * by;
      y.harm(host->name);
      if (host->has_disk) y.unsettle();
    }
    y.change(y.w.draw() % 100000);
    y.f.sleep(Duration(4500));
  }
}

void roll_term(Day& y) {
  for (auto& h : y.f.hosts()) {
    if (h->up() && (h->has_disk || y.below(3) == 0)) {
      y.term(h->name);
      y.f.sleep(Duration(1000));
    }
  }
}

void seed_change(Day& y) {
  for (auto& h : y.f.hosts()) h->node->set_seeds({"http:e1", "http:h3", "http:e2"});
  y.f.sleep(Duration(1000));
  y.change(0);
  y.kill_for(y.any(false).name, Duration(300));
  y.f.sleep(Duration(5000));
}

// All are killed, and the order comes while they start.
void order_at_start(Day& y) {
  y.d.unplanned = true;
  for (int i = 0; i < 4; ++i) y.yard.add("huvo", "v2");
  y.f.sleep(Duration(2000));
  for (auto& h : y.f.hosts()) y.f.kill(h->name);
  y.f.sleep(Duration(300));
  y.f.start_all();
  y.f.sleep(Duration(y.below(400)));
  y.want(y.op.move("huvo", "v2", Duration(12000), false),
         "a rollout was not taken by relays that just started");
  y.f.sleep(Duration(2000));
  std::string version;
  auto st = y.op.state("huvo", &version);
  y.want(!st.empty() && version == "v2", fmt::format("the rollout reads {} {}", version, st));
  y.floor = 0.5;
}

// Right after one more change was acknowledged.
void closing(Day& y, int how) {
  for (int i = 0; i < 4; ++i) y.yard.add("huvo", "v2");
  y.f.sleep(Duration(2000));
  y.want(y.op.move("huvo", "v2", Duration(12000), false), "a rollout was not taken");
  auto old = y.page;
  y.page = next_page(old, old.revision + 2, 5 * y.below(100));
  y.want(y.op.put(y.page), "the last configuration was not taken");
  y.d.unplanned = true;
  y.d.closed = y.w.now();
  y.f.sleep(Duration(y.below(4)));
  std::string one = fmt::format("h{}", 1 + y.below(3));
  for (auto& h : y.f.hosts())
    if (how != 2 || h->name == one || y.below(2)) y.f.kill(h->name);
  if (how == 2) y.f.wipe(one);
  y.f.sleep(Duration(how == 0 ? 500 : 3000));
  y.f.start_all();
  y.d.back = y.w.now();
  y.f.sleep(Duration(15000));
  auto wanted = y.clients.wanted, served = y.clients.served;
  y.f.sleep(Duration(4000));
  std::string version;
  auto st = y.op.state("huvo", &version);
  y.want(!st.empty() && version == "v2",
         fmt::format("LOST: the rollout reads {} {} after the closing fault", version, st));
  y.want((y.clients.served - served) * 4 >= (y.clients.wanted - wanted),
         "less than a quarter is served 15 s after all were back");
  y.floor = 0.3;
}
}  // namespace

std::map<std::string, Kind> machine_kinds() {
  return {{"node_kill", {node_kill}},
          {"herd_kill", {herd_kill}},
          {"after_ack_kill", {[](Day& y) { after_ack(y, false); }}},
          {"after_ack_wipe", {[](Day& y) { after_ack(y, true); }}},
          {"core_cut", {core_cut}},
          {"node_cut", {node_cut}},
          {"node_freeze", {node_freeze}},
          {"clock_step", {clock_step}},
          {"order_at_start", {order_at_start}},
          {"roll_term", {roll_term}},
          {"seed_change", {seed_change}},
          {"kill_all", {[](Day& y) { closing(y, 0); }}},
          {"power_off_all", {[](Day& y) { closing(y, 1); }}},
          {"wipe_after_ack", {[](Day& y) { closing(y, 2); }}}};
}

}  // namespace dunlinwing::test
