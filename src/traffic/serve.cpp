// Lock order: the tally's lock, the cache's, a fill's, the waitlists', the
// places', the budgets'. In fact none is held while another is taken, nor
// while a fiber parks.
#include "traffic/serve.hpp"

#include <fmt/format.h>

#include <mutex>

#include "base/json.hpp"

namespace dunlinwing::traffic {
namespace {
constexpr Span kShieldRest{500};

// Seconds after which to come back, spread so that a crowd does not return at once.
std::string come_back(base::Chance& c, Span back) {
  auto s = static_cast<uint64_t>(std::max<int64_t>(1, (back.count() + 999) / 1000));
  return std::to_string(s + c.below(s + 2));
}

base::Receipt turned_away(base::Chance& c, int status, const std::string& why, const char* outcome, Span back = Span(0)) {
  base::Receipt r{status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, {}};
  if (outcome) r.headers.emplace_back("Dunlinwing-Outcome", outcome);
  if (status == 503 || status == 429) r.headers.emplace_back("Retry-After", come_back(c, back));
  r.body = fmt::format("{{\"defect\":{}}}\n", base::quote(why));
  return r;
}

// What is to be said to a caller, or that the request is to be matched anew.
struct Way {
  base::Receipt receipt;
  bool overtaken = false, left = false;
};

base::Receipt of(base::Chance& c, Fetched&& f) {
  if (f.fate == Fate::not_run || f.fate == Fate::overtaken) return turned_away(c, 503, f.why, "not-run", f.back);
  if (f.fate == Fate::unknown) return turned_away(c, 502, f.why, "unknown");
  strip(f.receipt.headers);
  f.receipt.headers.emplace_back("Via", "1.1 dunlinwing");
  return std::move(f.receipt);
}

Way way(base::Chance& c, Fetched&& f) {
  bool o = f.fate == Fate::overtaken, l = f.left;
  return {of(c, std::move(f)), o, l};
}

// What was turned away after a byte of an earlier way had left may have run.
void doubt(base::Receipt& r) {
  r.status = 502;
  std::erase_if(r.headers, [](auto& h) { return h.first == "Retry-After"; });
  for (auto& [k, v] : r.headers)
    if (k == "Dunlinwing-Outcome") v = "unknown";
}

// What was fetched by GET, as the answer to HEAD.
void shape_head(base::Receipt& r, const base::Request& q) {
  if (q.method != "HEAD") return;
  r.headers.emplace_back("Content-Length", std::to_string(r.body.size()));
  r.body.clear();
}

base::Receipt of(const cache::Item& i, const base::Request& q, Tick now) {
  auto r = i.receipt;
  std::erase_if(r.headers, [](auto& h) { return base::same_word(h.first, "Age"); });
  r.headers.emplace_back("Age", std::to_string(std::max<int64_t>(0, (now - i.born).count()) / 1000));
  shape_head(r, q);
  return r;
}
}  // namespace

struct Traffic::Impl {
  base::Ports& ps;
  std::string me, zone;
  std::function<bool()> fresh;
  std::shared_ptr<const Table> table = std::make_shared<Table>();
  Shots shots;
  cache::Cache cache;
  ServeCounts n;
  std::atomic<bool> draining{false};
  mutable std::mutex m;
  std::map<std::string, std::pair<uint64_t, uint64_t>> tallies;
  std::map<std::string, Tick> resting;  // shields, until when

  Impl(base::Ports& p, std::string a, std::string z, std::function<bool()> f)
      : ps(p), me(std::move(a)), zone(z), fresh(f), shots(p, z, f, [this] { return now_table(); }) {}

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
    Span most = std::min(i->life, Span(w.service->lifetime_s * 1000));
    auto st = t->states.find(w.service->name);
    bool banned = st != t->states.end() && st->second.quarantined().count(i->version);
    if (traffic::overtaken(*t, w.relay, w.generation)) return false;
    return now - i->born < most && !banned && !purged(*t, w.service->name, w.q.target, i->purge) && fresh();
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
    base::Request get = w.q;
    get.method = "GET";
    Work direct = w;
    direct.q = get;
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
      auto r = ps.net.ask(to, a, (w.deadline - ps.clock.now()) / 2);
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
        i->purge = std::min(i->purge, cr.fill_purge());
        i->version = cr.version();
        auto out = i->receipt;
        // It may have been kept there, and this node may have slept since it asked.
        if (cr.cacheable() ? usable(i, w, ps.clock.now()) : fresh() && !purged(*now_table(), i->service, get.target, i->purge))
          return {Way{out}, cr.cacheable() ? cache::ItemPtr(i) : nullptr};
      }
      // What the shield did with it is not known, so a direct shot may be a repeat.
      direct.again = reached && !(x && x->has_carry() && x->carry().not_run());
    }
    auto f = shots.run(direct);
    f.left |= direct.again;  // the shield may have had it run
    if (f.fate != Fate::answered) return {way(ps.chance, std::move(f)), nullptr};
    auto life = cache::lifetime(get, f.receipt);
    i->born -= cache::age_header(f.receipt);
    i->version = f.version;
    i->receipt = of(ps.chance, std::move(f));
    if (!life) return {Way{i->receipt}, nullptr};
    i->life = *life;
    return {Way{i->receipt}, i};
  }

  Way cached(const Work& w) {
    auto key = w.service->name + "|" + w.q.target;
    if (auto i = cache.find(key); usable(i, w, ps.clock.now())) {
      ++n.hits;
      return {of(*i, w.q, ps.clock.now())};
    }
    auto flight = fmt::format("{}|{}|{}", key, w.layout->name, purge_number(*now_table(), w.service->name));
    bool lead = false;
    auto f = cache.join(flight, lead);
    if (!lead) {
      // Half of its time is for the other's fetch, half for one of its own.
      auto i = cache.wait(f, ps.tasks.spot(), std::max<Span>(w.start_by() - ps.clock.now(), Span(0)));
      if (i && usable(*i, w, ps.clock.now())) {
        ++n.hits;
        return {of(**i, w.q, ps.clock.now())};
      }
      return way(ps.chance, shots.run(w));  // what the other got was for it alone
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
    if (got.second) cache.put(key, got.second, static_cast<size_t>(w.layout->cache_bytes));
    if (got.second) return {of(*got.second, w.q, ps.clock.now())};
    shape_head(got.first.receipt, w.q);
    return got.first;
  }
};

Traffic::Traffic(base::Ports& ps, std::string me, std::string zone, std::function<bool()> fresh)
    : p_(new Impl(ps, std::move(me), std::move(zone), std::move(fresh))) {}
Traffic::~Traffic() = default;

base::Receipt Traffic::serve(base::Request& q) {
  auto& p = *p_;
  auto arrived = p.ps.clock.now();
  q.id = base::token(p.ps.chance);
  TablePtr t;
  base::Receipt answer;
  for (bool again = false;;) {
    t = p.now_table();
    if (p.draining || !p.fresh() || !t->layout || overtaken(*t, p.me, t->generation)) {
      ++p.n.turned_away;
      const char* why = p.draining ? "this node is draining" : "this node is not ready";
      return again ? turned_away(p.ps.chance, 502, why, "unknown") : turned_away(p.ps.chance, 503, why, "not-run");
    }
    auto& lay = *t->layout;
    auto w = [&]() -> Way {
      if (static_cast<int64_t>(q.body.size()) > lay.body_bytes)
        return {turned_away(p.ps.chance, 413, "the body is longer than the layout allows", "not-run")};
      bool other = false;
      auto* route = lay.match(q.method, q.target, other);
      if (!route) return {other ? turned_away(p.ps.chance, 405, "no route takes this method", "not-run")
                                : turned_away(p.ps.chance, 404, "no route leads there", "not-run")};
      auto& s = lay.services.at(route->service);
      Work w{t, t->layout, &s, q, arrived + s.deadline, p.me, t->generation, again};
      if (s.lifetime_s > 0 && cache::may_ask_cache(q)) return p.cached(w);
      return way(p.ps.chance, p.shots.run(w));
    }();
    again |= w.left;
    answer = std::move(w.receipt);
    if (w.overtaken) continue;  // a newer layout came in force while it waited
    if (again && base::header(answer.headers, "Dunlinwing-Outcome") == "not-run")
      doubt(answer);
    break;
  }
  auto outcome = base::header(answer.headers, "Dunlinwing-Outcome");
  if (outcome == "not-run") ++p.n.turned_away;
  if (outcome == "unknown") ++p.n.unknown;
  answer.headers.emplace_back("Dunlinwing-Generation", std::to_string(t->generation));
  p.tally(t->layout->name, answer.status >= 500 || answer.status == 404 || answer.status == 405 || answer.status == 413);
  return answer;
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
  if (purge_number(*t, c.service()) < c.purge_seen()) return no("this node lacks a purge");
  Work w{t, l->second, &s->second, {}, p.ps.clock.now() + Span(c.left_ms()), c.relay(), c.generation()};
  w.q.id = base::token(p.ps.chance);
  w.q.method = "GET";
  w.q.target = c.target();
  for (auto& h : c.headers()) w.q.headers.emplace_back(h.name(), h.value());
  auto key = c.service() + "|" + c.target();
  auto way = p.cached(w);
  auto& r = way.receipt;
  auto i = p.cache.find(key);
  out.set_status(static_cast<uint32_t>(r.status));
  auto outcome = base::header(r.headers, "Dunlinwing-Outcome");
  out.set_not_run(outcome == "not-run" && !way.left);
  out.set_unknown(outcome == "unknown" || way.left);
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
    Work w{t, t->layout, &s, {}, p_->ps.clock.now() + limit, p_->me, t->generation};
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
    x->set_service(std::get<0>(k));
    x->set_version(std::get<1>(k));
    x->set_route(std::get<2>(k));
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
