// Looks at what each relay was asked of late and writes a service's shares when
// they should fall or may rise. After taking the leadership up it does not know when
// shares last fell, and so waits a bound before it lets any rise; nor what is asked
// where, and so lowers none for want of demand until it has looked a few times.
#include "limits/rate_allocator.hpp"

#include "base/log.hpp"
#include "config/numbered_configuration.hpp"

namespace dunlinwing::limits {
namespace {
constexpr base::Log logger("shares");
constexpr double kFresh = 0.3;   // the weight of the latest look at demand
constexpr int kLooks = 3;        // before demand is known well enough
constexpr int kAwayBounds = 15;  // a node away for less is expected back, and its share is kept for it
constexpr int kAwayScarce = 5;   // the same, while more is asked elsewhere than the rate allows
}  // namespace

struct RateAllocator::Impl {
  struct Seen {
    uint64_t incarnation = 0, asked = 0;
    double rate = 0;
    bool known = false;  // the rate
    TimePoint heard{0};
  };
  base::Ports& ports;
  consensus::RegisterClient& registers;
  membership::StateCache& state_cache;
  Duration bound;
  uint64_t term = 0;
  TimePoint last{0};
  int looks = 0;                                            // since the leadership was taken up
  std::map<std::string, std::map<std::string, Seen>> seen;  // service -> node
  std::map<std::string, TimePoint> fell;
  std::map<std::string, int64_t> rates;
  std::string rates_of;
  config::NumberedConfigurationReader orders;

  // The least rate that any layout assigned now states; a rate holds for all.
  void read_rates(const pb::RolloutState& r, const std::map<std::string, config::Release>& releases) {
    if (auto& o = orders.read(state_cache.chosen()); o.number) {
      rates.clear();
      if (o.configuration)
        for (auto& [k, s] : o.configuration->services)
          if (s.rate > 0) rates[k] = std::max<int64_t>(1, static_cast<int64_t>(s.rate));
      return;
    }
    std::map<std::string, bool> names;
    for (auto& [n, a] : r.nodes())
      if (auto f = a.releases().find("layout"); f != a.releases().end()) names[f->second] = true;
    std::string key;
    for (auto& [n, x] : names) key += n + "\n";
    if (key == rates_of) return;
    rates.clear();
    for (auto& [n, x] : names) {
      auto rel = releases.find(config::release_key("layout", n));
      if (rel == releases.end()) return;
      auto l = config::parse_routing_configuration(n, rel->second.content);
      auto* y = std::get_if<std::shared_ptr<const config::RoutingConfiguration>>(&l);
      if (!y) continue;
      for (auto& [k, s] : (*y)->services) {
        if (!s.rate) continue;
        auto [f, fresh] = rates.emplace(k, static_cast<int64_t>(s.rate));
        f->second = std::min(f->second, static_cast<int64_t>(s.rate));
      }
    }
    rates_of = key;
  }

  // Writes the term into the shares, so that what was decided under an earlier one can no longer be
  // written. True when it is in them; the shares are as they were.
  bool take_up(const std::string& svc, pb::RateQuotas shares, uint64_t version,
               const membership::LeadershipFence& fence) {
    if (!version || shares.term() == fence.term()) return fence.allows(shares.term());
    fence.write(registers, quota_key(svc), version, shares.term(), shares);
    return false;  // the next look finds what stands
  }

  void tick(TimePoint now, const pb::RolloutState& r, const std::map<std::string, config::Release>& releases,
            const membership::LeadershipFence& fence) {
    if (term != fence.term()) {
      term = fence.term();
      fell.clear();
      seen.clear();  // counts of long ago
      looks = 0;
      last = now;
    }
    if (now - last < bound / 2) return;
    double dt = static_cast<double>((now - last).count()) / 1000;
    last = now;
    looks = std::min(looks + 1, kLooks);
    read_rates(r, releases);
    auto statuses = state_cache.statuses().latest(now);
    for (auto& [svc, rate] : rates) {
      QuotaInput input;
      input.rate = rate;
      input.bound = bound;
      bool shields = false;
      for (auto& [n, x] : statuses) {
        if (x.node().zone().empty() || x.node().leaving()) continue;
        auto& s = seen[svc][n];
        for (auto& d : x.demands()) {
          if (d.service() != svc) continue;
          if (s.incarnation == x.version().incarnation()) {
            double of_late = static_cast<double>(d.requested() - std::min(d.requested(), s.asked)) / dt;
            s.rate += (s.known ? kFresh : 1) * (of_late - s.rate);
            s.known = true;
          }
          s.asked = d.requested();
          s.incarnation = x.version().incarnation();
        }
        s.heard = now;
        input.demand[n] = s.rate;
        shields |= x.node().shield() && x.node().ready();
      }
      // Shields fetch for all: while nobody has asked yet, they are thought to be asked most.
      double all = 0;
      for (auto& [n, d] : input.demand) all += d;
      if (shields && all < 1)
        for (auto& [n, d] : input.demand)
          if (statuses.at(n).node().shield()) d = 1;
      // A node that is restarted asks for as much as before once it is back; were its
      // share given away meanwhile, it would have to wait for others' to fall.
      auto have = state_cache.chosen().find(quota_key(svc));
      pb::RateQuotas quotas;
      if (have != state_cache.chosen().end()) quotas.ParseFromString(have->second.data);
      auto version = have == state_cache.chosen().end() ? 0 : have->second.version;
      if (!take_up(svc, quotas, version, fence)) continue;
      double asked = 0;
      for (auto& [n, d] : input.demand) asked += d;
      auto kept = bound * (asked > static_cast<double>(rate) ? kAwayScarce : kAwayBounds);
      double told = 0, held = 0;  // of those whose demand is known: it, and their shares
      for (auto& [n, m] : quotas.milli_requests())
        if (auto& s = seen[svc][n]; s.known) told += s.rate, held += m;
      for (auto& [n, m] : quotas.milli_requests()) {
        auto& s = seen[svc][n];
        if (s.heard == TimePoint(0)) s.heard = now;
        bool away = now - s.heard < kept;
        if (!input.demand.count(n) && !away) continue;
        // Whose demand is not known asks as its share says.
        input.demand[n] = s.known ? s.rate : m * (held > 0 ? told / held : 0.001);
      }
      auto& f = fell[svc];
      if (f == TimePoint(0)) f = now;
      if (looks < kLooks && quotas.milli_requests_size() && quotas.rate() <= static_cast<uint32_t>(rate))
        continue;
      input.since_decrease = now - f;
      write(svc, input, quotas, version, fence);
    }
  }

  void write(const std::string& svc, const QuotaInput& input, const pb::RateQuotas& have, uint64_t version,
             const membership::LeadershipFence& fence) {
    auto o = step(have, input);
    if (!o.decreased && !o.increased) return;
    // Whatever becomes of the write, what it lowers may have been lowered now.
    bool written = fence.write(registers, quota_key(svc), version, have.term(), o.quotas).has_value();
    if (o.decreased || !written) fell[svc] = ports.clock.now();
    logger.debug("Shares of {} were {} for {} nodes.", svc, o.decreased ? "lowered" : "raised",
                 o.quotas.milli_requests_size());
  }
};

RateAllocator::RateAllocator(base::Ports& ports, consensus::RegisterClient& registers,
                             membership::StateCache& state_cache, Duration bound)
    : impl_(new Impl{ports, registers, state_cache, bound}) {}
RateAllocator::~RateAllocator() = default;
void RateAllocator::tick(TimePoint now, const pb::RolloutState& r,
                         const std::map<std::string, config::Release>& rs,
                         const membership::LeadershipFence& fence) {
  impl_->tick(now, r, rs, fence);
}

}  // namespace dunlinwing::limits
