// Lock order: the tally's lock, the cache's, a fill's, the waitlists', the
// places', the budgets'. In fact none is held while another is taken, nor
// while a fiber parks.
#include "traffic/serve.hpp"

#include <fmt/format.h>

#include <mutex>

#include "base/json.hpp"

namespace dunlinwing::traffic {
namespace {
constexpr Span kShieldRest{2000};
constexpr int kShieldPart = 8;         // times the usual answer of a worker, for a shield's
constexpr Span kShieldLeast{300};

// What is to be said to a caller, or that the request is to be matched anew.
struct Way {
  base::Receipt receipt;
  Outcome outcome = Outcome::none;
  bool overtaken = false, left = false, doubt = false;
};

// What was fetched by GET, as the answer to HEAD.
void shape_head(base::Receipt& r, const base::Request& q) {
  if (q.method != "HEAD") return;
  r.headers.emplace_back("Content-Length", std::to_string(r.body.size()));
  r.body.clear();
}

// A kept receipt as the answer to this request: its age told, cut to the one range
// that was asked for, or only confirmed when the caller has the same already.
base::Receipt of(const cache::Item& i, const base::Request& q, Tick now, bool kept) {
  auto have = base::header(i.receipt.headers, "ETag");
  auto known = base::header(q.headers, "If-None-Match");
  auto range = base::header(q.headers, "Range");
  base::Receipt r{i.receipt.status, i.receipt.headers, {}};
  std::erase_if(r.headers, [](auto& h) { return base::same_word(h.first, "Age"); });
  if (!kept) r.headers.emplace_back("Age", std::to_string(std::max<int64_t>(0, (now - i.born).count()) / 1000));
  if (!known.empty() && known == have) {
    r.status = 304;
    return r;
  }
  size_t from = 0, size = i.receipt.body.size();
  if (auto c = range.empty() ? std::nullopt : cache::cut(range, size)) {
    if (!c->size) return {416, {{"Content-Range", fmt::format("bytes */{}", size)}}, {}};
    r.status = 206;
    r.headers.emplace_back("Content-Range", fmt::format("bytes {}-{}/{}", c->from, c->from + c->size - 1, size));
    from = c->from;
    size = c->size;
  }
  r.body = i.receipt.body.substr(from, size);
  shape_head(r, q);
  return r;
}

std::string key_of(const Work& w) { return w.service->name + "|" + w.host + "|" + w.q.target; }
}  // namespace

struct Traffic::Impl {
  base::Ports& ps;
  const Face& face;
  std::string me, zone;
  std::function<bool()> fresh;
  std::shared_ptr<const Table> table = std::make_shared<Table>();
  Shots shots;
  cache::Cache cache;
  ServeCounts n;
  size_t most_cached = SIZE_MAX;
  std::atomic<bool> draining{false};
  mutable std::mutex m;
  std::map<std::string, std::pair<uint64_t, uint64_t>> tallies;
  std::map<std::string, Tick> resting;  // shields, until when

  Impl(base::Ports& p, const Face& fa, std::string a, std::string z, std::function<bool()> f)
      : ps(p), face(fa), me(std::move(a)), zone(z), fresh(f), shots(p, fa, me, z, f, [this] { return now_table(); }) {}

  // Turned away, with when to come back, spread so that a crowd does not return at once.
  Way away(int status, const std::string& why, Span back = Span(0)) const {
    std::optional<Span> b;
    if (status == 503 || status == 429) b = back + Span(ps.chance.below(static_cast<uint64_t>(back.count()) + 100));
    return {face.say(status, why, Outcome::not_run, b), Outcome::not_run};
  }

  Way unknown(const std::string& why) const { return {face.say(502, why, Outcome::unknown, {}), Outcome::unknown}; }

  Way of(Fetched&& f) const {
    Way w;
    if (f.fate == Fate::answered) {
      face.clean(f.receipt);
      w = {std::move(f.receipt)};
    } else {
      w = f.fate == Fate::unknown ? unknown(f.why) : away(503, f.why, f.back);
    }
    w.overtaken = f.fate == Fate::overtaken;
    w.left = f.left;
    w.doubt = f.doubt;
    return w;
  }

  TablePtr now_table() const { return std::atomic_load(&table); }

  void tally(const std::string& release, bool defect) {
    ++n.requests;
    if (defect) ++n.defects;
    std::lock_guard l(m);
    auto& t = tallies[release];
    ++t.first;
    t.second += defect;
  }

  bool usable(const cache::ItemPtr& i, const Work& w, Tick now) const {
    if (!i) return false;
    auto t = now_table();
    Span most = std::min(i->life, lifetime(w));
    auto st = t->states.find(w.service->name);
    bool banned = st != t->states.end() && st->second.quarantined().count(i->version);
    if (traffic::overtaken(*t, w.relay, w.generation)) return false;
    return now - i->born < most && !banned && !purged(*t, named(w, *i), i->purge) && fresh();
  }

  static Span lifetime(const Work& w) {
    return w.route->keep > Span(0) ? w.route->keep : Span(w.service->lifetime_s * 1000);
  }
  static Named named(const Work& w, const cache::Item& i) { return {w.service->name, w.host, w.q.target, &i.tags}; }

  // One of the route's services, by weight.
  const Service* split(const Layout& l, const Route& r) const {
    double all = 0;
    for (auto& [k, w] : r.split) all += w;
    if (all <= 0) return nullptr;
    double at = r.split.size() > 1 ? all * static_cast<double>(ps.chance.below(1 << 20)) / (1 << 20) : 0;
    for (auto& [k, w] : r.split) {
      if (w > 0 && at < w) return &l.services.at(k);
      at -= w;
    }
    for (auto& [k, w] : r.split)
      if (w > 0) return &l.services.at(k);
    return nullptr;
  }

  // A shield that just failed is left alone for a quarter of the two seconds
  // that it takes the fleet to notice.
  void shield_failed(const std::string& address) {
    std::lock_guard l(m);
    resting[address] = ps.clock.now() + kShieldRest;
  }

  std::string shield_for(const Table& t, const std::string& key) {
    const Shield* best = nullptr;
    size_t top = 0;
    std::lock_guard l(m);
    for (auto& s : t.shields) {
      if (s.name == me) return {};  // a shield fetches for itself
      if (auto f = resting.find(s.address); f != resting.end() && f->second > ps.clock.now()) continue;
      auto h = std::hash<std::string>()(s.name + "\n" + key);
      if (!best || h > top) {
        best = &s;
        top = h;
      }
    }
    return best ? best->address : std::string();
  }

  // From the shield when there is one that can, else from a worker. The item is
  // null when the receipt may not be kept.
  std::pair<Way, cache::ItemPtr> fill(const Work& w, const std::string& key) {
    ++n.fills;
    auto i = std::make_shared<cache::Item>();
    i->service = w.service->name;
    i->born = ps.clock.now();
    i->purge = purge_number(*now_table(), w.service->name);
    Work direct = w;
    direct.q.method = "GET";
    std::erase_if(direct.q.headers, [](auto& h) {
      return base::same_word(h.first, "Range") || base::same_word(h.first, "If-None-Match") || base::same_word(h.first, "If-Range");
    });
    auto& get = direct.q;
    if (auto to = shield_for(*w.table, key); !to.empty()) {
      pb::Ask a;
      auto* c = a.mutable_carry();
      c->set_id(get.id);
      c->set_release(w.layout->name);
      c->set_service(w.service->name);
      c->set_target(get.target);
      c->set_left_ms(static_cast<uint32_t>(std::max<int64_t>(0, (w.deadline - ps.clock.now()).count())));
      c->set_purge_seen(i->purge);
      c->set_relay(w.relay);
      c->set_generation(w.generation);
      for (auto& [k, v] : get.headers) {
        auto* h = c->add_headers();
        h->set_name(k);
        h->set_value(v);
      }
      ++n.carried;
      auto usual = shots.usual(w.service->name);
      Span half = (w.deadline - ps.clock.now()) / 2;
      auto r = ps.net.ask(to, a, usual > Span(0) ? std::min(half, std::max(usual * kShieldPart, kShieldLeast)) : half);
      auto* x = std::get_if<pb::Reply>(&r);
      auto* nd = std::get_if<base::NetDefect>(&r);
      bool reached = !nd || *nd != base::NetDefect::unreachable;
      if (reached) shots.sent(w.service->name);
      if (nd) shield_failed(to);
      if (x && x->has_carry() && !x->carry().not_run() && !x->carry().unknown()) {
        auto& cr = x->carry();
        i->receipt.status = static_cast<int>(cr.status());
        for (auto& h : cr.headers()) i->receipt.headers.emplace_back(h.name(), h.value());
        i->receipt.body = cr.body();
        i->born -= Span(static_cast<int64_t>(cr.age_ms()));
        i->life = Span(static_cast<int64_t>(cr.life_ms()));
        i->purge = purge_least(i->purge, cr.fill_purge());
        i->version = cr.version();
        i->tags = face.tags(i->receipt);
        // It may have been kept there, and this node may have slept since it asked.
        if (cr.cacheable() ? usable(i, w, ps.clock.now()) : fresh() && !purged(*now_table(), named(w, *i), i->purge))
          return {Way{i->receipt}, cr.cacheable() ? cache::ItemPtr(i) : nullptr};
      }
      // What the shield did with it is not known, so a direct shot may be a repeat.
      direct.again = reached && !(x && x->has_carry() && x->carry().not_run());
    }
    auto f = shots.run(direct);
    f.left |= direct.again;  // the shield may have had it run
    f.doubt |= direct.again;
    if (f.fate != Fate::answered) return {of(std::move(f)), nullptr};
    auto life = w.route->keep > Span(0) ? cache::stated(f.receipt, w.route->keep) : cache::lifetime(get, f.receipt);
    i->born -= cache::age_header(f.receipt);
    i->version = f.version;
    i->tags = face.tags(f.receipt);
    i->receipt = of(std::move(f)).receipt;
    if (!life) return {Way{i->receipt}, nullptr};
    i->life = *life;
    return {Way{i->receipt}, i};
  }

  Way cached(const Work& w) {
    bool kept = w.route->keep > Span(0);
    auto key = key_of(w);
    if (auto i = cache.find(key); usable(i, w, ps.clock.now())) {
      ++n.hits;
      return {traffic::of(*i, w.q, ps.clock.now(), kept)};
    }
    auto flight = fmt::format("{}|{}|{}", key, w.layout->name, purge_number(*now_table(), w.service->name));
    bool lead = false;
    auto f = cache.join(flight, lead);
    if (!lead) {
      // Half of its time is for the other's fetch, half for one of its own.
      auto i = cache.wait(f, ps.tasks.spot(), std::max<Span>(w.start_by() - ps.clock.now(), Span(0)));
      if (i && usable(*i, w, ps.clock.now())) {
        ++n.hits;
        return {traffic::of(**i, w.q, ps.clock.now(), kept)};
      }
      return of(shots.run(w));  // what the other got was for it alone
    }
    std::pair<Way, cache::ItemPtr> got;
    struct Close {
      cache::Cache& c;
      std::string k;
      std::shared_ptr<cache::Cache::Fill> f;
      cache::ItemPtr i;
      ~Close() { c.finish(k, f, i); }
    } close{cache, flight, f, nullptr};
    got = fill(w, key);
    close.i = got.second;
    if (got.second) cache.put(key, got.second, std::min<size_t>(static_cast<size_t>(w.layout->cache_bytes), most_cached));
    if (got.second) return {traffic::of(*got.second, w.q, ps.clock.now(), kept)};
    shape_head(got.first.receipt, w.q);
    return got.first;
  }
};

Traffic::Traffic(base::Ports& ps, const Face& face, std::string me, std::string zone, std::function<bool()> fresh)
    : p_(new Impl(ps, face, std::move(me), std::move(zone), std::move(fresh))) {}
Traffic::~Traffic() = default;

base::Receipt Traffic::serve(base::Request& q) {
  auto& p = *p_;
  auto arrived = p.ps.clock.now();
  auto asked = p.face.read(q, p.ps.chance);
  q.id = asked.id;
  auto host = base::header(q.headers, "Host");
  TablePtr t;
  Way w;
  uint64_t under = 0;  // the generation that decided the answer
  for (bool again = false, doubt = false;;) {
    t = p.now_table();
    if (p.draining || !p.fresh() || !t->layout || overtaken(*t, p.me, t->generation)) {
      const char* why = p.draining ? "this node is draining" : "this node is not ready";
      w = doubt ? p.unknown(why) : p.away(503, why);
      under = 0;
    } else {
      under = t->generation;
      w = [&]() -> Way {
        auto& lay = *t->layout;
        if (static_cast<int64_t>(q.body.size()) > lay.body_bytes) return p.away(413, "the body is longer than the layout allows");
        bool other = false;
        auto* route = lay.match(q.method, host, q.target, other);
        if (!route) return other ? p.away(405, "no route takes this method") : p.away(404, "no route leads there");
        auto* s = p.split(lay, *route);
        if (!s) return p.away(503, "no service of this route has any weight");
        Span most = route->timeout > Span(0) ? route->timeout : s->deadline;
        if (asked.left) most = std::min(most, *asked.left);
        Work x{t, t->layout, s, route, q, route->host.empty() ? "" : route->host, arrived, arrived + most, p.me, t->generation, again};
        bool keep = Impl::lifetime(x) > Span(0) && (route->kind == Kind::by_method || route->kind == Kind::cacheable);
        if (keep && cache::may_ask_cache(q, route->keep > Span(0))) return p.cached(x);
        return p.of(p.shots.run(x));
      }();
      again |= w.left;
      doubt |= w.doubt;
      if (w.overtaken) continue;  // a newer layout came in force while it waited
      // What was turned away after an earlier way may have had it run is not promised.
      if (doubt && w.outcome == Outcome::not_run) w = p.unknown("an earlier way may have had it run");
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
  if (purge_least(purge_number(*t, c.service()), c.purge_seen()) != c.purge_seen()) return no("this node lacks a purge");
  Work w{t, l->second, &s->second, nullptr, {}, {}, p.ps.clock.now(), {}, c.relay(), c.generation()};
  w.deadline = w.arrived + Span(c.left_ms());
  w.q.method = "GET";
  w.q.target = c.target();
  for (auto& h : c.headers()) w.q.headers.emplace_back(h.name(), h.value());
  w.q.id = p.face.read(w.q, p.ps.chance).id;
  bool other = false;
  w.route = l->second->match("GET", base::header(w.q.headers, "Host"), c.target(), other);
  if (!w.route) return no("the layout has no such route");
  w.host = w.route->host;
  auto way = p.cached(w);
  auto& r = way.receipt;
  auto i = p.cache.find(key_of(w));
  out.set_status(static_cast<uint32_t>(r.status));
  out.set_not_run(way.outcome == Outcome::not_run && !way.left);
  out.set_unknown(way.outcome == Outcome::unknown || way.left);
  for (auto& [k, v] : r.headers) {
    auto* h = out.add_headers();
    h->set_name(k);
    h->set_value(v);
  }
  out.set_body(r.body);
  if (p.usable(i, w, p.ps.clock.now()) && i->receipt.body == r.body) {
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

std::vector<std::string> Traffic::unreached(Span limit) {
  std::vector<std::string> out;
  auto t = p_->now_table();
  if (!t->layout) return out;
  for (auto& [name, s] : t->layout->services) {
    auto f = t->workers.find(name);
    if (f == t->workers.end() || f->second.empty()) continue;
    Route any;
    Work w{t, t->layout, &s, &any, {}, {}, p_->ps.clock.now(), p_->ps.clock.now() + limit, p_->me, t->generation};
    if (!p_->shots.reaches(w, limit)) out.push_back(name);
  }
  return out;
}

void Traffic::swap(TablePtr t) { std::atomic_store(&p_->table, std::move(t)); }
TablePtr Traffic::table() const { return p_->now_table(); }
void Traffic::drain() { p_->draining = true; }
int Traffic::running() { return p_->shots.running(); }
const ServeCounts& Traffic::counts() const { return p_->n; }
Shots& Traffic::shots() { return p_->shots; }
void Traffic::bound_cache(size_t bytes) { p_->most_cached = bytes; }
void Traffic::sweep() { p_->cache.sweep(p_->ps.clock.now()); }
size_t Traffic::cache_bytes() const { return p_->cache.bytes(); }

void Traffic::say(pb::News& n) const {
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
