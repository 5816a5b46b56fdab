// Looks at what each relay was asked of late and writes a service's shares when
// they should fall or may rise. After taking the leadership up it does not know when
// shares last fell, and so waits a bound before it lets any rise; nor what is asked
// where, and so lowers none for want of demand until it has looked a few times.
#include "rollout/pacer.hpp"

#include "base/log.hpp"
#include "traffic/order.hpp"

namespace dunlinwing::rollout {
namespace {
constexpr base::Log lg("shares");
constexpr double kFresh = 0.3;   // the weight of the latest look at demand
constexpr int kLooks = 3;        // before demand is known well enough
constexpr int kAwayBounds = 15;  // a node away for less is expected back, and its share is kept for it
constexpr int kAwayScarce = 5;   // the same, while more is asked elsewhere than the rate allows
}  // namespace

struct Pacer::Impl {
  struct Seen {
    uint64_t incarnation = 0, asked = 0;
    double rate = 0;
    bool known = false;  // the rate
    TimePoint heard{0};
  };
  base::Ports& ps;
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
  traffic::Orders orders;

  // The least rate that any layout assigned now states; a rate holds for all.
  void read_rates(const pb::Rollout& r, const std::map<std::string, Release>& releases) {
    if (auto& o = orders.look(state_cache.chosen()); o.number) {
      rates.clear();
      if (o.layout)
        for (auto& [k, s] : o.layout->services)
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
      auto rel = releases.find(release_key("layout", n));
      if (rel == releases.end()) return;
      auto l = traffic::read_layout(n, rel->second.content);
      auto* y = std::get_if<std::shared_ptr<const traffic::Layout>>(&l);
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
  bool take_up(const std::string& svc, pb::Shares shares, uint64_t version, const Fence& fence) {
    if (!version || shares.term() == fence.term()) return fence.allows(shares.term());
    fence.write(registers, share_key(svc), version, shares.term(), shares);
    return false;  // the next look finds what stands
  }

  void tick(TimePoint now, const pb::Rollout& r, const std::map<std::string, Release>& releases,
            const Fence& fence) {
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
      ShareSight v;
      v.rate = rate;
      v.bound = bound;
      bool shields = false;
      for (auto& [n, x] : statuses) {
        if (x.node().zone().empty() || x.node().leaving()) continue;
        auto& s = seen[svc][n];
        for (auto& d : x.demands()) {
          if (d.service() != svc) continue;
          if (s.incarnation == x.mark().incarnation()) {
            double of_late = static_cast<double>(d.asked() - std::min(d.asked(), s.asked)) / dt;
            s.rate += (s.known ? kFresh : 1) * (of_late - s.rate);
            s.known = true;
          }
          s.asked = d.asked();
          s.incarnation = x.mark().incarnation();
        }
        s.heard = now;
        v.demand[n] = s.rate;
        shields |= x.node().shield() && x.node().ready();
      }
      // Shields fetch for all: while nobody has asked yet, they are thought to be asked most.
      double all = 0;
      for (auto& [n, d] : v.demand) all += d;
      if (shields && all < 1)
        for (auto& [n, d] : v.demand)
          if (statuses.at(n).node().shield()) d = 1;
      // A node that is restarted asks for as much as before once it is back; were its
      // share given away meanwhile, it would have to wait for others' to fall.
      auto have = state_cache.chosen().find(share_key(svc));
      pb::Shares sh;
      if (have != state_cache.chosen().end()) sh.ParseFromString(have->second.data);
      auto version = have == state_cache.chosen().end() ? 0 : have->second.version;
      if (!take_up(svc, sh, version, fence)) continue;
      double asked = 0;
      for (auto& [n, d] : v.demand) asked += d;
      auto kept = bound * (asked > static_cast<double>(rate) ? kAwayScarce : kAwayBounds);
      double told = 0, held = 0;  // of those whose demand is known: it, and their shares
      for (auto& [n, m] : sh.milli())
        if (auto& s = seen[svc][n]; s.known) told += s.rate, held += m;
      for (auto& [n, m] : sh.milli()) {
        auto& s = seen[svc][n];
        if (s.heard == TimePoint(0)) s.heard = now;
        bool away = now - s.heard < kept;
        if (!v.demand.count(n) && !away) continue;
        // Whose demand is not known asks as its share says.
        v.demand[n] = s.known ? s.rate : m * (held > 0 ? told / held : 0.001);
      }
      auto& f = fell[svc];
      if (f == TimePoint(0)) f = now;
      if (looks < kLooks && sh.milli_size() && sh.rate() <= static_cast<uint32_t>(rate)) continue;
      v.since_fall = now - f;
      write(svc, v, sh, version, fence);
    }
  }

  void write(const std::string& svc, const ShareSight& v, const pb::Shares& have, uint64_t version,
             const Fence& fence) {
    auto o = step(have, v);
    if (!o.fell && !o.rose) return;
    // Whatever becomes of the write, what it lowers may have been lowered now.
    bool written = fence.write(registers, share_key(svc), version, have.term(), o.shares).has_value();
    if (o.fell || !written) fell[svc] = ps.clock.now();
    lg.debug("Shares of {} were {} for {} nodes.", svc, o.fell ? "lowered" : "raised", o.shares.milli_size());
  }
};

Pacer::Pacer(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, Duration bound)
    : p_(new Impl{ps, b, m, bound}) {}
Pacer::~Pacer() = default;
void Pacer::tick(TimePoint now, const pb::Rollout& r, const std::map<std::string, Release>& rs,
                 const Fence& fence) {
  p_->tick(now, r, rs, fence);
}

}  // namespace dunlinwing::rollout
