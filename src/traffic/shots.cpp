// A shot ends in one of four ways: a whole answer by the worker that was
// meant; nothing was sent; the worker said it did not run it; or nobody can
// tell. Only safe methods are sent again after the last, and within budget.
// A caller is promised "not run" only when no byte of any shot left.
#include "traffic/shots.hpp"

#include <fmt/format.h>

#include <charconv>
#include <mutex>

namespace dunlinwing::traffic {
namespace {
constexpr int kMostShots = 4;
constexpr int kWorkPart = 4;  // of its deadline a first shot must still have this part

enum class Look { good, answered_badly, not_run, broken };

bool safe(const base::Request& q) { return q.method == "GET" || q.method == "HEAD" || q.method == "OPTIONS"; }
}  // namespace

void strip(std::vector<std::pair<std::string, std::string>>& hs) {
  static const char* const hop[] = {"Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate",
                                    "TE",         "Transfer-Encoding", "Trailer",          "Upgrade",
                                    "Expect",     "Content-Length",    "Proxy-Authorization"};
  std::vector<std::string> named;
  for (auto& [k, v] : hs)
    if (base::same_word(k, "Connection"))
      for (auto& w : base::words(v, ',')) named.push_back(w);
  std::erase_if(hs, [&](auto& h) {
    for (auto* n : hop)
      if (base::same_word(h.first, n)) return true;
    for (auto& n : named)
      if (base::same_word(h.first, n)) return true;
    return h.first.size() > 11 && base::same_word(std::string_view(h.first).substr(0, 11), "Dunlinwing-");
  });
}

struct Shots::Impl {
  base::Ports& ps;
  std::string zone;
  std::function<bool()> fresh;
  std::function<TablePtr()> table;
  Places places;
  Trials trials;
  Repeats repeats;
  Pace pace;
  Waitlists waits;
  mutable std::mutex m;
  std::map<CountKey, VersionCount> counts;
  std::map<std::string, double> usual;
  std::map<std::string, uint64_t> asked;
  std::map<std::string, std::pair<uint64_t, uint64_t>> on_trial;  // number, bad answers
  std::atomic<uint64_t> again{0};

  Impl(base::Ports& p, std::string z, std::function<bool()> f, std::function<TablePtr()> t)
      : ps(p), zone(std::move(z)), fresh(std::move(f)), table(std::move(t)), places(p.clock, p.chance),
        pace(p.clock), waits(p) {}

  // Whether what came back is the named worker's own whole answer to this request.
  Look look(const base::Receipt& r, const Worker& w, const base::Request& q) const {
    auto is = [&](const char* h, const std::string& v) { return base::header(r.headers, h) == v; };
    bool this_one = is("Dunlinwing-Request", q.id) && !base::header(r.headers, "Dunlinwing-Instance").empty();
    if (r.status == 421) return this_one && is("Dunlinwing-Outcome", "not-run") ? Look::not_run : Look::broken;
    if (!is("Dunlinwing-Service", w.service) || !is("Dunlinwing-Version", w.version) ||
        !is("Dunlinwing-Instance", w.instance) || !is("Dunlinwing-Request", q.id))
      return Look::broken;
    if (r.status == 503 && is("Dunlinwing-Outcome", "not-run")) return Look::not_run;
    auto d = base::header(r.headers, "Content-Digest");
    if (auto i = d.find("sha-256=:"); i != d.npos && q.method != "HEAD") {
      auto e = d.find(':', i + 9);
      if (e == d.npos || d.substr(i + 9, e - i - 9) != base::sha256_base64(r.body)) return Look::broken;
    }
    return r.status >= 500 ? Look::answered_badly : Look::good;
  }

  static std::string route(const Work& w) {
    bool other = false;
    auto* r = w.layout ? w.layout->match(w.q.method, w.q.target, other) : nullptr;
    return r ? r->prefix : std::string();
  }

  void count(const Work& work, const Worker& w, bool good, Span took) {
    auto t = table();
    auto st = t->states.find(w.service);
    std::lock_guard l(m);
    auto& c = counts[{w.service, w.version, route(work)}];
    (good ? c.good : c.bad)++;
    auto& u = usual[w.service];
    auto ms = static_cast<double>(took.count());
    c.slow += good && u > 0 && ms > std::max(u * 4, 20.0);
    c.took_ms += static_cast<uint64_t>(took.count());
    if (good) u = u > 0 ? u + (std::min(ms, u * 4) - u) / 32 : ms;
    if (st == t->states.end() || st->second.trial() != w.version) return;
    auto& x = on_trial[w.service];
    if (x.first != st->second.trial_number()) x = {st->second.trial_number(), 0};
    x.second += !good;
  }

  double share(const std::string& service) {
    auto t = table();
    auto f = t->shares.find(service);
    return f == t->shares.end() ? 0 : f->second;
  }

  // Waits for this request's turn at a paced origin. When none comes in time: how long it would have been.
  std::optional<Span> await_turn(const Work& w) {
    auto& s = *w.service;
    for (;;) {
      auto r = pace.reserve(s.name, share(s.name), w.start_by() - ps.clock.now());
      auto* t = std::get_if<Turn>(&r);
      if (!t) return std::get<Span>(r);
      if (t->wait > Span(0)) ps.clock.nap(t->wait);
      if (pace.stands(*t, share(s.name))) return {};
    }
  }

  std::optional<Worker> pick(const Work& w, const std::vector<std::string>& tried, bool probe = false) {
    auto t = table();  // the latest: a worker that left since is not chosen
    auto f = t->workers.find(w.service->name);
    if (f == t->workers.end()) return {};
    auto st = t->states.find(w.service->name);
    auto v = versions(*w.service, st == t->states.end() ? nullptr : &st->second);
    if (!probe)
      if (auto ws = trials.grant(*t, w.service->name, v.trial, route(w)); !ws.empty())
        if (auto x = places.choose(ws, {v.trial}, zone, tried)) return x;
    return places.choose(f->second, v.open, zone, tried);
  }
};

Shots::Shots(base::Ports& ps, std::string zone, std::function<bool()> fresh, std::function<TablePtr()> table)
    : p_(new Impl(ps, std::move(zone), std::move(fresh), std::move(table))) {}
Shots::~Shots() = default;

bool Shots::repeat_allowed(const Work& w) {
  auto t = p_->table();
  if (!p_->repeats.grant(w.service->name, repeat_part(t->system.repeat_allowance, t->nodes, t->rank))) return false;
  ++p_->again;
  return true;
}

bool Shots::reaches(const Work& w, Span limit) {
  std::vector<std::string> tried;
  for (int i = 0; i < 2; ++i) {
    auto to = p_->pick(w, tried, true);
    if (!to) return false;
    if (p_->ps.origin.reach(to->address, limit)) return true;
    tried.push_back(to->instance);
  }
  return false;
}

void Shots::sent(const std::string& s) { p_->repeats.sent(s); }

std::map<std::string, uint64_t> Shots::asked() const {
  std::lock_guard l(p_->m);
  return p_->asked;
}

Fetched Shots::run(const Work& w) {
  auto& p = *p_;
  auto& s = *w.service;
  if (s.rate > 0) {
    std::lock_guard l(p.m);
    ++p.asked[s.name];
  }
  auto& clock = p.ps.clock;
  switch (p.waits.enter(s.name, s.inflight, s.waitlist, w.start_by())) {
    case Entry::full: return {Fate::not_run, {}, {}, "the waitlist is full", false, p.waits.drained_in(s.name)};
    case Entry::too_late: return {Fate::not_run, {}, {}, "its deadline cannot be met", false, p.waits.drained_in(s.name)};
    case Entry::in: break;
  }
  Tick began = clock.now();
  struct Out {
    Impl& p;
    const std::string& s;
    Tick from;
    ~Out() { p.waits.leave(s, p.ps.clock.now() - from); }
  } out{p, s.name, began};

  std::vector<std::string> tried;
  Fetched last{Fate::not_run, {}, {}, "no worker of an allowed version is known"};
  bool left = false;  // some byte of some shot may have reached a worker
  bool must_pay = w.again;
  for (int i = 0; i < kMostShots; ++i) {
    if (must_pay && !repeat_allowed(w)) {
      if (i == 0) last = {Fate::not_run, {}, {}, "the repeat budget is used up"};
      break;
    }
    if (s.rate > 0) {
      if (auto late = p.await_turn(w)) {
        if (!left) last = {Fate::not_run, {}, {}, "the origin's rate is used up", false, *late};
        break;
      }
    }
    if (overtaken(*p.table(), w.relay, w.generation)) return {Fate::overtaken, {}, {}, "a newer layout is in force", left};
    auto to = p.pick(w, tried);
    if (!to) break;
    tried.push_back(to->instance);
    base::Request q = w.q;
    strip(q.headers);
    q.headers.emplace_back("Via", "1.1 dunlinwing");
    q.headers.emplace_back("Dunlinwing-Request", q.id);
    q.headers.emplace_back("Dunlinwing-Service", to->service);
    q.headers.emplace_back("Dunlinwing-Version", to->version);
    q.headers.emplace_back("Dunlinwing-Instance", to->instance);
    q.headers.emplace_back("Dunlinwing-Relay", w.relay);
    q.headers.emplace_back("Dunlinwing-Generation", std::to_string(w.generation));
    Span limit = w.deadline - clock.now();
    if (limit <= (left ? Span(0) : s.deadline / (2 * kWorkPart))) {
      if (!left) last.why = "its deadline has passed";
      break;
    }
    if (!p.fresh()) {
      if (!left) last = {Fate::not_run, {}, {}, "this node's news is too old"};
      break;
    }
    p.places.began(*to);
    Tick from = clock.now();
    auto r = p.ps.origin.shoot(to->address, q, limit);
    auto* a = std::get_if<base::Receipt>(&r);
    Look l = a ? p.look(*a, *to, q) : Look::broken;
    auto* d = std::get_if<base::ShotDefect>(&r);
    bool unsent = d && *d == base::ShotDefect::unsent;
    if (!must_pay && !unsent) p.repeats.sent(s.name);
    if (d && *d == base::ShotDefect::not_run) l = Look::not_run;
    std::optional<int> load;
    if (a && l != Look::broken) {
      auto h = base::header(a->headers, "Dunlinwing-Load");
      int n = 0;
      if (std::from_chars(h.data(), h.data() + h.size(), n).ec == std::errc()) load = n;
    }
    p.places.ended(*to, l == Look::good || l == Look::not_run, load);
    if (a && a->status == 421) p.places.elsewhere(*to);
    if (!unsent && l != Look::not_run) p.count(w, *to, l == Look::good, clock.now() - from);
    left |= !unsent;
    if (l == Look::good || (l == Look::answered_badly && (!safe(q) || i + 1 == kMostShots)))
      return {Fate::answered, std::move(*a), to->version, {}};
    if (unsent) {
      last = {left ? Fate::unknown : Fate::not_run, {}, {}, "no worker could be reached"};
      continue;  // nothing was sent, so this was no send and the next is no repeat
    }
    if (l == Look::answered_badly) {
      last = {Fate::answered, std::move(*a), to->version, {}};
    } else if (l == Look::not_run) {
      last = {Fate::unknown, {}, {}, "a worker said that it did not run it, and no other took it"};
    } else {
      last = {Fate::unknown, {}, {}, a ? "the answer was not the worker's own whole answer" : "no whole answer came"};
      if (!safe(q)) return last;
    }
    if (!s.safe_repeats && l != Look::not_run) break;
    must_pay = true;
  }
  return last;
}

std::map<CountKey, VersionCount> Shots::counts() const {
  std::lock_guard l(p_->m);
  return p_->counts;
}
std::map<std::string, std::pair<uint64_t, uint64_t>> Shots::trials() const {
  std::lock_guard l(p_->m);
  return p_->on_trial;
}
std::pair<int, int> Shots::load(const std::string& s) { return p_->waits.load(s); }
int Shots::running() { return p_->waits.running(); }
uint64_t Shots::repeats() const { return p_->again; }
void Shots::workers_known(const std::vector<std::string>& a) { p_->places.forget(a); }

}  // namespace dunlinwing::traffic
