// The read_lease's span is twice the bound; its holder renews at a quarter of it
// and counts it from before the write, three quarters long. Others count the
// whole span from when they saw the last renewal, so no clocks are compared.
#include "membership/leadership.hpp"

#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("duty");
}

std::string leadership_key(const std::string& n) { return "duty/" + n; }

struct Leadership::Impl {
  base::Ports& ports;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  std::string name, node_name, zone;
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
    for (auto& m : state_cache.statuses().members(ports.clock.now())) {
      if (!m.info.replica() || m.info.drained() || m.name == node_name) continue;
      if (m.info.zone() != zone) return m.name;
      if (other.empty()) other = m.name;
    }
    return other;
  }

  bool put(pb::LeaderLease p, uint64_t expect) {
    TimePoint from = ports.clock.now();
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
    p.set_standby(understudy());
    if (put(p, version)) return;
    auto g = registers.read(leadership_key(name));
    if (auto* h = std::get_if<consensus::VersionedValue>(&g)) {
      pb::LeaderLease now;
      now.ParseFromString(h->data);
      if (now.leader() == node_name && now.term() == term) {
        version = h->version;
        mine = now;
        return;
      }
      end = TimePoint(0);
      logger.warn("{}: the leadership {} passed to {}.", node_name, name,
                  now.leader().empty() ? "nobody" : now.leader());
    }
  }

  void give_up() {
    pb::LeaderLease p = mine;
    p.set_leader("");
    put(p, version);
    end = TimePoint(0);
    logger.info("{}: handed the leadership {} over to {}.", node_name, name, p.standby());
  }

  void stand() {
    auto f = state_cache.chosen().find(leadership_key(name));
    TimePoint now = ports.clock.now();
    uint64_t v = f == state_cache.chosen().end() ? 0 : f->second.version;
    pb::LeaderLease p = known();
    if (v != seen_version || seen == TimePoint(0)) {
      seen_version = v;
      seen = now;
      if (!p.leader().empty()) return;
    }
    Duration wait = span;
    if (p.leader().empty()) wait = Duration(0);
    if (p.leader().empty() && !p.standby().empty() && p.standby() != node_name) wait = span;
    if (!p.leader().empty() && p.standby() != node_name) wait = span * 3 / 2;
    if (now - seen < wait) return;
    pb::LeaderLease n;
    n.set_leader(node_name);
    n.set_term(p.term() + 1);
    n.set_span_ms(static_cast<uint64_t>(span.count()));
    n.set_standby(understudy());
    if (put(n, v)) logger.info("{}: took the leadership {} under term {}.", node_name, name, n.term());
  }
};

Leadership::Leadership(base::Ports& ports, consensus::RegisterClient& registers, StateCache& state_cache,
                       std::string name, std::string node_name, std::string zone, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, std::move(name), std::move(node_name), std::move(zone),
                     bound * 2}) {}
Leadership::~Leadership() = default;

void Leadership::start() {
  impl_->ports.tasks.spawn([p = impl_] {
    while (!p->leaving) {
      bool had = p->ports.clock.now() < p->end;
      if (had && p->resting)
        p->give_up();
      else if (had)
        p->renew();
      else if (p->state_cache.has_read_lease() && !p->resting)
        p->stand();
      p->ports.clock.sleep(p->span / 8 +
                           Duration(p->ports.random.below(static_cast<uint64_t>(p->span.count()) / 16 + 1)));
    }
  });
}

bool Leadership::held() const { return !impl_->leaving && impl_->ports.clock.now() < impl_->end; }
uint64_t Leadership::term() const { return impl_->term; }
pb::LeaderLease Leadership::known_lease() const { return impl_->known(); }
Duration Leadership::span() const { return impl_->span; }

void Leadership::set_passive(bool on) { impl_->resting = on; }

void Leadership::transfer() {
  bool had = held();
  impl_->leaving = true;
  if (had) impl_->give_up();
}

}  // namespace dunlinwing::membership
