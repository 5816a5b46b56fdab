// Assumed one-way latencies: 1 to 3 ms in a zone, 3 to 10 in a region, 20 to 120 between
// regions. A write takes two rounds of the global replica set. A configuration of 2000 bytes
// is written 12000 times a day; each pull of a node also carries 50 bytes: the changes of its
// own zone and the sums of its region. Processor time is not modelled.
#include "tree.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace dunlinwing::measure {
namespace {
constexpr int kAsk = 24, kReply = 24, kScoped = 50, kLayout = 2000;  // bytes, including the frame
constexpr double kChanges = 12000.0 / 86400;
constexpr double kPermit = 1500;  // three quarters of the bound
constexpr int kGiveUp = 125;      // ms without a reply before the other parent is queried

struct Peer {
  int level = 0, region = 0;
  std::vector<int> parents;  // empty: a server, which reads a majority of the voting servers
  size_t now = 0;            // index of the current parent
  size_t have = 0;
  double proof = -1e9;  // everything acknowledged before this time is known here
  double bytes = 0, messages = 0, served = 0;
  double before = 0;  // bytes at the time when the region was reconnected
  bool dead = false;
};

struct Model {
  Tree t;
  std::mt19937_64 rng;
  std::vector<Peer> ps;
  std::vector<double> requested_at, acknowledged_at,
      weight;                   // by number: request time, acknowledgement time, cumulative bytes
  double now = 0, from = 1e18;  // `from`: start of the measurement
  int isolated_region = -1;
  double joined = 0, repaired = -1, heaviest = 0;
  size_t all = 0;
  Distribution done, age;
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> f;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  std::priority_queue<Event> q;
  uint64_t order = 0;

  Model(uint64_t seed, const Tree& x) : t(x), rng(seed) {}
  double draw(double a, double b) { return std::uniform_real_distribution<double>(a, b)(rng); }
  void at(double when, std::function<void()> f) { q.push({when, order++, std::move(f)}); }

  double draw_latency(const Peer& a, const Peer& b) {
    if (a.region != b.region || a.level == 0 || b.level == 0) return draw(20, 120);
    return a.level == 1 || b.level == 1 ? draw(3, 10) : draw(1, 3);
  }
  bool cut(const Peer& a, const Peer& b) {
    return isolated_region >= 0 && (a.region == isolated_region) != (b.region == isolated_region);
  }

  int add(int level, int region, std::vector<int> parents) {
    Peer p;
    p.level = level;
    p.region = region;
    p.parents = std::move(parents);
    if (!p.parents.empty()) p.now = rng() % p.parents.size();
    ps.push_back(p);
    return static_cast<int>(ps.size()) - 1;
  }

  void build() {
    std::vector<int> top;
    for (int i = 0; i < t.servers; ++i) top.push_back(add(0, -1, {}));
    std::vector<std::vector<int>> reg(static_cast<size_t>(t.regions), top);
    if (t.by_region)
      for (int r = 0; r < t.regions; ++r) {
        std::vector<int> v;
        for (int i = 0; i < 2; ++i) v.push_back(add(1, r, top));
        reg[static_cast<size_t>(r)] = v;
      }
    for (int z = 0; z < t.zones; ++z) {
      int r = z % t.regions, n = t.nodes / t.zones + (z < t.nodes % t.zones);
      auto above = reg[static_cast<size_t>(r)];
      std::vector<int> mine = above, in;
      if (t.by_zone) {
        mine.clear();
        for (int i = 0; i < 2; ++i) mine.push_back(add(2, r, above));
      }
      for (int i = 0; i < n; ++i) {
        // In a tree of ordinary nodes, each pulls from one of two nodes added before it.
        std::vector<int> p = mine;
        if (t.fan && i >= 2 * t.fan)
          p = {in[static_cast<size_t>(i / t.fan - 1)], in[static_cast<size_t>(i / t.fan - 2)]};
        in.push_back(add(3, r, p));
      }
    }
  }

  size_t acknowledged() const {
    return static_cast<size_t>(std::upper_bound(acknowledged_at.begin(), acknowledged_at.end(), now) -
                               acknowledged_at.begin());
  }

  void pull(int i) {
    auto& c = ps[static_cast<size_t>(i)];
    if (c.dead) return;
    double began = now;
    if (c.parents.empty()) {  // a server: the slowest of three of the five voting servers
      double w = std::max({draw(20, 120), draw(20, 120), draw(20, 120)});
      at(now + w, [this, i, w, began] {
        auto n = acknowledged();
        at(now + w, [this, i, n, began] {
          auto& c = ps[static_cast<size_t>(i)];
          c.have = std::max(c.have, n);
          c.proof = began;
          at(std::max(now, began + t.pull_ms), [this, i] { pull(i); });
        });
      });
      return;
    }
    int up = c.parents[c.now];
    auto& p = ps[static_cast<size_t>(up)];
    c.bytes += kAsk, ++c.messages;
    if (p.dead || cut(c, p)) {
      at(now + kGiveUp, [this, i] {
        auto& c = ps[static_cast<size_t>(i)];
        c.now = (c.now + 1) % c.parents.size();
        pull(i);
      });
      return;
    }
    double w = draw_latency(c, p), seen = static_cast<double>(c.have);
    at(now + w, [this, i, up, w, began, seen] {
      auto& p = ps[static_cast<size_t>(up)];
      auto have = p.have;
      double proof = p.proof, b = kReply + (ps[static_cast<size_t>(i)].level == 3 ? kScoped : 0);
      if (have > seen) b += weight[have] - weight[static_cast<size_t>(seen)];
      p.bytes += b + kAsk, p.messages += 2, ++p.served;
      at(now + w, [this, i, have, proof, b, began] {
        auto& c = ps[static_cast<size_t>(i)];
        c.bytes += b, ++c.messages;
        c.have = std::max(c.have, have);
        c.proof = std::max(c.proof, proof);
        at(std::max(now, began + t.pull_ms), [this, i] { pull(i); });
      });
    });
  }

  bool counts(const Peer& p) const { return p.level == 3 && !p.dead && p.region != isolated_region; }

  void check_nodes() {
    size_t least = SIZE_MAX;
    double oldest = 0;
    for (auto& p : ps)
      if (counts(p)) {
        least = std::min(least, p.have);
        oldest = std::max(oldest, now - p.proof);
      }
    if (joined > 0 && repaired < 0) {
      bool ok = oldest < kPermit && least >= all;
      if (ok) repaired = now - joined;
      for (auto& p : ps)
        if (ok && p.level == 3) heaviest = std::max(heaviest, p.bytes - p.before);
    }
    if (now > from && (joined == 0 || repaired >= 0)) age.add(oldest);
    for (; all < least; ++all)
      if (requested_at[all] > from) done.add(now - requested_at[all]);
    at(now + 10, [this] { check_nodes(); });
  }

  void statuses(double end) {
    std::vector<std::pair<double, double>> v;
    for (double x = 0; x < end; x += std::exponential_distribution<double>(t.purges / 1000)(rng))
      v.emplace_back(x, t.entry_bytes);
    for (double x = 0; x < end; x += std::exponential_distribution<double>(kChanges / 1000)(rng))
      v.emplace_back(x, kLayout);
    std::sort(v.begin(), v.end());
    weight.push_back(0);
    double last = 0;
    for (auto& [x, b] : v) {
      requested_at.push_back(x);
      last = std::max(last, x + draw(20, 120) * 4);
      acknowledged_at.push_back(last);
      weight.push_back(weight.back() + b);
    }
  }
};
}  // namespace

Figures tree(uint64_t seed, const Tree& t) {
  Model m(seed, t);
  m.build();
  double warm = 3000, end = warm + t.seconds * 1000.0;
  m.statuses(end);
  for (size_t i = 0; i < m.ps.size(); ++i)
    m.at(m.draw(0, t.pull_ms), [&m, i] { m.pull(static_cast<int>(i)); });
  m.at(10, [&m] { m.check_nodes(); });
  m.at(warm, [&m] {
    m.from = m.now;
    for (auto& p : m.ps) p.bytes = p.messages = p.served = 0;
  });
  m.at(warm + t.seconds * 500.0, [&m, &t] {
    for (size_t i = 0; t.fault == "parents" && i < m.ps.size(); i += 1)
      if ((m.ps[i].level == 1 || m.ps[i].level == 2) && i % 2) m.ps[i].dead = true;
  });
  if (t.fault == "region") {
    m.at(warm + t.seconds * 100.0, [&m] { m.isolated_region = 0; });
    m.at(warm + t.seconds * 900.0, [&m] {
      m.isolated_region = -1;
      m.joined = m.now;
      for (auto& p : m.ps) p.before = p.bytes;
    });
  }
  while (!m.q.empty() && m.q.top().at < end) {
    auto e = m.q.top();
    m.q.pop();
    m.now = e.at;
    e.f();
  }
  Figures o;
  Distribution by[4], served[4], msgs[4];
  for (auto& p : m.ps) {
    by[p.level].add(p.bytes / t.seconds);
    served[p.level].add(p.served / t.seconds);
    msgs[p.level].add(p.messages / t.seconds);
  }
  const char* names[] = {"server", "region", "zone", "node"};
  for (int l = 0; l < 4; ++l) {
    if (!by[l].count()) continue;
    o[fmt::format("{}_bytes_p50", names[l])] = by[l].at(0.5);
    o[fmt::format("{}_bytes_worst", names[l])] = by[l].most();
    o[fmt::format("{}_messages", names[l])] = msgs[l].at(0.5);
    o[fmt::format("{}_served_worst", names[l])] = served[l].most();
  }
  o["everywhere"] = static_cast<double>(m.done.count());
  o["everywhere_p50_ms"] = m.done.at(0.5);
  o["everywhere_most_ms"] = m.done.most();
  o["oldest_p50_ms"] = m.age.at(0.5);
  o["oldest_most_ms"] = m.age.most();
  if (m.repaired >= 0) {
    o["repaired_ms"] = m.repaired;
    o["repair_bytes"] = m.heaviest;
  }
  o["ended"] = 1;
  return o;
}

}  // namespace dunlinwing::measure
