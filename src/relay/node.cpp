// After each good pull the tables of the data plane are built anew from what
// is chosen and swapped whole. A layout is loaded whole or not at all; the
// generation shown never falls.
#include "relay/node.hpp"

#include <atomic>

#include "base/log.hpp"
#include "membership/deregistered.hpp"
#include "membership/discovery.hpp"
#include "membership/replica_repair.hpp"
#include "traffic/jury.hpp"
#include "traffic/order.hpp"

namespace dunlinwing::relay {
namespace {
constexpr base::Log lg("relay");
}

struct Node::Impl {
  base::Ports& ps;
  NodeConfig c;
  bool holder;
  consensus::ReplicaSetView set;
  std::unique_ptr<consensus::Acceptor> acceptor;
  consensus::RegisterClient registers;
  membership::StateCache state_cache;
  membership::Leadership leadership;
  membership::Discovery discovery;
  std::unique_ptr<membership::ReplicaRepair> replica_repair;  // null without a disk
  rollout::Conductor conductor;
  traffic::Traffic traffic;
  std::atomic<bool> leaving{false}, drained{false};
  std::map<std::string, std::pair<pb::Beat, TimePoint>> beats;
  std::map<std::string, std::shared_ptr<const traffic::Layout>> layouts;
  std::map<std::string, std::string> running;
  std::string load_defect, soft_defect;
  std::optional<software::Want> want_soft;
  software::Artifacts* artifacts = nullptr;
  traffic::Jury jury;
  traffic::Orders orders;
  TimePoint swept{0};
  std::atomic<uint64_t> generation{0};
  uint64_t beats_taken = 0, beats_missed = 0;
  std::vector<std::string> unreached;  // at the last look, not more often than each half bound
  TimePoint reached_at{0};

  Impl(base::Ports& p, NodeConfig cc, base::Disk* disk)
      : ps(p),
        c(with_face(std::move(cc))),
        holder(disk != nullptr),
        set(c.holders),
        acceptor(disk ? std::make_unique<consensus::Acceptor>(ps, *disk, c.name, set, c.bound / 4) : nullptr),
        registers(ps, c.name, set, c.bound / 4,
                  acceptor ? consensus::Local([this](const pb::Ask& a) { return acceptor->answer(a); })
                           : consensus::Local()),
        state_cache(
            ps, {c.name, c.bound}, registers, acceptor.get(), [this](pb::NodeStatus& n) { own(n); },
            [this] { seen(); }),
        leadership(ps, registers, state_cache, "rollout", c.name, c.zone, c.bound),
        discovery(ps, {c.name, c.bound, c.first_start && c.holders.empty(), c.seeds}, registers, state_cache,
                  acceptor.get()),
        replica_repair(acceptor ? std::make_unique<membership::ReplicaRepair>(
                                      ps, registers, state_cache, *acceptor, c.name, c.tolerate, c.bound)
                                : nullptr),
        conductor(ps, registers, state_cache, leadership, {c.name, c.bound, c.scale}),
        traffic(ps, *c.face, c.name, c.zone, [this] { return state_cache.fresh(); }) {
    traffic.bound_cache(c.cache_bytes);
    traffic.shots().bound_places(c.sockets > 0 ? c.sockets / 8 : 0);
  }

  static NodeConfig with_face(NodeConfig c) {
    if (!c.face) c.face = traffic::own_face();
    return c;
  }

  void own(pb::NodeStatus& n) {
    TimePoint now = ps.clock.now();
    auto* f = n.mutable_node();
    f->set_zone(c.zone);
    f->set_peer_address(c.peer_address);
    f->set_http_address(c.http_address);
    f->set_holder(holder && set.has(c.name));
    f->set_disk(holder);
    f->set_shield(c.shield);
    f->set_ready(ready());
    f->set_generation(generation);
    f->set_load_defect(load_defect.empty() ? soft_defect : load_defect);
    f->set_software(kSoftware);
    f->set_wall_ms(ps.clock.wall_ms());
    f->set_leaving(leaving);
    f->set_drained(drained);
    for (auto& [k, r] : running) (*f->mutable_running())[k] = r;
    for (auto i = beats.begin(); i != beats.end();) {
      auto& [b, at] = i->second;
      // Long kept past its end, so that no late echo brings the worker back.
      if (now - at > Duration(b.period_ms()) * 20 + c.bound * 10) {
        i = beats.erase(i);
        continue;
      }
      auto* x = n.add_beats();
      *x = b;
      x->set_age_ms(static_cast<uint64_t>((now - at).count()));
      ++i;
    }
    n.set_beats_taken(beats_taken);
    n.set_beats_missed(beats_missed);
    traffic.say(n);
  }

  std::shared_ptr<const traffic::Layout> layout(const std::string& name, std::string& why) {
    if (auto f = layouts.find(name); f != layouts.end()) return f->second;
    auto r = state_cache.chosen().find(rollout::release_key("layout", name));
    if (r == state_cache.chosen().end()) {
      why = "the release is not known here";
      return {};
    }
    auto g = rollout::read_release("layout", name, r->second.data);
    if (auto* d = std::get_if<std::vector<base::ValidationError>>(&g)) {
      why = d->empty() ? "unreadable" : d->front().at + " " + d->front().what;
      return {};
    }
    auto l = traffic::read_layout(name, std::get<rollout::Release>(g).content);
    auto* x = std::get_if<std::shared_ptr<const traffic::Layout>>(&l);
    if (!x) {
      why = "unreadable";
      return {};
    }
    return layouts[name] = *x;
  }

  void load(const pb::NodeAssign& a, traffic::Table& t) {
    auto old = traffic.table();
    t.layout = old->layout;
    t.generation = old->generation;
    t.system = old->system;
    if (a.generation() < generation) return;
    std::string why;
    auto want = [&](const char* kind) {
      auto f = a.releases().find(kind);
      return f == a.releases().end() ? std::string() : f->second;
    };
    std::string lay = want("layout"), sys = want("system");
    auto l = lay.empty() ? nullptr : layout(lay, why);
    rollout::System s = c.system;
    bool ok = lay.empty() || l;
    if (!ok) load_defect = "layout/" + lay + ": " + why;
    auto now_sys = running.find("system");
    if (ok && now_sys != running.end() && now_sys->second == sys) {
      s = old->system;  // releases do not change, so it need not be read again
    } else if (ok && !sys.empty()) {
      auto r = state_cache.chosen().find(rollout::release_key("system", sys));
      ok = r != state_cache.chosen().end();
      if (ok) {
        auto g = rollout::read_release("system", sys, r->second.data);
        if (auto* x = std::get_if<rollout::Release>(&g))
          s = rollout::read_system(x->content, c.system);
        else
          ok = false;
      }
      if (!ok) load_defect = "system/" + sys + ": not known or unreadable here";
    }
    if (!ok) return;  // what runs goes on running
    load_defect.clear();
    if (a.generation() > generation)
      lg.info("{}: generation {} puts layout {} in force here.", c.name, a.generation(),
              lay.empty() ? "(none)" : lay);
    t.layout = l;
    t.system = s;
    t.generation = a.generation();
    generation = a.generation();
    running.clear();
    for (auto& [k, r] : a.releases())
      if (k != "software") running[k] = r;
    look_at_software(want("software"));
    base::Level lev;
    if (!sys.empty() && base::parse_level(s.log_level, lev)) base::set_level(lev);
  }

  // Software runs here when its version is this program's.
  void look_at_software(const std::string& name) {
    auto old = want_soft ? want_soft->name : std::string();
    want_soft.reset();
    if (name.empty()) return soft_defect.clear();
    for (auto& [sha, w] : software::recorded(state_cache.chosen()))
      if (w.name == name) want_soft = w;
    if (want_soft && want_soft->version == kSoftware) {
      running["software"] = name;
      want_soft.reset();
    }
    if (!want_soft || want_soft->name != old) soft_defect.clear();
  }

  bool stated_drained() const {
    for (auto& k : {drain_key("node", c.name), drain_key("zone", c.zone)}) {
      auto f = state_cache.chosen().find(k);
      pb::Drain d;
      if (f != state_cache.chosen().end() && d.ParseFromString(f->second.data) && d.drained()) return true;
    }
    return false;
  }

  void seen() {
    TimePoint now = ps.clock.now();
    bool was = drained.exchange(stated_drained());
    if (was != drained)
      lg.info("{}: {}.", c.name, drained ? "drained; callers are sent elsewhere" : "no longer drained");
    leadership.rest(drained);
    auto t = std::make_shared<traffic::Table>();
    auto roll = rollout::read_rollout(state_cache.chosen());
    if (auto f = roll.nodes().find(c.name); f != roll.nodes().end())
      load(f->second, *t);
    else
      load(pb::NodeAssign(), *t);
    for (auto& [n, a] : roll.nodes()) {
      t->assigned[n] = a.generation();
      if (auto f = a.releases().find("layout"); f != a.releases().end()) {
        std::string why;
        if (auto l = layout(f->second, why)) t->layouts[f->second] = l;
      }
    }
    layouts = t->layouts;
    if (auto& o = orders.look(state_cache.chosen()); o.number) {
      if (o.number > traffic.table()->order) lg.info("{}: layout {} is in force here.", c.name, o.number);
      t->order = t->generation = o.number;
      t->layout = o.layout;
      load_defect = o.layout ? "" : traffic::order_name(o.number) + ": unreadable";
    }
    if (t->layout) t->layouts[t->layout->name] = t->layout;
    std::vector<std::string> alive;
    auto workers = state_cache.statuses().workers(now);
    std::map<std::string, Duration> youngest;  // beat from each address: its earlier owners have ended
    for (auto& [i, w] : workers) {
      auto [f, first] = youngest.emplace(w.beat.address(), w.age);
      if (!first) f->second = std::min(f->second, w.age);
    }
    for (auto& [i, w] : workers) {
      auto& b = w.beat;
      if (w.gone || w.age > youngest[b.address()]) continue;
      alive.push_back(i);
      t->workers[b.service()].push_back({i, b.service(), b.version(), b.zone(), b.address(),
                                         static_cast<int>(b.capacity()),
                                         b.cold_ms() ? now - w.age + Duration(b.cold_ms()) : TimePoint(0)});
    }
    if (now - swept >= c.bound / 2) {
      swept = now;
      traffic.sweep();
    }
    for (auto& [k, h] : state_cache.chosen()) {
      if (k.starts_with("service/")) t->states[k.substr(8)].ParseFromString(h.data);
      if (k.starts_with("share/")) {
        pb::Shares sh;
        sh.ParseFromString(h.data);
        if (auto f = sh.milli().find(c.name); f != sh.milli().end())
          t->shares[k.substr(6)] = f->second / 1000.0;
      }
      if (k.starts_with("purge/")) t->purges[k.substr(6)].ParseFromString(h.data);
    }
    jury.hear(t->states, state_cache.statuses().latest(now), static_cast<uint64_t>(t->system.bad_answers));
    t->given_up = jury.all_stopped();
    traffic::settle(*t);
    for (auto& m : state_cache.statuses().members(now))
      if (m.fact.shield() && m.fact.ready()) t->shields.push_back({m.name, m.fact.peer_address()});
    t->nodes = std::max<int>(roll.nodes_size(), 1);
    for (auto& [n, a] : roll.nodes()) t->rank += n < c.name;
    traffic.shots().workers_known(alive);
    traffic.swap(t);
  }

  bool ready() const {
    auto t = traffic.table();
    return !leaving && !drained && state_cache.fresh() && t->layout &&
           !traffic::overtaken(*t, c.name, t->generation);
  }
};

Node::Node(base::Ports& ps, NodeConfig c, base::Disk* disk) : p_(new Impl(ps, std::move(c), disk)) {}
Node::~Node() = default;

void Node::start() {
  std::optional<pb::First> first;
  if (p_->c.first_start) first.emplace();
  if (first && p_->c.holders.empty()) first->mutable_seeds()->Assign(p_->c.seeds.begin(), p_->c.seeds.end());
  if (p_->acceptor) p_->acceptor->start(first);
  p_->state_cache.start();
  p_->discovery.start();
  if (p_->holder) {
    p_->leadership.start();
    p_->conductor.start();
    p_->replica_repair->start();
  }
}

std::string drain_key(const std::string& what, const std::string& name) {
  return "drain/" + what + "/" + name;
}

pb::Reply Node::answer(const pb::Ask& a) {
  pb::Reply out;
  switch (a.body_case()) {
    case pb::Ask::kPull:
      return p_->state_cache.answer(a);
    case pb::Ask::kProbe:
      if (p_->ps.clock.now() - p_->reached_at >= p_->c.bound / 2) {
        p_->reached_at = p_->ps.clock.now();
        p_->unreached = p_->traffic.unreached(p_->c.bound / 4);
      }
      for (auto& s : p_->unreached) out.mutable_probe()->add_unreached(s);
      out.mutable_probe()->set_ready(ready());
      out.mutable_probe()->set_generation(p_->generation);
      return out;
    case pb::Ask::kChunk:
    case pb::Ask::kFetch:
      if (p_->artifacts) return p_->artifacts->answer(a);
      out.set_defect("this node keeps no artifacts");
      return out;
    case pb::Ask::kPrepare:
    case pb::Ask::kAccept:
    case pb::Ask::kPeek:
    case pb::Ask::kDump:
    case pb::Ask::kAdopt:
      if (p_->acceptor) return p_->acceptor->answer(a);
      if (a.has_adopt()) {
        p_->set.adopt(a.adopt().set());
        out.mutable_vote()->set_yes(true);
        return out;
      }
      out.set_defect("this node holds no state");
      return out;
    default:
      out.set_defect("not understood");
      return out;
  }
}

base::Response Node::serve(base::Request& q) { return p_->traffic.serve(q); }
pb::CarryReply Node::carry(const pb::Carry& c) { return p_->traffic.carry(c); }

bool Node::beat(const pb::Beat& b) {
  if (!p_->state_cache.fresh() || p_->leaving) return ++p_->beats_missed, false;
  auto& x = p_->beats[b.instance()];
  // What the fleet has heard of this worker before need not be waited for again.
  bool same = x.first.number() && x.first.address() == b.address() && x.first.service() == b.service() &&
              x.first.version() == b.version() && x.first.leaving() == b.leaving();
  if (b.number() >= x.first.number()) {
    bool left = x.first.leaving();
    x = {b, p_->ps.clock.now()};
    if (left) x.first.set_leaving(true);
  }
  bool known = (!b.leaving() || membership::deregister(p_->registers, b.instance())) &&
               (same || p_->state_cache.settle(p_->c.bound / 2));
  ++(known ? p_->beats_taken : p_->beats_missed);
  return known;
}

bool Node::gone(const std::string& instance) {
  if (!membership::deregister(p_->registers, instance)) return false;
  p_->state_cache.hurry();
  return true;
}

bool Node::ready() const { return p_->ready(); }

void Node::leave() {
  p_->leaving = true;
  p_->leadership.transfer();
  p_->state_cache.settle(p_->c.bound / 2);  // tells the others that this node leaves
}

bool Node::hands_over_replica() const {
  return p_->replica_repair && p_->set.has(p_->c.name) && p_->replica_repair->successor_at_hand();
}

const NodeConfig& Node::config() const { return p_->c; }
membership::StateCache& Node::state_cache() { return p_->state_cache; }
consensus::RegisterClient& Node::registers() { return p_->registers; }
membership::Leadership& Node::leadership() { return p_->leadership; }
consensus::Acceptor* Node::acceptor() { return p_->acceptor.get(); }
void Node::seeds(std::vector<std::string> addresses) { p_->discovery.seeds(std::move(addresses)); }
traffic::Traffic& Node::traffic() { return p_->traffic; }
uint64_t Node::generation() const { return p_->generation; }
std::optional<software::Want> Node::wanted_software() const { return p_->want_soft; }
void Node::software_defect(const std::string& why) {
  if (p_->soft_defect != why) lg.warn("{}: {}.", p_->c.name, why);
  p_->soft_defect = why;
}
void Node::artifacts(software::Artifacts* a) { p_->artifacts = a; }
software::Artifacts* Node::artifacts() { return p_->artifacts; }
std::string Node::release() const {
  auto l = p_->traffic.table()->layout;
  return l ? l->name : std::string();
}

}  // namespace dunlinwing::relay
