// All are asked at once, each by a fiber of its own. A relay with a disk, which
// remembers the set over a power cut, also tells seeds that know an older one or
// none, so that those who ask them later find it there.
#include "membership/discovery.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log lg("membership");
constexpr int kSilent = 2;          // bounds without a read lease after which others are asked
constexpr int kChecksPerBound = 4;  // whether to ask others, or (once a bound) to tell the seeds
}  // namespace

namespace {
void read_replicas(const base::Json& list, google::protobuf::RepeatedPtrField<pb::ReplicaEntry>& out) {
  for (auto& item : list.items()) {
    auto* entry = out.Add();
    entry->set_name(item.at("name").str());
    entry->set_address(item.at("address").str());
  }
}
}  // namespace

std::optional<Self> read_self(std::string_view body) {
  auto p = base::Json::parse(body);
  auto* j = std::get_if<base::Json>(&p);
  if (!j) return {};
  Self s{j->at("name").str(), j->at("zone").str(), j->at("peer_address").str(), j->at("disk").flag(), {}};
  if (s.name.empty() || s.peer_address.empty()) return {};
  s.set.set_epoch(static_cast<uint64_t>(std::max<int64_t>(0, j->at("epoch").num())));
  read_replicas(j->at("holders"), *s.set.mutable_holders());
  read_replicas(j->at("previous"), *s.set.mutable_previous());
  return s;
}

std::optional<pb::ReplicaSet> first_set(const std::vector<Self>& seeds) {
  std::map<std::string, std::string> by;
  for (auto& s : seeds) {
    if (!s.disk) continue;
    auto [f, fresh] = by.emplace(s.name, s.peer_address);
    if (!fresh && f->second != s.peer_address) return {};
  }
  if (by.empty()) return {};
  pb::ReplicaSet set;
  set.set_epoch(1);
  for (auto& [n, a] : by) {
    auto* e = set.add_holders();
    e->set_name(n);
    e->set_address(a);
  }
  return set;
}

std::vector<std::string> draw_known(std::vector<Member> known, base::Random& random) {
  for (size_t i = known.size(); i > 1; --i) std::swap(known[i - 1], known[random.below(i)]);
  size_t with_disk = 0, without = 0;
  std::vector<std::string> addresses;
  for (auto& member : known)
    if ((member.fact.disk() ? with_disk : without)++ < kAskedOfEach)
      addresses.push_back(member.fact.http_address());
  return addresses;
}

struct Discovery::Impl {
  base::Ports& ps;
  DiscoveryConfig c;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  consensus::Acceptor* mine;
  std::vector<std::string> origin;   // the seeds of the first start, when this was it
  std::map<std::string, Self> told;  // by those seeds
  TimePoint good{0}, looked{0}, sought{0};
  std::string said;

  Impl(base::Ports& p, DiscoveryConfig cc, consensus::RegisterClient& b, StateCache& m,
       consensus::Acceptor* a)
      : ps(p), c(std::move(cc)), registers(b), state_cache(m), mine(a) {}

  // By address, from all that answer in time.
  std::map<std::string, Self> ask(const std::vector<std::string>& at, Duration limit) {
    struct Table {
      std::map<std::string, Self> got;
      size_t left;
      std::shared_ptr<base::Condition> condition;
    };
    auto t = std::make_shared<Table>(Table{{}, at.size(), ps.tasks.condition()});
    TimePoint end = ps.clock.now() + limit;
    for (auto& a : at)
      ps.tasks.spawn([t, a, limit, this, hold = weak.lock()] {
        auto r = ps.origin.send(a, {"", "GET", "/v1/self", "", {}}, limit);
        auto* x = std::get_if<base::Response>(&r);
        if (x && x->status == 200)
          if (auto s = read_self(x->body)) t->got[a] = *s;
        --t->left;
        t->condition->notify();
      });
    while (t->left && ps.clock.now() < end) t->condition->wait(end - ps.clock.now());
    return t->got;
  }

  void say(const std::string& what) {
    if (what != std::exchange(said, what)) lg.warn("{}: {}", c.me, what);
  }

  bool adopt(const pb::ReplicaSet& s, const std::string& who) {
    if (!registers.set().adopt(s)) return false;
    lg.info("{}: {} the holders of epoch {}, {} of them.", c.me, who, s.epoch(), s.holders_size());
    if (mine) mine->adopt(s);
    return true;
  }

  void look() {
    auto at = c.seeds;
    for (auto& a : origin) at.push_back(a);
    for (auto& address : draw_known(state_cache.statuses().all(ps.clock.now()), ps.random))
      at.push_back(address);
    std::sort(at.begin(), at.end());
    at.erase(std::unique(at.begin(), at.end()), at.end());
    std::erase(at, std::string());
    auto got = ask(at, c.bound / 4);
    const std::pair<const std::string, Self>* best = nullptr;
    for (auto& x : got)
      if (!best || x.second.set.epoch() > best->second.set.epoch()) best = &x;
    if (best && adopt(best->second.set, best->first + " named")) return;
    if (!registers.replicas().empty() || origin.empty()) return;
    for (auto& a : origin)
      if (got.count(a)) told[a] = got[a];
    if (told.size() < origin.size())
      return say("not all seeds have answered yet, so the first set of holders is not known.");
    std::vector<Self> all;
    for (auto& [a, s] : told) all.push_back(s);
    auto set = first_set(all);
    if (!set) return say("no seed has a disk, or two go by one name: there is no first set of holders.");
    adopt(*set, "first start: the seeds with a disk are");
  }

  void tell() {
    auto set = registers.set().message();
    for (auto& [a, s] : ask(c.seeds, c.bound / 4)) {
      if (s.name == c.me || s.set.epoch() >= set.epoch()) continue;
      pb::Ask q;
      *q.mutable_adopt()->mutable_set() = set;
      ps.net.ask(s.peer_address, q, c.bound / 4);
    }
  }

  void run() {
    auto first = mine ? mine->first() : std::nullopt;
    if (first) origin.assign(first->seeds().begin(), first->seeds().end());
    if (!mine && c.first) origin = c.seeds;
    std::sort(origin.begin(), origin.end());
    origin.erase(std::unique(origin.begin(), origin.end()), origin.end());
    good = ps.clock.now();
    for (;;) {
      TimePoint now = ps.clock.now();
      if (state_cache.fresh()) good = now;
      if (registers.replicas().empty()) {
        look();
        ps.clock.sleep(c.bound / 16);
        continue;
      }
      if (now - good >= c.bound * kSilent) {
        if (now - sought >= c.bound) {
          sought = now;
          look();
        }
      } else if (mine && registers.set().epoch() && now - looked >= c.bound) {
        looked = now;
        tell();
      }
      ps.clock.sleep(c.bound / kChecksPerBound);
    }
  }

  std::weak_ptr<Impl> weak;
};

Discovery::Discovery(base::Ports& ps, DiscoveryConfig c, consensus::RegisterClient& b, StateCache& m,
                     consensus::Acceptor* mine)
    : p_(std::make_shared<Impl>(ps, std::move(c), b, m, mine)) {
  p_->weak = p_;
}
Discovery::~Discovery() = default;

void Discovery::start() {
  p_->ps.tasks.spawn([p = p_] { p->run(); });
}

void Discovery::seeds(std::vector<std::string> addresses) { p_->c.seeds = std::move(addresses); }

}  // namespace dunlinwing::membership
