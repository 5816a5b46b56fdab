// The loop runs on every node that stands for the leadership; the understudy keeps
// watching too, so that its counters are warm when the read_lease comes to it.
// Writes are compare-and-set on the version last read and go through the fence, so a
// leader that was frozen past its lease can change nothing (rollout/fence.hpp). Who takes
// up the leadership writes its term into each service's state before it acts on it.
#include "rollout/conductor.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "rollout/fence.hpp"
#include "rollout/pacer.hpp"
#include "rollout/versions.hpp"
#include "rollout/watch.hpp"
#include "traffic/order.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log lg("rollout");

struct Count {
  uint64_t incarnation = 0, requests = 0, defects = 0, beats = 0;
  double usual = 0;  // beats a second while it was on no release under way
  uint64_t looks = 0;
};
constexpr double kLatest = 0.002;  // least weight of the latest look at what is usual: some two minutes count
constexpr uint64_t kLearnt = 240;  // looks, a minute of them, before a mean is taken for usual
constexpr size_t kOthers = 3;      // nodes not on a release that are probed beside those on it

// Whether the effects ask for a write, and whether it may not wait.
std::pair<bool, bool> saving(const std::vector<Effect>& es) {
  bool write = false, urgent = false;
  for (auto& x : es)
    if (auto* s = as<Save>(x)) {
      write = true;
      urgent |= s->urgent;
    }
  return {write, urgent};
}

void tell(const std::vector<Effect>& es) {
  for (auto& x : es)
    if (auto* t = as<Tell>(x)) lg.info("{}", t->text);
}
}  // namespace

pb::Rollout read_rollout(const membership::Chosen& c) {
  pb::Rollout r;
  if (auto f = c.find(kRolloutKey); f != c.end()) r.ParseFromString(f->second.data);
  return r;
}

std::optional<int64_t> median_wall(const std::vector<membership::Member>& ms) {
  std::vector<int64_t> w;
  for (auto& m : ms)
    if (m.fact.holder() && m.fact.wall_ms()) w.push_back(m.fact.wall_ms() + m.age.count());
  if (w.empty()) return {};
  std::sort(w.begin(), w.end());
  return w[(w.size() - 1) / 2];
}

struct Conductor::Impl {
  base::Ports& ps;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  membership::Leadership& leadership;
  ConductorConfig c;
  Rules rules;
  pb::Rollout state;
  uint64_t version = 0;
  Fence fence;
  bool loaded = false;
  size_t turn = 0;
  TimePoint last{0}, saved{0}, looked{0};
  std::map<std::string, Count> counts;
  std::map<std::string, std::pair<uint64_t, uint64_t>> probes;
  std::map<std::string, Release> releases;
  std::map<std::string, TimePoint> marks_seen;  // by entry of Rollout.forgotten: since when its mark is known
  std::map<std::string, std::map<std::string, std::pair<uint64_t, Counts>>> bad;  // source -> service/version
  struct Moment {
    TimePoint at;
    std::string service, version;
    Counts n;
  };
  std::vector<Moment> recent;
  std::map<std::string, std::pair<uint64_t, pb::ServiceState>> services;
  std::map<std::string, TimePoint> service_saved;
  std::shared_ptr<const traffic::Layout> layout;
  traffic::Orders orders;
  Pacer pacer;
  Settler settler;
  Watch watch;

  Impl(base::Ports& p, consensus::RegisterClient& b, membership::StateCache& m, membership::Leadership& d,
       ConductorConfig cc)
      : ps(p),
        registers(b),
        state_cache(m),
        leadership(d),
        c(std::move(cc)),
        fence(d),
        pacer(p, b, m, c.bound),
        settler(p, b, m, c.bound),
        watch(c.bound) {
    rules.scale = c.scale;
    rules.bound = c.bound;
  }

  // Whether the node runs a release that is still in its phases.
  bool on_trial(const std::string& node) const {
    auto n = state.nodes().find(node);
    if (n == state.nodes().end()) return false;
    for (auto& co : state.courses()) {
      if (co.phase() == pb::WAITING || finished(co.phase())) continue;
      auto f = n->second.releases().find(co.kind());
      if (f != n->second.releases().end() && f->second == co.release()) return true;
    }
    return false;
  }

  Sight look(TimePoint now, Duration dt) {
    Sight v;
    v.dt = dt;
    auto wall = median_wall(state_cache.statuses().members(now));
    v.quiet = wall && rules.system.quiet.open(*wall);
    auto statuses = state_cache.statuses().latest(now);
    auto read_lease = leadership.known();
    std::map<std::string, NodeSight> by;
    for (auto& [n, a] : state.nodes()) {
      by[n].name = n;
      by[n].zone = a.zone();
    }
    for (auto& [n, x] : statuses) {
      if (x.node().zone().empty()) continue;
      auto& s = by[n];
      s.name = n;
      s.zone = x.node().zone();
      s.present = !x.node().leaving();
      s.drained = x.node().drained();
      s.keeper = x.node().holder() || n == read_lease.holder() || n == read_lease.understudy();
      for (auto& [k, rel] : x.node().running()) s.running[k] = rel;
      s.load_defect = x.node().load_defect();
      uint64_t rq = 0, df = 0;
      for (auto& t : x.tallies()) {
        rq += t.requests();
        df += t.defects();
      }
      auto& k = counts[n];
      if (k.incarnation == x.mark().incarnation()) {
        s.requests = rq - std::min(rq, k.requests);
        s.defects = df - std::min(df, k.defects);
        s.beats = x.beats_taken() - std::min(x.beats_taken(), k.beats);
      }
      double sec = looked == TimePoint(0)
                       ? 0
                       : static_cast<double>(std::min<Duration>(now - looked, c.bound).count()) / 1000;
      bool tried = on_trial(n), learns = !tried && sec > 0 && k.incarnation == x.mark().incarnation();
      if (learns)
        k.usual += std::max(kLatest, 1.0 / static_cast<double>(++k.looks)) *
                   (static_cast<double>(s.beats) / sec - k.usual);
      if ((tried || learns) && k.looks >= kLearnt)
        s.beats_usual = static_cast<uint64_t>(k.usual * sec * 1000);
      k = {x.mark().incarnation(), rq, df, x.beats_taken(), k.usual, k.looks};
      if (auto p = probes.find(n); p != probes.end()) {
        std::tie(s.probes_ok, s.probes_bad) = p->second;
        probes.erase(p);
      }
    }
    looked = now;
    for (auto& [n, s] : by) v.nodes.push_back(s);
    for (auto& [k, h] : state_cache.chosen()) {
      if (k.starts_with("release/")) {
        if (auto f = releases.find(k); f != releases.end()) continue;
        auto a = k.find('/', 8);
        auto g = read_release(k.substr(8, a - 8), k.substr(a + 1), h.data);
        if (auto* r = std::get_if<Release>(&g)) releases[k] = *r;
      } else if (k.starts_with("act/")) {
        v.acts["release/" + k.substr(4)].ParseFromString(h.data);
      }
    }
    v.releases = releases;
    see_marks(now, v);
    return v;
  }

  // A mark that has been known here for a bound was acknowledged before any fresh relay's latest
  // pull began, so a successor knows it too, whichever state of the rollout it reads.
  void see_marks(TimePoint now, Sight& v) {
    std::map<std::string, TimePoint> seen;
    for (auto& name : state.forgotten()) {
      auto act = v.acts.find("release/" + name);
      if (act == v.acts.end() || !act->second.forgotten()) continue;
      auto before = marks_seen.find(name);
      auto since = seen[name] = before == marks_seen.end() ? now : before->second;
      if (now - since > c.bound) v.marked.insert(name);
    }
    marks_seen = std::move(seen);
  }

  // Marks one course that is no longer kept; the next looks go on. Made twice it does no harm.
  void mark_one(const Sight& v) {
    for (auto& name : state.forgotten()) {
      auto act = v.acts.find("release/" + name);
      if (act != v.acts.end() && act->second.forgotten()) continue;
      auto key = "act/" + name;
      auto read = registers.read(key);
      auto* there = std::get_if<consensus::VersionedValue>(&read);
      if (!there || !leadership.held()) return;
      pb::Act marked;
      marked.ParseFromString(there->data);
      if (marked.forgotten()) return;  // the next pull tells of it
      marked.set_forgotten(true);
      // A leader of an older program does not know the mark; by this it starts nothing anew either.
      if (marked.withdrawn().empty()) marked.set_withdrawn("its course has ended and is no longer kept");
      registers.write(key, there->version, marked.SerializeAsString());
      return;
    }
  }

  bool save(pb::Rollout next) {
    if (auto h = fence.write(registers, kRolloutKey, version, state.term(), next)) {
      version = h->version;
      state = next;
      saved = ps.clock.now();
      return true;
    }
    loaded = false;  // read it anew before the next step
    return false;
  }

  bool reload() {
    auto g = registers.read(kRolloutKey);
    auto* h = std::get_if<consensus::VersionedValue>(&g);
    if (!h) return false;
    version = h->version;
    state.Clear();
    state.ParseFromString(h->data);
    loaded = true;
    return true;
  }

  // Runs one event; what the reducer says is told only once it is recorded.
  bool feed(const Event& e) {
    auto o = step(state, e, rules);
    auto [write, urgent] = saving(o.effects);
    Duration flush = std::min<Duration>(c.bound * 5, Duration(static_cast<int64_t>(45000 / c.scale)));
    if (write && !urgent && ps.clock.now() - saved < flush) {
      state = o.state;
      return true;
    }
    if (write && !save(o.state)) return false;
    tell(o.effects);
    return true;
  }

  // Asks the nodes on a release under way, and a few others to compare with.
  void probe() {
    std::vector<membership::Member> on, off;
    for (auto& m : state_cache.statuses().members(ps.clock.now()))
      if (!m.fact.drained() && state.nodes().count(m.name)) (on_trial(m.name) ? on : off).push_back(m);
    if (on.empty()) return;
    for (size_t i = 0; i < std::min(kOthers, off.size()); ++i) on.push_back(off[turn++ % off.size()]);
    for (auto& m : on) {
      pb::Ask a;
      a.mutable_probe();
      ps.tasks.spawn([this, me = weak, a, m] {
        auto hold = me.lock();
        if (!hold) return;
        auto r = ps.net.ask(m.fact.peer_address(), a, c.bound / 2);
        auto* x = std::get_if<pb::Reply>(&r);
        bool ok = x && x->has_probe() && x->probe().ready() && x->probe().unreached().empty();
        (ok ? probes[m.name].first : probes[m.name].second)++;
      });
    }
  }

  std::shared_ptr<const traffic::Layout> layout_in_force() {
    if (auto& o = orders.look(state_cache.chosen()); o.number) return o.layout;
    auto f = state.in_force().find("layout");
    if (f == state.in_force().end()) return {};
    if (layout && layout->name == f->second) return layout;
    auto rel = releases.find(release_key("layout", f->second));
    if (rel == releases.end()) return {};
    auto g = traffic::read_layout(f->second, rel->second.content);
    auto* l = std::get_if<std::shared_ptr<const traffic::Layout>>(&g);
    return layout = l ? *l : nullptr;
  }

  void moves(TimePoint now, Duration dt) {
    std::map<std::string, MoveSight> vs;
    auto statuses = state_cache.statuses().latest(now);
    for (auto& [src, x] : statuses)
      for (auto& b : x.bad()) {
        auto& k = bad[src][b.service() + "/" + b.version() + "/" + b.route()];
        Counts d{b.good(), b.bad()};
        if (k.first == x.mark().incarnation()) {
          d.good -= std::min(d.good, k.second.good);
          d.bad -= std::min(d.bad, k.second.bad);
        }
        k = {x.mark().incarnation(), {b.good(), b.bad()}};
        if (!d.good && !d.bad) continue;
        auto& t = vs[b.service()].delta[b.version()];
        t.good += d.good;
        t.bad += d.bad;
        recent.push_back({now, b.service(), b.version(), d});
      }
    std::erase_if(recent, [&](auto& m) { return now - m.at > c.bound * 30; });
    watch.look(now, state_cache.chosen(), statuses, state_cache.statuses().workers(now));
    if (!leadership.held()) return;
    for (auto& m : recent) {
      auto add = [&](Counts& t) {
        t.good += m.n.good;
        t.bad += m.n.bad;
      };
      add(vs[m.service].minute[m.version]);
      if (now - m.at <= c.bound * 5) add(vs[m.service].recent[m.version]);
    }
    for (auto& [i, w] : state_cache.statuses().workers(now))
      if (!w.gone) vs[w.beat.service()].workers[w.beat.version()]++;
    for (auto& [k, h] : state_cache.chosen()) {
      if (!k.starts_with("service/")) continue;
      auto name = k.substr(8);
      auto& mine = services[name];
      if (mine.first != h.version) {
        mine.first = h.version;
        mine.second.Clear();
        mine.second.ParseFromString(h.data);
      }
      auto in_force = mine.second.term();
      if (!fence.allows(in_force)) continue;
      auto& v = vs[name];
      v.dt = dt;
      for (auto& [src, x] : statuses)
        for (auto& t : x.trials())
          v.given_up |= t.service() == name && t.number() == mine.second.trial_number() && t.stopped() &&
                        !mine.second.trial().empty();
      watch.tell(now, name, mine.second, v);
      auto o = step(name, mine.second, v, rules);
      auto [write, urgent] = saving(o.effects);
      // The first write under this term is never put off: it ends what was decided under others.
      bool takes_up = in_force < fence.term();
      if (write && !urgent && !takes_up &&
          now - service_saved[name] < (o.state.within_ms() ? c.bound / 2 : c.bound)) {
        mine.second = o.state;
        continue;
      }
      if (write || takes_up) {
        auto held = fence.write(registers, k, mine.first, in_force, o.state);
        if (!held) continue;  // the next pull tells what stands
        mine = {held->version, o.state};
        service_saved[name] = now;
      }
      tell(o.effects);
    }
  }

  void tick() {
    TimePoint now = ps.clock.now();
    if (!state_cache.fresh()) {
      last = TimePoint(0);
      return;
    }
    bool held = leadership.held();
    if (fence.begin()) {
      last = TimePoint(0);
      loaded = false;
      settler.idle();
    }
    Duration dt = held && last != TimePoint(0) ? std::min<Duration>(now - last, c.bound) : Duration(0);
    last = held ? now : TimePoint(0);
    if (!held) {
      state = read_rollout(state_cache.chosen());
      loaded = false;
      settler.idle();
      look(now, Duration(0));
      return moves(now, Duration(0));
    }
    if (!loaded && !reload()) return;
    if (!fence.allows(state.term())) return;
    if (state.term() < fence.term() && !feed(TookDuty{fence.term()})) return;
    if (auto a = state.in_force().find("system"); a != state.in_force().end())
      if (auto f = releases.find(release_key("system", a->second)); f != releases.end())
        rules.system = read_system(f->second.content);
    auto v = look(now, dt);
    for (auto& [k, r] : v.releases) {
      if (auto act = v.acts.find(k); act != v.acts.end() && act->second.forgotten()) continue;
      bool known = std::any_of(state.courses().begin(), state.courses().end(),
                               [&](auto& x) { return x.kind() == r.kind && x.release() == r.name; });
      if (!known && !feed(Recorded{r})) return;
    }
    if (!feed(v)) return;
    probe();
    settler.tick(layout_in_force(), fence);
    moves(now, dt);
    pacer.tick(now, state, releases, fence);
    mark_one(v);
  }

  std::weak_ptr<Impl> weak;
};

Conductor::Conductor(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m,
                     membership::Leadership& d, ConductorConfig c)
    : p_(std::make_shared<Impl>(ps, b, m, d, std::move(c))) {
  p_->weak = p_;
}
Conductor::~Conductor() = default;

void Conductor::tick() { p_->tick(); }

void Conductor::start() {
  p_->ps.tasks.spawn([p = p_] {
    for (;;) {
      p->tick();
      p->ps.clock.sleep(p->c.bound / 8);
    }
  });
}

}  // namespace dunlinwing::rollout
