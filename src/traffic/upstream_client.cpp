// A shot ends in one of four ways: a whole answer by the worker that was
// meant; nothing was sent; the worker said it did not run it; or nobody can
// tell. Only safe requests are sent again after the last, and within budget.
// A caller is promised "not run" only when no byte of any shot left.
#include "traffic/upstream_client.hpp"

#include <fmt/format.h>

#include <mutex>

namespace dunlinwing::traffic {
namespace {
constexpr int kMostTries = 8;    // workers looked for, sent to or not
constexpr int kWorkPart = 4;     // of its deadline a first shot must still have half this part
constexpr int kConnectPart = 4;  // of the time left, for a connection to stand
constexpr int kSlow = 4;         // times the usual, and an answer counts as slow
constexpr Duration kSlowLeast{20};
constexpr size_t kLeastPlaces = 6;
constexpr size_t kRelaysOfAll = 12;  // relays that use one worker, about
constexpr double kCapPart = 0.85;    // of the connections a worker takes, over all relays
// How far past its aim an answer may be expected to be while it is still worth its place, by rank.
constexpr double kPatience[] = {3.0, 2.0, 1.3};

Fetched turned_away(std::string why, Duration back = Duration(0)) {
  Fetched f{Fate::not_run, {}, {}, std::move(why)};
  f.back = back;
  return f;
}

bool plainly_safe(const std::string& m) { return m == "GET" || m == "HEAD" || m == "OPTIONS"; }
}  // namespace

bool Work::safe() const {
  if (route->kind == Kind::by_method) return plainly_safe(q.method) && service->safe_repeats;
  return route->kind != Kind::unsafe;
}

struct UpstreamClient::Impl {
  base::Ports& ps;
  const Face& face;
  std::string zone;
  std::function<bool()> fresh;
  std::function<TablePtr()> table;
  LoadBalancer places;
  Trials trials;
  Repeats repeats;
  Pace pace;
  Waitlists waits;
  mutable std::mutex m;
  std::map<CountKey, VersionCount> counts;
  std::map<std::string, uint64_t> asked;
  std::map<std::string, std::pair<uint64_t, uint64_t>> on_trial;  // number, bad answers
  std::atomic<uint64_t> again{0};
  int most_places = 0;

  Impl(base::Ports& p, const Face& fa, std::string z, std::function<bool()> f, std::function<TablePtr()> t)
      : ps(p),
        face(fa),
        zone(std::move(z)),
        fresh(std::move(f)),
        table(std::move(t)),
        places(p.clock, p.random),
        pace(p.clock),
        waits(p) {}

  void count(const Work& w, const Worker& to, bool good, Duration took) {
    auto t = table();
    auto st = t->states.find(to.service);
    auto usual = places.usual(to.service);
    bool slow = good && usual > Duration(0) && took > std::max(usual * kSlow, kSlowLeast);
    std::lock_guard l(m);
    auto& c = counts[{to.service, to.version, w.route->label()}];
    (good ? c.good : c.bad)++;
    c.slow += slow;
    c.took_ms += static_cast<uint64_t>(took.count());
    if (st == t->states.end() || st->second.trial() != to.version) return;
    auto& x = on_trial[to.service];
    if (x.first != st->second.trial_number()) x = {st->second.trial_number(), 0};
    x.second += !good;
  }

  // How long until it makes sense to come back, when the wait at the best place found is not worth it.
  std::optional<Duration> too_full(const Work& w, const Choice& c) const {
    if (w.route->aim <= Duration(0)) return {};
    Duration one = c.expected - c.wait;
    auto rank = static_cast<size_t>(std::min<int>(w.route->priority, std::size(kPatience) - 1));
    Duration most = std::max(
        Duration(static_cast<int64_t>(static_cast<double>(w.route->aim.count()) * kPatience[rank])) - one,
        one);
    Duration left = w.deadline - ps.clock.now();
    if (c.wait <= most && c.wait + one < left) return {};
    return std::max(c.wait - most, Duration(0)) + one / 2;
  }

  double share(const std::string& service) {
    auto t = table();
    auto f = t->shares.find(service);
    return f == t->shares.end() ? 0 : f->second;
  }

  // Waits for this request's turn at a paced origin. When none comes in time: how long it would have been.
  std::optional<Duration> await_turn(const Work& w) {
    auto& s = *w.service;
    for (;;) {
      // A turn that comes too late for the aim is not worth waiting for.
      Duration most = w.start_by() - ps.clock.now();
      if (w.route->aim > Duration(0)) most = std::min(most, w.route->aim * 3 / 4);
      auto r = pace.reserve(s.name, share(s.name), most);
      auto* t = std::get_if<Turn>(&r);
      if (!t) return std::get<Duration>(r);
      if (t->wait > Duration(0)) ps.clock.sleep(t->wait);
      if (pace.stands(*t, share(s.name))) return {};
    }
  }

  // Of many workers each relay of a large fleet uses a few, so that its connections
  // are used often enough to be kept, and each worker is used by a few relays.
  size_t few(const Table& t, size_t workers) const {
    size_t n = std::max<size_t>(kLeastPlaces, (workers * kRelaysOfAll + static_cast<size_t>(t.nodes) - 1) /
                                                  static_cast<size_t>(std::max(t.nodes, 1)));
    return most_places > 0 ? std::min(n, std::max(kLeastPlaces, static_cast<size_t>(most_places))) : n;
  }

  std::optional<Choice> pick(const Work& w, const std::vector<std::string>& tried, bool probe = false) {
    auto t = table();  // the latest: a worker that left since is not chosen
    auto f = t->workers.find(w.service->name);
    if (f == t->workers.end()) return {};
    auto st = t->states.find(w.service->name);
    auto v = versions(*w.service, st == t->states.end() ? nullptr : &st->second);
    if (!probe)
      if (auto ws = trials.grant(*t, w.service->name, v.trial, w.route->label()); !ws.empty())
        if (auto x = places.choose(ws, {v.trial}, zone, tried)) return x;
    return places.choose(f->second, v.open, zone, tried, few(*t, f->second.size()));
  }
};

UpstreamClient::UpstreamClient(base::Ports& ps, const Face& face, std::string me, std::string zone,
                               std::function<bool()> fresh, std::function<TablePtr()> table)
    : p_(new Impl(ps, face, std::move(zone), std::move(fresh), std::move(table))) {
  p_->places.name(me);
}
UpstreamClient::~UpstreamClient() = default;

bool UpstreamClient::repeat_allowed(const Work& w) {
  auto t = p_->table();
  if (!p_->repeats.grant(w.service->name, repeat_part(t->system.repeat_allowance, t->nodes, t->rank)))
    return false;
  ++p_->again;
  return true;
}

bool UpstreamClient::reaches(const Work& w, Duration limit) {
  std::vector<std::string> tried;
  for (int i = 0; i < 2; ++i) {
    auto to = p_->pick(w, tried, true);
    if (!to) return false;
    if (p_->ps.origin.reach(to->worker.address, limit)) return true;
    tried.push_back(to->worker.instance);
  }
  return false;
}

void UpstreamClient::sent(const std::string& s) { p_->repeats.sent(s, p_->table()->system.repeat_share); }

std::map<std::string, uint64_t> UpstreamClient::asked() const {
  std::lock_guard l(p_->m);
  return p_->asked;
}

Fetched UpstreamClient::run(const Work& w) {
  auto& p = *p_;
  auto& s = *w.service;
  if (s.rate > 0) {
    std::lock_guard l(p.m);
    ++p.asked[s.name];
  }
  auto& clock = p.ps.clock;
  switch (p.waits.enter(s.name, s.inflight, s.waitlist, w.start_by())) {
    case Entry::full:
      return turned_away("the waitlist is full", p.waits.drained_in(s.name));
    case Entry::too_late:
      return turned_away("its deadline cannot be met", p.waits.drained_in(s.name));
    case Entry::in:
      break;
  }
  struct Out {
    Impl& p;
    const std::string& s;
    TimePoint from;
    ~Out() { p.waits.leave(s, p.ps.clock.now() - from); }
  } out{p, s.name, clock.now()};

  std::vector<std::string> tried;
  Fetched last = turned_away("no worker of an allowed version is known");
  bool left = false, doubt = false;  // as in Fetched
  auto fail = [&](std::string why) {
    last = turned_away(std::move(why), p.places.usual(s.name));
    if (doubt) last.fate = Fate::unknown;
  };
  bool must_pay = w.again;
  int shots = 0;
  for (int i = 0; i < kMostTries && shots < w.route->shots; ++i) {
    if (must_pay && !repeat_allowed(w)) {
      if (i == 0) last = turned_away("the repeat budget is used up");
      break;
    }
    if (s.rate > 0) {
      if (auto late = p.await_turn(w)) {
        if (!left) last = turned_away("the origin's rate is used up", *late);
        break;
      }
    }
    if (overtaken(*p.table(), w.relay, w.generation)) {
      last = {Fate::overtaken, {}, {}, "a newer layout is in force"};
      break;
    }
    auto c = p.pick(w, tried);
    if (!c) break;
    if (!left && i == 0)
      if (auto late = p.too_full(w, *c)) return turned_away("its aim is out of reach here", *late);
    auto& to = c->worker;
    tried.push_back(to.instance);
    base::Request q = w.q;
    Duration limit = w.deadline - clock.now();
    p.face.dress(q, {to, w.relay, w.generation, limit});
    if (limit <= (left ? Duration(0) : w.span() / (2 * kWorkPart))) {
      if (!left) last.why = "its deadline has passed";
      break;
    }
    if (!p.fresh()) {
      if (!left) last = turned_away("what this node knows is too old");
      break;
    }
    base::AttemptRules rules(limit);
    rules.connect = limit / kConnectPart;
    rules.safe = w.safe();
    rules.mine = [&](const base::Response& r) { return p.face.mine(r, q.id); };
    rules.nameless = [&](const base::Response& r) { return p.face.nameless(r); };
    if (s.connections > 0)
      rules.most = std::max(1, static_cast<int>(kCapPart * s.connections / std::max(p.table()->nodes, 1)));
    p.places.began(to);
    TimePoint from = clock.now();
    auto r = p.ps.origin.send(to.address, q, rules);
    Duration took = clock.now() - from;
    auto* a = std::get_if<base::Response>(&r);
    Look l = a ? p.face.look(*a, to, q) : Look::broken;
    if (a && is_unasked_part(q, *a)) l = Look::broken;
    auto* d = std::get_if<base::AttemptError>(&r);
    bool unsent = d && *d == base::AttemptError::unsent;
    if (d && *d == base::AttemptError::not_run) l = Look::not_run;
    bool declined = l == Look::not_run || l == Look::elsewhere;
    if (!must_pay && !unsent) sent(s.name);
    p.places.ended(
        to, {l == Look::good || declined, unsent, a && l != Look::broken ? p.face.load(*a) : std::nullopt,
             l == Look::good ? took : Duration(0)});
    if (l == Look::elsewhere) p.places.elsewhere(to);
    if (!unsent && !declined) p.count(w, to, l == Look::good, took);
    left |= !unsent;
    doubt |= !unsent && !declined;
    shots += !unsent;
    if (l == Look::good || (l == Look::answered_badly && (!w.safe() || shots >= w.route->shots)))
      return {Fate::answered, std::move(*a), to.version, {}};
    if (unsent) {
      fail("no worker could be reached");
      continue;  // nothing was sent, so this was no send and the next is no repeat
    }
    if (l == Look::answered_badly)
      last = {Fate::answered, std::move(*a), to.version, {}};
    else if (declined)
      fail("a worker said that it did not run it, and no other took it");
    else
      fail(a ? "the answer was not the worker's own whole answer" : "no whole answer came");
    if (!w.safe() && !declined) break;
    must_pay = true;
  }
  last.left = left;
  last.doubt = doubt;
  return last;
}

std::map<CountKey, VersionCount> UpstreamClient::counts() const {
  std::lock_guard l(p_->m);
  return p_->counts;
}
std::map<std::string, std::pair<uint64_t, uint64_t>> UpstreamClient::trials() const {
  std::lock_guard l(p_->m);
  return p_->on_trial;
}
std::pair<int, int> UpstreamClient::load(const std::string& s) { return p_->waits.load(s); }
int UpstreamClient::running() { return p_->waits.running(); }
uint64_t UpstreamClient::repeats() const { return p_->again; }
Duration UpstreamClient::usual(const std::string& s) const { return p_->places.usual(s); }
void UpstreamClient::bound_places(int m) { p_->most_places = m; }
void UpstreamClient::workers_known(const std::vector<std::string>& a) { p_->places.forget(a); }

}  // namespace dunlinwing::traffic
