// The relays are the product's own, dressed by platform/; only machines, links and
// people are invented.
#include "platform/day.hpp"

#include <fmt/format.h>

#include "platform/control_adapter.hpp"
#include "platform/protocol_adapter.hpp"
#include "platform/rules.hpp"

namespace dunlinwing::test {
namespace {
constexpr Duration kBeat{1500};

simulation::FleetShape shape(bool small, Yard& yard) {
  simulation::FleetShape s;
  s.replicas = 3;
  s.edge_nodes = small ? 4 : 9;
  s.seeded = true;
  s.tolerate = 1;
  s.scale = 1;
  s.max_delay = Duration(2);
  std::shared_ptr<const proxy::ProtocolAdapter> face = platform::protocol_adapter();
  s.settings = [face](node::NodeConfig& config) {
    config.protocol_adapter = face;
    config.shield = false;
    config.max_cache_bytes = 65 << 20;
    config.system.retry_allowance = 64;
  };
  s.translate = [](base::Request& request, const simulation::FleetShape::Handler& product) {
    return platform::handle(request, kBeat, product);
  };
  s.send = [&yard](auto& l, auto& a, auto& q, auto& r) { return yard.send(l, a, q, r); };
  s.stands = [&yard](auto& a) { return yard.stands(a); };
  return s;
}
}  // namespace

Day::Day(uint64_t seed, bool small)
    : w(seed), yard(f, d), f(w, shape(small, yard)), clients(f, d), op(f, d) {}

void Day::want(bool ok, const std::string& what) {
  if (!ok) unmet.push_back(what);
}

bool Day::begin(int per_second, double rate) {
  page = first_page(rate);
  if (rate > 0) yard.rates["huvo"] = rate;
  for (int i = 0; i < 7; ++i) yard.add("wuno");
  for (int i = 0; i < 4; ++i) yard.add("huvo");
  for (int i = 0; i < 40; ++i) d.tags[fmt::format("/obj/{:x}", i)] = fmt::format("t{}", i % 5);
  f.spawn_outside([this] { watch(); });
  clients.knock();
  f.sleep(Duration(500));
  bool ok = op.put(page);
  want(ok, "the first configuration was not taken");
  ok = ok && f.wait_until(Duration(15000), [&] {
    for (auto& h : f.hosts()) {
      if (!h->up() || !h->node->ready()) return false;
      auto snapshot = h->node->request_handler().snapshot();
      for (auto* n : {"wuno", "huvo"})
        if (auto x = snapshot->backend_instances.find(n);
            x == snapshot->backend_instances.end() || x->second.size() < 4)
          return false;
    }
    return clients.all_in();
  });
  want(ok, "not all became ready and knew all workers within 15 s");
  f.sleep(Duration(2000));
  for (auto& h : f.hosts()) {
    auto snapshot = h->node->request_handler().snapshot();
    want(static_cast<size_t>(snapshot->nodes) == f.hosts().size(),
         fmt::format("{} shares the fleet's allowances among {} of {}", h->name, snapshot->nodes,
                     f.hosts().size()));
  }
  over = w.now() + Duration(600000);
  clients.come(page, per_second, over);
  f.sleep(Duration(3000));
  return ok;
}

bool Day::change(uint64_t dice) {
  auto old = page;
  page = next_page(page, page.revision + 1 + dice % 3, dice);
  // What is dropped is wanted no longer before it goes, what is added not before it is there.
  Page both = page;
  std::erase_if(both.lines, [&](auto& l) { return !old.match(l.host, l.prefix); });
  clients.page(both);
  bool ok = op.put(page);
  if (ok) clients.page(page);
  for (auto* p : {&old, &page})
    for (size_t i = 4; i < p->lines.size(); ++i)
      clients.probe(p->lines[i].host, p->lines[i].prefix + "probe");
  clients.probe("c.example", "/never/there");
  return ok;
}

simulation::Host& Day::any(bool core) {
  std::vector<simulation::Host*> v;
  for (auto& h : f.hosts())
    if (h->up() && h->has_disk == core && !w.frozen(h->name)) v.push_back(h.get());
  return *v.at(below(v.size()));
}

void Day::kill_for(const std::string& host, Duration down) {
  d.unplanned = true;
  harm(host);
  f.kill(host);
  f.spawn_outside([this, host, down] {
    f.sleep(down);
    harm(host);
    f.start(host);
  });
}

void Day::term(const std::string& host) {
  auto& h = f.at(host);
  if (!h.up()) return;
  d.terms.emplace_back(w.now(), host);
  harm(host);
  if (h.has_disk) unsettle();
  auto* n = h.node.get();
  auto life = h.process;
  TimePoint from = w.now();
  w.spawn(life, [n] { n->begin_shutdown(); });
  f.sleep(Duration(2700));
  if (life->dead) return;
  n->request_handler().start_draining();
  while (!life->dead && n->request_handler().running_requests() > 0 && w.now() < from + Duration(4800))
    f.sleep(Duration(10));
  f.sleep(Duration(50));
  if (!life->dead) f.kill(host);
  f.sleep(Duration(300));
  harm(host);
  f.start(host);
}

void Day::watch() {
  for (;;) {
    std::string core;
    int up = 0, all = 0;
    std::vector<simulation::Host*> held;
    for (auto& h : f.hosts()) {
      bool well = h->up() && !w.frozen(h->name);
      auto& life = lives_[h->name];
      if (!well || life != h->process.get()) harm(h->name);
      life = h->process.get();
      if (!h->has_disk) continue;
      ++all;
      up += well;
      if (well) held.push_back(h.get());
      core += fmt::format("{}{}{}", h->name, well, h->process ? fmt::ptr(h->process.get()) : nullptr);
    }
    auto joined = [&](auto& a, auto& b) {
      return a.name == b.name || (!w.is_partitioned(a.name, b.name) && !w.is_partitioned(b.name, a.name));
    };
    std::vector<simulation::Host*> main;  // of the core, those that reach over half of it
    for (auto* a : held) {
      int n = 0;
      for (auto* b : held) {
        n += joined(*a, *b);
        core += joined(*a, *b) ? "+" : "-";
      }
      if (n * 2 > all) main.push_back(a);
    }
    if (core != core_was_ || main.size() * 2 <= static_cast<size_t>(all)) unsettle();
    core_was_ = core;
    for (auto& h : f.hosts())
      for (auto* c : main)
        if (!joined(*h, *c)) harm(h->name);
    f.sleep(Duration(20));
  }
}

void play(const std::string& kind, uint64_t seed, bool small, int load,
          std::map<std::string, uint64_t>& figures) {
  Day day(seed, small);
  auto& story = kinds().at(kind);
  std::map<std::string, uint64_t> got;
  TimePoint end = day.w.now() + Duration(90000);
  day.w.run(day.w.now() + Duration(2000), nullptr, [&] {
    day.f.start_all();
    day.f.spawn_outside([&] {
      if (day.begin(story.per_second * load, story.rate)) story.run(day);
      day.f.sleep(Duration(1500));
      got = {{"wanted", day.clients.wanted}, {"served", day.clients.served}};
      day.op.read_back(Duration(3000));
      day.done = true;
    });
  });
  while (!day.done && day.w.now() < end) day.w.run(day.w.now() + Duration(2000), nullptr, nullptr);
  day.f.end();
  day.w.run(day.w.now() + Duration(20000), nullptr, nullptr);
  for (auto& [k, v] : got) figures[k] += v;
  for (auto& [k, v] : day.w.faults_met) figures["met_" + k] += v;
  for (auto& [id, t] : day.d.tries) figures["tries_in_touch"] += in_touch(day.d, t.relay, t.sent);
  figures["tries"] += day.d.tries.size();
  figures["arrivals"] += day.d.arrivals.size();
  figures["steps"] += day.w.steps();
  auto broken = judge(day.d);
  std::string all;
  std::map<std::string, int> of;
  for (auto& b : broken)
    if (of[b.rule]++ < 2) all += fmt::format("\n     {}: {}", b.rule, b.what);
  for (auto& [r, n] : of) all += fmt::format("\n     {} {}", n, r);
  for (auto& u : day.unmet) all += "\n     unmet: " + u;
  if (!day.done) all += "\n     the day did not come to its end";
  double part = got["wanted"] ? static_cast<double>(got["served"]) / static_cast<double>(got["wanted"]) : 0;
  if (part < day.floor)
    all += fmt::format("\n     {:.3f} of {} requests served, {} wanted", part, got["wanted"], day.floor);
  expect(all.empty(), fmt::format("seed {}{}: {}", seed, small ? " small" : "", all));
}

}  // namespace dunlinwing::test
