// Lock order: the tally's lock, the shields', the cache's, a fill's, the waitlists',
// the places', the budgets'. In fact none is held while another is taken, nor
// while a fiber parks.
#include "traffic/serve.hpp"

#include <mutex>

namespace dunlinwing::traffic {

struct Traffic::Impl {
  base::Ports& ps;
  const Face& face;
  std::string me, zone;
  std::function<bool()> fresh;
  std::shared_ptr<const Table> table = std::make_shared<Table>();
  UpstreamClient shots;
  ServeCounts n;
  Ways ways;
  Fills fills;
  std::atomic<bool> draining{false};
  mutable std::mutex m;
  std::map<std::string, std::pair<uint64_t, uint64_t>> tallies;

  Impl(base::Ports& p, const Face& fa, std::string a, std::string z, std::function<bool()> f)
      : ps(p),
        face(fa),
        me(std::move(a)),
        zone(z),
        fresh(f),
        shots(p, fa, me, z, f, [this] { return now_table(); }),
        ways{p, fa},
        fills(
            p, fa, me, f, [this] { return now_table(); }, shots, n) {}

  TablePtr now_table() const { return std::atomic_load(&table); }

  void tally(const std::string& release, bool defect) {
    ++n.requests;
    if (defect) ++n.defects;
    std::lock_guard l(m);
    auto& t = tallies[release];
    ++t.first;
    t.second += defect;
  }

  // One of the route's services, by weight.
  const Service* split(const Layout& l, const Route& r) const {
    double all = 0;
    for (auto& [k, w] : r.split) all += w;
    if (all <= 0) return nullptr;
    double at = r.split.size() > 1 ? all * static_cast<double>(ps.random.below(1 << 20)) / (1 << 20) : 0;
    for (auto& [k, w] : r.split) {
      if (w > 0 && at < w) return &l.services.at(k);
      at -= w;
    }
    for (auto& [k, w] : r.split)
      if (w > 0) return &l.services.at(k);
    return nullptr;
  }
};

Traffic::Traffic(base::Ports& ps, const Face& face, std::string me, std::string zone,
                 std::function<bool()> fresh)
    : p_(new Impl(ps, face, std::move(me), std::move(zone), std::move(fresh))) {}
Traffic::~Traffic() = default;

base::Response Traffic::serve(base::Request& q) {
  auto& p = *p_;
  auto arrived = p.ps.clock.now();
  auto asked = p.face.read(q, p.ps.random);
  q.id = asked.id;
  auto host = base::header(q.headers, "Host");
  TablePtr t;
  Way w;
  uint64_t under = 0;  // the generation that decided the answer
  for (bool again = false, doubt = false;;) {
    t = p.now_table();
    if (p.draining || !p.fresh() || !t->layout || overtaken(*t, p.me, t->generation)) {
      const char* why = p.draining ? "this node is draining" : "this node is not ready";
      w = doubt ? p.ways.unknown(why) : p.ways.away(503, why);
      under = 0;
    } else {
      under = t->generation;
      w = [&]() -> Way {
        auto& lay = *t->layout;
        if (static_cast<int64_t>(q.body.size()) > lay.body_bytes)
          return p.ways.away(413, "the body is longer than the layout allows");
        bool other = false;
        auto* route = lay.match(q.method, host, q.target, other);
        if (!route)
          return other ? p.ways.away(405, "no route takes this method")
                       : p.ways.away(404, "no route leads there");
        auto* s = p.split(lay, *route);
        if (!s) return p.ways.away(503, "no service of this route has any weight");
        Duration most = route->timeout > Duration(0) ? route->timeout : s->deadline;
        if (asked.left) most = std::min(most, *asked.left);
        Work x{t,       t->layout,      s,    route,         q,    route->host.empty() ? "" : route->host,
               arrived, arrived + most, p.me, t->generation, again};
        bool keep = Fills::lifetime(x) > Duration(0) &&
                    (route->kind == Kind::by_method || route->kind == Kind::cacheable);
        if (keep && cache::may_ask_cache(q, route->keep > Duration(0))) return p.fills.cached(x);
        return p.ways.of(p.shots.run(x));
      }();
      again |= w.left;
      doubt |= w.doubt;
      if (w.overtaken) continue;  // a newer layout came in force while it waited
      // What was turned away after an earlier way may have had it run is not promised.
      if (doubt && w.outcome == Outcome::not_run) w = p.ways.unknown("an earlier way may have had it run");
    }
    break;
  }
  if (w.outcome == Outcome::not_run) ++p.n.turned_away;
  if (w.outcome == Outcome::unknown) ++p.n.unknown;
  int st = w.receipt.status;
  if (under) p.tally(t->layout->name, st >= 500 || st == 404 || st == 405 || st == 413);
  p.face.send(w.receipt, q.id, under);
  return std::move(w.receipt);
}

pb::CarryReply Traffic::carry(const pb::Carry& c) {
  auto& p = *p_;
  pb::CarryReply out;
  auto t = p.now_table();
  auto no = [&](const char* why) {
    out.set_not_run(true);
    out.set_why(why);
    return out;
  };
  if (p.draining || !p.fresh()) return no("this node is not ready");
  auto l = t->layouts.find(c.release());
  if (l == t->layouts.end()) return no("this node lacks the layout");
  auto s = l->second->services.find(c.service());
  if (s == l->second->services.end()) return no("the layout has no such service");
  if (purge_least(purge_number(*t, c.service()), c.purge_seen()) != c.purge_seen())
    return no("this node lacks a purge");
  Work w{t, l->second, &s->second, nullptr, {}, {}, p.ps.clock.now(), {}, c.relay(), c.generation()};
  w.deadline = w.arrived + Duration(c.left_ms());
  w.q.method = "GET";
  w.q.target = c.target();
  for (auto& h : c.headers()) w.q.headers.emplace_back(h.name(), h.value());
  w.q.id = p.face.read(w.q, p.ps.random).id;
  bool other = false;
  w.route = l->second->match("GET", base::header(w.q.headers, "Host"), c.target(), other);
  if (!w.route) return no("the layout has no such route");
  w.host = w.route->host;
  auto way = p.fills.cached(w);
  auto& r = way.receipt;
  auto i = p.fills.kept(w);
  out.set_status(static_cast<uint32_t>(r.status));
  out.set_not_run(way.outcome == Outcome::not_run && !way.left);
  out.set_turned_away(out.not_run() && !way.overtaken);
  out.set_back_ms(static_cast<uint64_t>(way.back.count()));
  out.set_unknown(way.outcome == Outcome::unknown || way.left);
  for (auto& [k, v] : r.headers) {
    auto* h = out.add_headers();
    h->set_name(k);
    h->set_value(v);
  }
  out.set_body(r.body);
  if (p.fills.usable(i, w, p.ps.clock.now()) && i->receipt.body == r.body) {
    out.set_cacheable(true);
    out.set_age_ms(static_cast<uint64_t>(std::max<int64_t>(0, (p.ps.clock.now() - i->born).count())));
    out.set_life_ms(static_cast<uint64_t>(i->life.count()));
    out.set_fill_purge(i->purge);
    out.set_version(i->version);
  } else {
    out.set_fill_purge(purge_number(*t, c.service()));
  }
  return out;
}

std::vector<std::string> Traffic::unreached(Duration limit) {
  std::vector<std::string> out;
  auto t = p_->now_table();
  if (!t->layout) return out;
  for (auto& [name, s] : t->layout->services) {
    auto f = t->workers.find(name);
    if (f == t->workers.end() || f->second.empty()) continue;
    Route any;
    Work w{t,      t->layout,    &s, &any, {}, {}, p_->ps.clock.now(), p_->ps.clock.now() + limit,
           p_->me, t->generation};
    if (!p_->shots.reaches(w, limit)) out.push_back(name);
  }
  return out;
}

void Traffic::swap(TablePtr t) { std::atomic_store(&p_->table, std::move(t)); }
TablePtr Traffic::table() const { return p_->now_table(); }
void Traffic::drain() { p_->draining = true; }
int Traffic::running() { return p_->shots.running(); }
const ServeCounts& Traffic::counts() const { return p_->n; }
UpstreamClient& Traffic::shots() { return p_->shots; }
void Traffic::bound_cache(size_t bytes) { p_->fills.bound(bytes); }
void Traffic::sweep() { p_->fills.sweep(); }
size_t Traffic::cache_bytes() const { return p_->fills.bytes(); }

void Traffic::say(pb::NodeStatus& n) const {
  std::lock_guard l(p_->m);
  for (auto& [k, t] : p_->tallies) {
    auto* x = n.add_tallies();
    x->set_release(k);
    x->set_requests(t.first);
    x->set_defects(t.second);
  }
  for (auto& [k, c] : p_->shots.counts()) {
    auto* x = n.add_bad();
    x->set_service(k.service);
    x->set_version(k.version);
    x->set_route(k.route);
    x->set_good(c.good);
    x->set_bad(c.bad);
    x->set_slow(c.slow);
    x->set_took_ms(c.took_ms);
  }
  auto t = p_->now_table();
  for (auto& [k, c] : p_->shots.trials()) {
    auto* x = n.add_trials();
    x->set_service(k);
    x->set_number(c.first);
    x->set_bad(c.second);
  }
  for (auto& s : t->given_up) {
    auto f = t->states.find(s);
    if (f == t->states.end()) continue;
    auto* x = n.add_trials();
    x->set_service(s);
    x->set_number(f->second.trial_number());
    x->set_stopped(true);
  }
  for (auto& [k, a] : p_->shots.asked()) {
    auto* x = n.add_demands();
    x->set_service(k);
    x->set_asked(a);
  }
}

}  // namespace dunlinwing::traffic
