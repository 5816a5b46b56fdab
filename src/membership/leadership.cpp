// The read_lease's span is twice the bound; its holder renews at a quarter of it
// and counts it from before the write, three quarters long. Others count the
// whole span from when they saw the last renewal, so no clocks are compared.
#include "membership/leadership.hpp"

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log lg("duty");
}

std::string leadership_key(const std::string& n) { return "duty/" + n; }

struct Leadership::Impl {
  base::Ports& ps;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  std::string name, me, zone;
  Duration span;
  bool leaving = false, resting = false;
  TimePoint end{0}, seen{0};
  uint64_t term = 0, version = 0, seen_version = 0;
  pb::LeaderLease mine;

  pb::LeaderLease known() const {
    pb::LeaderLease p;
    auto f = state_cache.chosen().find(leadership_key(name));
    if (f != state_cache.chosen().end()) p.ParseFromString(f->second.data);
    return p;
  }

  // A member that could take over, in another zone when there is one.
  std::string understudy() const {
    std::string other;
    for (auto& m : state_cache.statuses().members(ps.clock.now())) {
      if (!m.fact.holder() || m.fact.drained() || m.name == me) continue;
      if (m.fact.zone() != zone) return m.name;
      if (other.empty()) other = m.name;
    }
    return other;
  }

  bool put(pb::LeaderLease p, uint64_t expect) {
    TimePoint from = ps.clock.now();
    auto r = registers.write(leadership_key(name), expect, p.SerializeAsString());
    if (auto* h = std::get_if<consensus::VersionedValue>(&r)) {
      version = h->version;
      mine = p;
      term = p.term();
      end = from + span * 3 / 4;
      return true;
    }
    // Whatever the fate of a renewal, the old read_lease stands only until its own end.
    return false;
  }

  void renew() {
    pb::LeaderLease p = mine;
    p.set_renewals(p.renewals() + 1);
    p.set_understudy(understudy());
    if (put(p, version)) return;
    auto g = registers.read(leadership_key(name));
    if (auto* h = std::get_if<consensus::VersionedValue>(&g)) {
      pb::LeaderLease now;
      now.ParseFromString(h->data);
      if (now.holder() == me && now.term() == term) {
        version = h->version;
        mine = now;
        return;
      }
      end = TimePoint(0);
      lg.warn("{}: the leadership {} passed to {}.", me, name,
              now.holder().empty() ? "nobody" : now.holder());
    }
  }

  void give_up() {
    pb::LeaderLease p = mine;
    p.set_holder("");
    put(p, version);
    end = TimePoint(0);
    lg.info("{}: handed the leadership {} over to {}.", me, name, p.understudy());
  }

  void stand() {
    auto f = state_cache.chosen().find(leadership_key(name));
    TimePoint now = ps.clock.now();
    uint64_t v = f == state_cache.chosen().end() ? 0 : f->second.version;
    pb::LeaderLease p = known();
    if (v != seen_version || seen == TimePoint(0)) {
      seen_version = v;
      seen = now;
      if (!p.holder().empty()) return;
    }
    Duration wait = span;
    if (p.holder().empty()) wait = Duration(0);
    if (p.holder().empty() && !p.understudy().empty() && p.understudy() != me) wait = span;
    if (!p.holder().empty() && p.understudy() != me) wait = span * 3 / 2;
    if (now - seen < wait) return;
    pb::LeaderLease n;
    n.set_holder(me);
    n.set_term(p.term() + 1);
    n.set_span_ms(static_cast<uint64_t>(span.count()));
    n.set_understudy(understudy());
    if (put(n, v)) lg.info("{}: took the leadership {} under term {}.", me, name, n.term());
  }
};

Leadership::Leadership(base::Ports& ps, consensus::RegisterClient& b, StateCache& m, std::string name,
                       std::string me, std::string zone, Duration bound)
    : p_(new Impl{ps, b, m, std::move(name), std::move(me), std::move(zone), bound * 2}) {}
Leadership::~Leadership() = default;

void Leadership::start() {
  p_->ps.tasks.spawn([p = p_] {
    while (!p->leaving) {
      bool had = p->ps.clock.now() < p->end;
      if (had && p->resting)
        p->give_up();
      else if (had)
        p->renew();
      else if (p->state_cache.fresh() && !p->resting)
        p->stand();
      p->ps.clock.sleep(p->span / 8 +
                        Duration(p->ps.random.below(static_cast<uint64_t>(p->span.count()) / 16 + 1)));
    }
  });
}

bool Leadership::held() const { return !p_->leaving && p_->ps.clock.now() < p_->end; }
uint64_t Leadership::term() const { return p_->term; }
pb::LeaderLease Leadership::known() const { return p_->known(); }
Duration Leadership::span() const { return p_->span; }

void Leadership::rest(bool on) { p_->resting = on; }

void Leadership::transfer() {
  bool had = held();
  p_->leaving = true;
  if (had) p_->give_up();
}

}  // namespace dunlinwing::membership
