// One pull asks one holder first and, with what that one knew, all others at
// once, so that each piece of statuses comes once and not from everybody. It goes on
// when all have answered or an eighth of the bound has passed. It is good when a majority of voting holders
// answered and every register whose latest ballot is not at a majority has
// been finished by a read. Whatever was acknowledged before such a pull began
// is then in `chosen`.
#include "membership/state_cache.hpp"

#include <algorithm>

#include "base/log.hpp"
#include "consensus/vote.hpp"
#include "membership/deregistered.hpp"
#include "membership/pull_schedule.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log lg("membership");
constexpr size_t kLargeFleet = 32;
}  // namespace

struct StateCache::Impl {
  struct Side {
    uint64_t boot = 0, seen = 0;
    TimePoint answered{0};
    TimePoint asked{0};  // when the ask began that it last answered
    TimePoint voted{0};  // when it last answered and was not mute
    std::map<std::string, pb::RegisterState> slots;
  };
  base::Ports& ps;
  StateCacheConfig c;
  consensus::RegisterClient& registers;
  consensus::Acceptor* mine;
  std::function<void(pb::NodeStatus&)> own;
  std::function<void()> seen;
  StatusTable statuses;
  std::map<std::string, Side> sides;  // by holder
  Chosen chosen;
  std::map<std::string, pb::Ballot> at;  // the ballot at which `chosen` was settled
  std::set<std::string> open;
  uint64_t incarnation = 0, count = 0, deregistered = 0;
  size_t first = 0;  // the holder asked first
  std::atomic<int64_t> read_lease{0};
  TimePoint began{0};  // when this node's fresh contact with a quorum last began
  TimePoint said{0};
  std::string said_key;
  std::vector<std::pair<TimePoint, std::shared_ptr<base::Condition>>> waits;
  PullSchedule schedule;
  std::map<std::string, int> silent;      // asks in a row that a holder did not answer
  bool told = false, asked = false;       // asked: somebody waits for the next pull
  std::shared_ptr<base::Condition> rest;  // where the loop waits between pulls

  Impl(base::Ports& p, StateCacheConfig cc, consensus::RegisterClient& b, consensus::Acceptor* m,
       std::function<void(pb::NodeStatus&)> o, std::function<void()> s)
      : ps(p),
        c(std::move(cc)),
        registers(b),
        mine(m),
        own(std::move(o)),
        seen(std::move(s)),
        statuses(c.session()),
        schedule(ps.random, c.pull()) {
    first = static_cast<size_t>(ps.random.below(b.replicas().size()));
  }

  void take(const std::string& who, const pb::PullReply& r, TimePoint now) {
    auto& s = sides[who];
    // The holder was restarted: it tells anew what it has accepted, which after a loss may be less.
    if (s.boot != r.boot()) s.slots.clear();
    s.boot = r.boot();
    s.seen = r.seen();
    s.answered = now;
    if (!r.mute()) s.voted = now;
    for (auto& x : r.slots()) {
      s.slots[x.name()] = x;
      open.insert(x.name());
    }
    for (auto& n : r.statuses())
      if (n.source() != c.me) statuses.merge(n, now);
  }

  // What `replica` last told of a register; null: nothing.
  const pb::RegisterState* told_by(const consensus::Replica& replica, const std::string& name) const {
    auto side = sides.find(replica.name);
    if (side == sides.end()) return nullptr;
    auto state = side->second.slots.find(name);
    return state == side->second.slots.end() ? nullptr : &state->second;
  }

  // Whether what a replica last told may still be counted: an older word may come from a
  // disk that was lost since.
  bool told_in_time(const consensus::Replica& replica) const {
    auto side = sides.find(replica.name);
    return side != sides.end() && ps.clock.now() - side->second.asked <= c.word_limit();
  }

  // The latest state known for a register, when a quorum has accepted its ballot.
  const pb::RegisterState* latest_at_quorum(const std::string& name) const {
    const pb::RegisterState* best = nullptr;
    for (auto& replica : registers.replicas()) {
      auto* state = told_by(replica, name);
      if (state && (!best || consensus::lower(best->accepted(), state->accepted()))) best = state;
    }
    if (!best) return nullptr;
    consensus::MemberFlags has_best;
    for (auto& replica : registers.replicas()) {
      auto* state = told_by(replica, name);
      has_best.push_back(state && !state->copied() && told_in_time(replica) &&
                         consensus::equal(best->accepted(), state->accepted()));
    }
    return registers.set().is_quorum(has_best) ? best : nullptr;
  }

  bool settle_open() {
    for (auto i = open.begin(); i != open.end();) {
      auto* s = latest_at_quorum(*i);
      consensus::VersionedValue h;
      if (s) {
        h = {s->value().version(), s->value().data()};
      } else {
        auto name = *i;
        auto g = registers.read(name);
        auto* x = std::get_if<consensus::VersionedValue>(&g);
        if (!x) return false;
        h = *x;
        i = open.find(name);
      }
      auto& c0 = chosen[*i];
      if (h.version > c0.version) c0 = h;
      i = open.erase(i);
    }
    return true;
  }

  // What must be passed on at once; the rest (counters, clocks, ages) may wait.
  static std::string gist(const pb::NodeStatus& n) {
    pb::NodeStatus g;
    *g.mutable_node() = n.node();
    g.mutable_node()->clear_wall_ms();
    g.mutable_node()->clear_running();
    std::string s = g.SerializeAsString();
    for (auto& [k, v] :
         std::map<std::string, std::string>(n.node().running().begin(), n.node().running().end()))
      s += k + "=" + v + ";";
    for (auto& t : n.trials()) s += fmt::format("{}:{}:{}{};", t.service(), t.number(), t.bad(), t.stopped());
    for (auto& b : n.beats())
      s += fmt::format("{}/{}{};", b.instance(), b.leaving() ? 0 : b.number(), b.leaving());
    return s;
  }

  // The set of holders has changed: what is chosen is settled anew under it.
  bool reseat() {
    if (mine) mine->adopt(registers.set().message());
    for (auto& [k, s] : sides)
      for (auto& [n, x] : s.slots) open.insert(n);
    lg.info("{}: the holders are now those of epoch {}.", c.me, registers.set().epoch());
    return false;
  }

  bool once() {
    TimePoint start = ps.clock.now();
    pb::Ask base;
    auto* p = base.mutable_pull();
    p->set_node(c.me);
    if (incarnation) {
      pb::NodeStatus n;
      n.set_source(c.me);
      n.mutable_mark()->set_incarnation(incarnation);
      own(n);
      auto key = gist(n);
      bool due = start - said >= c.bound / 4;
      if (due || key != said_key) {
        said = start;
        said_key = key;
        n.mutable_mark()->set_count(++count);
        statuses.merge(n, start);
        *p->mutable_own() = n;
      }
    }
    auto hs = registers.replicas();
    auto epoch = registers.set().epoch();
    if (hs.empty()) return false;  // nobody has named the holders yet
    first %= hs.size();
    consensus::Local local;
    if (mine) local = [this](const pb::Ask& a) { return answer(a); };
    consensus::MemberFlags voting(hs.size());  // those that answered and are not mute
    auto quorum = [&] { return registers.set().epoch() == epoch && registers.set().is_quorum(voting); };
    std::vector<pb::PullReply> heard;
    // Asks those named and takes what they say; false when none answered.
    auto ask = [&](const std::vector<size_t>& who, Duration limit) {
      std::vector<consensus::Replica> to;
      for (auto i : who) to.push_back(hs[i]);
      *base.mutable_pull()->mutable_have() = statuses.marks();
      auto make = [&](size_t k) {
        pb::Ask a = base;
        a.mutable_pull()->set_boot(sides[hs[who[k]].name].boot);
        a.mutable_pull()->set_seen(sides[hs[who[k]].name].seen);
        return a;
      };
      TimePoint asked = ps.clock.now();
      auto rs = consensus::ask_all(
          ps, to, make, limit, [](auto&) { return false; }, c.me, local);
      bool any = false;
      for (size_t k = 0; k < rs.size(); ++k) {
        auto& quiet = silent[hs[who[k]].name];
        quiet = rs[k] && rs[k]->has_pull() ? 0 : quiet + 1;
        if (quiet) continue;
        any = true;
        // One that has not made the present set durable may still vote under the one before.
        voting[who[k]] = !rs[k]->pull().mute() && rs[k]->pull().adopted_epoch() >= epoch;
        take(hs[who[k]].name, rs[k]->pull(), ps.clock.now());
        sides[hs[who[k]].name].asked = asked;
        registers.set().adopt(rs[k]->pull().set());
        heard.push_back(rs[k]->pull());
      }
      return any;
    };
    // A replica that answers late would only be asked twice.
    if (!schedule.failing() && !ask({first}, c.pull() / 4)) first = (first + 1) % hs.size();
    std::vector<size_t> rest, later;
    for (size_t k = 0; k < hs.size(); ++k)
      if (auto i = (first + k) % hs.size(); k || heard.empty()) rest.push_back(i);
    // In a large fleet a relay asks no more holders than it needs, as long as those answer.
    size_t need = registers.sufficient_count() - std::min(registers.sufficient_count(), heard.size());
    if (!mine && statuses.size() >= kLargeFleet && rest.size() > need) {
      std::stable_partition(rest.begin(), rest.end(), [&](size_t i) { return silent[hs[i].name] == 0; });
      later.assign(rest.begin() + static_cast<std::ptrdiff_t>(need), rest.end());
      rest.resize(need);
    }
    ask(rest, c.pull());
    if (!later.empty() && !quorum()) ask(later, c.pull());
    TimePoint now = ps.clock.now();
    if (registers.set().epoch() != epoch) return reseat();
    if (!quorum()) return false;
    if (!incarnation) {
      auto m = statuses.mark(c.me);
      for (auto& r : heard)
        for (auto& x : r.statuses())
          if (x.source() == c.me && (!m || newer(x.mark(), *m))) m = x.mark();
      incarnation = m ? m->incarnation() + 1 : 1;
      return false;  // the next pull announces this node
    }
    if (!settle_open()) return false;
    if (auto f = chosen.find(consensus::kReplicaSetKey); f != chosen.end()) {
      pb::ReplicaSet set;
      if (set.ParseFromString(f->second.data) && set.epoch() > epoch) {
        registers.set().adopt(set);
        return reseat();
      }
    }
    if (auto f = chosen.find(kDeregisteredKey); f != chosen.end() && f->second.version != deregistered) {
      deregistered = f->second.version;
      statuses.deregistered(read_deregistered(f->second.data));
    }
    statuses.forget(now);
    // A pull that itself took longer than the read_lease has proved nothing.
    read_lease = (start + c.read_lease()).count();
    seen();
    std::erase_if(waits, [&](auto& w) { return w.first <= start ? (w.second->notify(), true) : false; });
    return true;
  }

  pb::Reply answer(const pb::Ask& a) {
    pb::Reply out;
    auto& q = a.pull();
    auto* r = out.mutable_pull();
    TimePoint now = ps.clock.now();
    if (q.has_own()) statuses.merge(q.own(), now);
    if (mine)
      mine->changes(q.boot(), q.seen(), *r);
    else
      r->set_mute(true);
    for (auto& n : statuses.since(q.have(), now)) *r->add_statuses() = n;
    if (!q.has_own())  // a node that begins again asks under which incarnation it was known
      if (auto m = statuses.mark(q.node())) {
        auto* n = r->add_statuses();
        n->set_source(q.node());
        *n->mutable_mark() = *m;
        n->set_age_ms(static_cast<uint64_t>(c.session().count()) * 2);
      }
    return out;
  }
};

StateCache::StateCache(base::Ports& ps, StateCacheConfig c, consensus::RegisterClient& b,
                       consensus::Acceptor* m, std::function<void(pb::NodeStatus&)> own,
                       std::function<void()> seen)
    : p_(std::make_shared<Impl>(ps, std::move(c), b, m, std::move(own), std::move(seen))) {}
StateCache::~StateCache() = default;

void StateCache::start() {
  p_->ps.tasks.spawn([p = p_] {
    for (;;) {
      TimePoint from = p->ps.clock.now();
      p->asked = false;
      bool ok = p->once();
      bool was = std::exchange(p->told, p->ps.clock.now().count() < p->read_lease.load());
      if (!was && p->told) p->began = p->ps.clock.now();
      if (was && !p->told) lg.warn("{}: the read lease has lapsed.", p->c.me);
      if (!was && p->told) lg.info("{}: the read lease stands.", p->c.me);
      auto wait = p->schedule.after(ok, p->ps.clock.now() - from);
      p->ps.clock.sleep(wait.least);
      if (wait.usual > wait.least && !p->asked) {
        p->rest = p->ps.tasks.condition();
        p->rest->wait(wait.usual - wait.least);
        p->rest.reset();
      }
    }
  });
}

bool StateCache::once() { return p_->once(); }
bool StateCache::fresh() const { return p_->ps.clock.now().count() < p_->read_lease.load(); }
TimePoint StateCache::read_lease_end() const { return TimePoint(p_->read_lease.load()); }
const Chosen& StateCache::chosen() const { return p_->chosen; }
StatusTable& StateCache::statuses() { return p_->statuses; }
pb::Reply StateCache::answer(const pb::Ask& a) { return p_->answer(a); }
uint64_t StateCache::incarnation() const { return p_->incarnation; }

bool StateCache::settle(Duration limit) {
  auto s = p_->ps.tasks.condition();
  auto now = p_->ps.clock.now();
  p_->waits.emplace_back(now, s);
  hurry();
  return s->wait(limit);
}

std::optional<std::vector<std::string>> StateCache::names(Duration limit) {
  if (!settle(limit)) return {};
  std::vector<std::string> out;
  for (auto& [k, h] : p_->chosen) out.push_back(k);
  return out;
}

bool StateCache::votes(const std::string& holder) const {
  auto f = p_->sides.find(holder);
  return f != p_->sides.end() && f->second.voted != TimePoint(0) &&
         p_->ps.clock.now() - f->second.voted < p_->c.bound / 4 + p_->c.pull() * 2;
}

std::map<std::string, uint64_t> StateCache::behind(const std::string& replica) const {
  std::map<std::string, uint64_t> names;
  for (auto& [name, value] : p_->chosen) {
    auto* best = p_->latest_at_quorum(name);
    if (!best) continue;
    auto* own = p_->told_by({replica, ""}, name);
    if (!own || consensus::lower(own->accepted(), best->accepted())) names[name] = best->accepted().round();
  }
  return names;
}

StateCache::Contact StateCache::contact(const std::string& replica) const {
  auto now = p_->ps.clock.now();
  auto side = p_->sides.find(replica);
  auto since = [&](TimePoint at) { return now - std::max(at, p_->began); };
  if (side == p_->sides.end()) return {since(TimePoint(0)), since(TimePoint(0))};
  return {since(side->second.answered), since(side->second.voted)};
}

void StateCache::hurry() {
  p_->asked = true;
  if (p_->rest) p_->rest->notify();
}

}  // namespace dunlinwing::membership
