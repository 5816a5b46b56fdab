// The loop runs on every node that stands for the leadership; the understudy keeps
// watching too, so that its counters are warm when the read_lease comes to it.
// Writes are compare-and-set on the version last read and go through the fence, so a
// leader that was frozen past its lease can change nothing (rollout/fence.hpp). Who takes
// up the leadership writes its term into each service's state before it acts on it.
#include "rollout/rollout_controller.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "config/numbered_configuration.hpp"
#include "limits/rate_allocator.hpp"
#include "membership/leadership_fence.hpp"
#include "rollout/version_initializer.hpp"
#include "rollout/version_rollout_observer.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log logger("rollout");

struct Count {
  uint64_t incarnation = 0, requests = 0, defects = 0, beats = 0;
  double usual = 0;  // beats a second while it was on no release under way
  uint64_t looks = 0;
};
constexpr double kLatest = 0.002;  // least weight of the latest look at what is usual: some two minutes count
constexpr uint64_t kLearnt = 240;  // looks, a minute of them, before a mean is taken for usual
constexpr size_t kOthers = 3;      // nodes not on a release that are probed beside those on it

// Whether the effects ask for a write, and whether it may not wait.
std::pair<bool, bool> saving(const std::vector<Effect>& effects) {
  bool write = false, urgent = false;
  for (auto& x : effects)
    if (auto* s = as<PersistEffect>(x)) {
      write = true;
      urgent |= s->urgent;
    }
  return {write, urgent};
}

void tell(const std::vector<Effect>& effects) {
  for (auto& x : effects)
    if (auto* t = as<LogEffect>(x)) logger.info("{}", t->message);
}
}  // namespace

pb::RolloutState read_rollout_state(const membership::ChosenValues& chosen) {
  pb::RolloutState r;
  if (auto f = chosen.find(kRolloutKey); f != chosen.end()) r.ParseFromString(f->second.data);
  return r;
}

std::optional<int64_t> median_wall_clock(const std::vector<membership::Member>& members) {
  std::vector<int64_t> w;
  for (auto& m : members)
    if (m.info.replica() && m.info.wall_ms()) w.push_back(m.info.wall_ms() + m.age.count());
  if (w.empty()) return {};
  std::sort(w.begin(), w.end());
  return w[(w.size() - 1) / 2];
}

struct RolloutController::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  membership::Leadership& leadership;
  RolloutControllerConfig config;
  RolloutRules rules;
  pb::RolloutState state;
  uint64_t version = 0;
  membership::LeadershipFence fence;
  bool loaded = false;
  size_t turn = 0;
  TimePoint last{0}, saved{0}, looked{0};
  std::map<std::string, Count> counts;
  std::map<std::string, std::pair<uint64_t, uint64_t>> probes;
  std::map<std::string, config::Release> releases;
  std::map<std::string, TimePoint> marks_seen;  // by entry of Rollout.forgotten: since when its mark is known
  std::map<std::string, std::map<std::string, std::pair<uint64_t, VersionTotals>>>
      bad;  // source -> service/version
  struct Moment {
    TimePoint at;
    std::string service, version;
    VersionTotals n;
  };
  std::vector<Moment> recent;
  std::map<std::string, std::pair<uint64_t, pb::ServiceState>> services;
  std::map<std::string, TimePoint> service_saved;
  std::shared_ptr<const config::RoutingConfiguration> layout;
  config::NumberedConfigurationReader orders;
  limits::RateAllocator pacer;
  VersionInitializer settler;
  VersionRolloutObserver watch;

  Impl(base::Ports& ports, consensus::RegisterClient& b, membership::StateCache& m, membership::Leadership& d,
       RolloutControllerConfig cc)
      : ports(ports),
        registers(b),
        state_cache(m),
        leadership(d),
        config(std::move(cc)),
        fence(d),
        pacer(ports, b, m, config.bound),
        settler(ports, b, m, config.bound),
        watch(config.bound) {
    rules.scale = config.scale;
    rules.bound = config.bound;
  }

  // Whether the node runs a release that is still in its phases.
  bool on_trial(const std::string& node) const {
    auto n = state.nodes().find(node);
    if (n == state.nodes().end()) return false;
    for (auto& progress : state.releases()) {
      if (progress.phase() == pb::WAITING || is_finished(progress.phase())) continue;
      auto f = n->second.releases().find(progress.kind());
      if (f != n->second.releases().end() && f->second == progress.release()) return true;
    }
    return false;
  }

  FleetObservation look(TimePoint now, Duration dt) {
    FleetObservation observation;
    observation.elapsed = dt;
    auto wall = median_wall_clock(state_cache.statuses().members(now));
    observation.in_quiet_hours = wall && rules.system.quiet_hours.contains(*wall);
    auto statuses = state_cache.statuses().latest(now);
    auto read_lease = leadership.known_lease();
    std::map<std::string, NodeObservation> by;
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
      s.keeps_state = x.node().replica() || n == read_lease.leader() || n == read_lease.standby();
      for (auto& [k, rel] : x.node().running()) s.running[k] = rel;
      s.load_error = x.node().load_error();
      uint64_t rq = 0, df = 0;
      for (auto& t : x.release_counts()) {
        rq += t.requests();
        df += t.failures();
      }
      auto& k = counts[n];
      if (k.incarnation == x.version().incarnation()) {
        s.requests = rq - std::min(rq, k.requests);
        s.failures = df - std::min(df, k.defects);
        s.heartbeats = x.heartbeats_accepted() - std::min(x.heartbeats_accepted(), k.beats);
      }
      double sec = looked == TimePoint(0)
                       ? 0
                       : static_cast<double>(std::min<Duration>(now - looked, config.bound).count()) / 1000;
      bool tried = on_trial(n), learns = !tried && sec > 0 && k.incarnation == x.version().incarnation();
      if (learns)
        k.usual += std::max(kLatest, 1.0 / static_cast<double>(++k.looks)) *
                   (static_cast<double>(s.heartbeats) / sec - k.usual);
      if ((tried || learns) && k.looks >= kLearnt)
        s.heartbeats_usual = static_cast<uint64_t>(k.usual * sec * 1000);
      k = {x.version().incarnation(), rq, df, x.heartbeats_accepted(), k.usual, k.looks};
      if (auto p = probes.find(n); p != probes.end()) {
        std::tie(s.checks_passed, s.checks_failed) = p->second;
        probes.erase(p);
      }
    }
    looked = now;
    for (auto& [n, s] : by) observation.nodes.push_back(s);
    for (auto& [k, h] : state_cache.chosen()) {
      if (k.starts_with("release/")) {
        if (auto f = releases.find(k); f != releases.end()) continue;
        auto a = k.find('/', 8);
        auto g = config::parse_release(k.substr(8, a - 8), k.substr(a + 1), h.data);
        if (auto* r = std::get_if<config::Release>(&g)) releases[k] = *r;
      } else if (k.starts_with("act/")) {
        observation.operator_actions["release/" + k.substr(4)].ParseFromString(h.data);
      }
    }
    observation.releases = releases;
    see_marks(now, observation);
    return observation;
  }

  // A mark that has been known here for a bound was acknowledged before any fresh relay's latest
  // pull began, so a successor knows it too, whichever state of the rollout it reads.
  void see_marks(TimePoint now, FleetObservation& observation) {
    std::map<std::string, TimePoint> seen;
    for (auto& name : state.forgotten()) {
      auto act = observation.operator_actions.find("release/" + name);
      if (act == observation.operator_actions.end() || !act->second.forgotten()) continue;
      auto before = marks_seen.find(name);
      auto since = seen[name] = before == marks_seen.end() ? now : before->second;
      if (now - since > config.bound) observation.forgotten_everywhere.insert(name);
    }
    marks_seen = std::move(seen);
  }

  // Marks one course that is no longer kept; the next looks go on. Made twice it does no harm.
  void mark_one(const FleetObservation& observation) {
    for (auto& name : state.forgotten()) {
      auto act = observation.operator_actions.find("release/" + name);
      if (act != observation.operator_actions.end() && act->second.forgotten()) continue;
      auto key = "act/" + name;
      auto read = registers.read(key);
      auto* there = std::get_if<consensus::VersionedValue>(&read);
      if (!there || !leadership.held()) return;
      pb::OperatorAction marked;
      marked.ParseFromString(there->data);
      if (marked.forgotten()) return;  // the next pull tells of it
      marked.set_forgotten(true);
      // A leader of an older program does not know the mark; by this it starts nothing anew either.
      if (marked.withdrawn().empty()) marked.set_withdrawn("its course has ended and is no longer kept");
      registers.write(key, there->version, marked.SerializeAsString());
      return;
    }
  }

  bool save(pb::RolloutState next) {
    if (auto h = fence.write(registers, kRolloutKey, version, state.term(), next)) {
      version = h->version;
      state = next;
      saved = ports.clock.now();
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
  bool feed(const Event& event) {
    auto result = step(state, event, rules);
    auto [write, urgent] = saving(result.effects);
    Duration flush =
        std::min<Duration>(config.bound * 5, Duration(static_cast<int64_t>(45000 / config.scale)));
    if (write && !urgent && ports.clock.now() - saved < flush) {
      state = result.state;
      return true;
    }
    if (write && !save(result.state)) return false;
    tell(result.effects);
    return true;
  }

  // Asks the nodes on a release under way, and a few others to compare with.
  void probe() {
    std::vector<membership::Member> on, off;
    for (auto& m : state_cache.statuses().members(ports.clock.now()))
      if (!m.info.drained() && state.nodes().count(m.name)) (on_trial(m.name) ? on : off).push_back(m);
    if (on.empty()) return;
    for (size_t i = 0; i < std::min(kOthers, off.size()); ++i) on.push_back(off[turn++ % off.size()]);
    for (auto& m : on) {
      pb::PeerRequest request;
      request.mutable_health_check();
      ports.tasks.spawn([this, me = weak, request, m] {
        auto hold = me.lock();
        if (!hold) return;
        auto r = ports.peers.call(m.info.peer_address(), request, config.bound / 2);
        auto* response = std::get_if<pb::PeerResponse>(&r);
        bool ok = response && response->has_health_check() && response->health_check().ready() &&
                  response->health_check().unreachable().empty();
        (ok ? probes[m.name].first : probes[m.name].second)++;
      });
    }
  }

  std::shared_ptr<const config::RoutingConfiguration> layout_in_force() {
    if (auto& o = orders.read(state_cache.chosen()); o.number) return o.configuration;
    auto f = state.in_force().find("layout");
    if (f == state.in_force().end()) return {};
    if (layout && layout->name == f->second) return layout;
    auto rel = releases.find(config::release_key("layout", f->second));
    if (rel == releases.end()) return {};
    auto g = config::parse_routing_configuration(f->second, rel->second.content);
    auto* l = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&g);
    return layout = l ? *l : nullptr;
  }

  void moves(TimePoint now, Duration dt) {
    std::map<std::string, VersionRolloutObservation> vs;
    auto statuses = state_cache.statuses().latest(now);
    for (auto& [src, x] : statuses)
      for (auto& b : x.version_counts()) {
        auto& k = bad[src][b.service() + "/" + b.version() + "/" + b.route()];
        VersionTotals d{b.good(), b.bad()};
        if (k.first == x.version().incarnation()) {
          d.good -= std::min(d.good, k.second.good);
          d.bad -= std::min(d.bad, k.second.bad);
        }
        k = {x.version().incarnation(), {b.good(), b.bad()}};
        if (!d.good && !d.bad) continue;
        auto& t = vs[b.service()].delta[b.version()];
        t.good += d.good;
        t.bad += d.bad;
        recent.push_back({now, b.service(), b.version(), d});
      }
    std::erase_if(recent, [&](auto& m) { return now - m.at > config.bound * 30; });
    watch.update(now, state_cache.chosen(), statuses, state_cache.statuses().backend_instances(now));
    if (!leadership.held()) return;
    for (auto& m : recent) {
      auto add = [&](VersionTotals& t) {
        t.good += m.n.good;
        t.bad += m.n.bad;
      };
      add(vs[m.service].minute[m.version]);
      if (now - m.at <= config.bound * 5) add(vs[m.service].recent[m.version]);
    }
    for (auto& [i, w] : state_cache.statuses().backend_instances(now))
      if (!w.gone) vs[w.heartbeat.service()].instances[w.heartbeat.version()]++;
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
      auto& observation = vs[name];
      observation.elapsed = dt;
      for (auto& [src, x] : statuses)
        for (auto& t : x.canary_counts())
          observation.aborted |= t.service() == name && t.number() == mine.second.canary_number() &&
                                 t.aborted() && !mine.second.canary().empty();
      watch.fill_observation(now, name, mine.second, observation);
      auto result = step(name, mine.second, observation, rules);
      auto [write, urgent] = saving(result.effects);
      // The first write under this term is never put off: it ends what was decided under others.
      bool takes_up = in_force < fence.term();
      if (write && !urgent && !takes_up &&
          now - service_saved[name] < (result.state.deadline_ms() ? config.bound / 2 : config.bound)) {
        mine.second = result.state;
        continue;
      }
      if (write || takes_up) {
        auto held = fence.write(registers, k, mine.first, in_force, result.state);
        if (!held) continue;  // the next pull tells what stands
        mine = {held->version, result.state};
        service_saved[name] = now;
      }
      tell(result.effects);
    }
  }

  void tick() {
    TimePoint now = ports.clock.now();
    if (!state_cache.has_read_lease()) {
      last = TimePoint(0);
      return;
    }
    bool held = leadership.held();
    if (fence.begin()) {
      last = TimePoint(0);
      loaded = false;
      settler.reset();
    }
    Duration dt = held && last != TimePoint(0) ? std::min<Duration>(now - last, config.bound) : Duration(0);
    last = held ? now : TimePoint(0);
    if (!held) {
      state = read_rollout_state(state_cache.chosen());
      loaded = false;
      settler.reset();
      look(now, Duration(0));
      return moves(now, Duration(0));
    }
    if (!loaded && !reload()) return;
    if (!fence.allows(state.term())) return;
    if (state.term() < fence.term() && !feed(LeadershipAcquired{fence.term()})) return;
    if (auto a = state.in_force().find("system"); a != state.in_force().end())
      if (auto f = releases.find(config::release_key("system", a->second)); f != releases.end())
        rules.system = config::parse_system_options(f->second.content);
    auto observation = look(now, dt);
    for (auto& [k, r] : observation.releases) {
      if (auto act = observation.operator_actions.find(k);
          act != observation.operator_actions.end() && act->second.forgotten())
        continue;
      bool known = std::any_of(state.releases().begin(), state.releases().end(),
                               [&](auto& x) { return x.kind() == r.kind && x.release() == r.name; });
      if (!known && !feed(ReleaseRecorded{r})) return;
    }
    if (!feed(observation)) return;
    probe();
    settler.tick(layout_in_force(), fence);
    moves(now, dt);
    pacer.tick(now, state, releases, fence);
    mark_one(observation);
  }

  std::weak_ptr<Impl> weak;
};

RolloutController::RolloutController(base::Ports& ports, consensus::RegisterClient& registers,
                                     membership::StateCache& state_cache, membership::Leadership& leadership,
                                     RolloutControllerConfig config)
    : impl_(std::make_shared<Impl>(ports, registers, state_cache, leadership, std::move(config))) {
  impl_->weak = impl_;
}
RolloutController::~RolloutController() = default;

void RolloutController::tick() { impl_->tick(); }

void RolloutController::start() {
  impl_->ports.tasks.spawn([p = impl_] {
    for (;;) {
      p->tick();
      p->ports.clock.sleep(p->config.bound / 8);
    }
  });
}

}  // namespace dunlinwing::rollout
