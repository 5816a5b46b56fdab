// All are asked at once, each by a fiber of its own. A relay with a disk, which
// remembers the set over a power cut, also tells seeds that know an older one or
// none, so that those who ask them later find it there.
#include "membership/discovery.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");
constexpr int kSilent = 2;          // bounds without a read lease after which others are asked
constexpr int kChecksPerBound = 4;  // whether to ask others, or (once a bound) to tell the seeds
}  // namespace

namespace {
void read_replicas(const base::Json& list, google::protobuf::RepeatedPtrField<pb::ReplicaEntry>& out) {
  for (auto& item : list.items()) {
    auto* entry = out.Add();
    entry->set_name(item.at("name").string_or());
    entry->set_address(item.at("address").string_or());
  }
}
}  // namespace

std::optional<NodeIdentity> parse_node_identity(std::string_view body) {
  auto p = base::Json::parse(body);
  auto* j = std::get_if<base::Json>(&p);
  if (!j) return {};
  NodeIdentity s{j->at("name").string_or(),
                 j->at("zone").string_or(),
                 j->at("peer_address").string_or(),
                 j->at("disk").bool_or(),
                 {}};
  if (s.name.empty() || s.peer_address.empty()) return {};
  s.replica_set.set_epoch(static_cast<uint64_t>(std::max<int64_t>(0, j->at("epoch").integer_or())));
  read_replicas(j->at("holders"), *s.replica_set.mutable_replicas());
  read_replicas(j->at("previous"), *s.replica_set.mutable_previous());
  return s;
}

std::optional<pb::ReplicaSet> first_set(const std::vector<NodeIdentity>& seeds) {
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
    auto* e = set.add_replicas();
    e->set_name(n);
    e->set_address(a);
  }
  return set;
}

std::vector<std::string> draw_contacts(std::vector<Member> known, base::Random& random) {
  for (size_t i = known.size(); i > 1; --i) std::swap(known[i - 1], known[random.below(i)]);
  size_t with_disk = 0, without = 0;
  std::vector<std::string> addresses;
  for (auto& member : known)
    if ((member.info.disk() ? with_disk : without)++ < kContactsPerKind)
      addresses.push_back(member.info.http_address());
  return addresses;
}

struct Discovery::Impl {
  base::Ports& ports;
  DiscoveryConfig config;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  consensus::Acceptor* mine;
  std::vector<std::string> origin;           // the seeds of the first start, when this was it
  std::map<std::string, NodeIdentity> told;  // by those seeds
  TimePoint good{0}, looked{0}, sought{0};
  std::string said;

  Impl(base::Ports& ports, DiscoveryConfig cc, consensus::RegisterClient& b, StateCache& m,
       consensus::Acceptor* a)
      : ports(ports), config(std::move(cc)), registers(b), state_cache(m), mine(a) {}

  // By address, from all that answer in time.
  std::map<std::string, NodeIdentity> ask(const std::vector<std::string>& at, Duration limit) {
    struct Table {
      std::map<std::string, NodeIdentity> got;
      size_t left;
      std::shared_ptr<base::Condition> condition;
    };
    auto t = std::make_shared<Table>(Table{{}, at.size(), ports.tasks.condition()});
    TimePoint end = ports.clock.now() + limit;
    for (auto& a : at)
      ports.tasks.spawn([t, a, limit, this, hold = weak.lock()] {
        auto r = ports.origin.send(a, {"", "GET", "/v1/self", "", {}}, limit);
        auto* x = std::get_if<base::Response>(&r);
        if (x && x->status == 200)
          if (auto s = parse_node_identity(x->body)) t->got[a] = *s;
        --t->left;
        t->condition->notify();
      });
    while (t->left && ports.clock.now() < end) t->condition->wait(end - ports.clock.now());
    return t->got;
  }

  void say(const std::string& what) {
    if (what != std::exchange(said, what)) logger.warn("{}: {}", config.node_name, what);
  }

  bool adopt(const pb::ReplicaSet& set, const std::string& who) {
    if (!registers.set().adopt(set)) return false;
    logger.info("{}: {} the holders of epoch {}, {} of them.", config.node_name, who, set.epoch(),
                set.replicas_size());
    if (mine) mine->adopt(set);
    return true;
  }

  void look() {
    auto at = config.seeds;
    for (auto& a : origin) at.push_back(a);
    for (auto& address : draw_contacts(state_cache.statuses().all(ports.clock.now()), ports.random))
      at.push_back(address);
    std::sort(at.begin(), at.end());
    at.erase(std::unique(at.begin(), at.end()), at.end());
    std::erase(at, std::string());
    auto got = ask(at, config.bound / 4);
    const std::pair<const std::string, NodeIdentity>* best = nullptr;
    for (auto& x : got)
      if (!best || x.second.replica_set.epoch() > best->second.replica_set.epoch()) best = &x;
    if (best && adopt(best->second.replica_set, best->first + " named")) return;
    if (!registers.replicas().empty() || origin.empty()) return;
    for (auto& a : origin)
      if (got.count(a)) told[a] = got[a];
    if (told.size() < origin.size())
      return say("not all seeds have answered yet, so the first set of holders is not known.");
    std::vector<NodeIdentity> all;
    for (auto& [a, s] : told) all.push_back(s);
    auto set = first_set(all);
    if (!set) return say("no seed has a disk, or two go by one name: there is no first set of holders.");
    adopt(*set, "first start: the seeds with a disk are");
  }

  void tell() {
    auto set = registers.set().message();
    for (auto& [a, s] : ask(config.seeds, config.bound / 4)) {
      if (s.name == config.node_name || s.replica_set.epoch() >= set.epoch()) continue;
      pb::PeerRequest q;
      *q.mutable_adopt()->mutable_replica_set() = set;
      ports.peers.call(s.peer_address, q, config.bound / 4);
    }
  }

  void run() {
    auto first = mine ? mine->initial_boot() : std::nullopt;
    if (first) origin.assign(first->seeds().begin(), first->seeds().end());
    if (!mine && config.initial_boot) origin = config.seeds;
    std::sort(origin.begin(), origin.end());
    origin.erase(std::unique(origin.begin(), origin.end()), origin.end());
    good = ports.clock.now();
    for (;;) {
      TimePoint now = ports.clock.now();
      if (state_cache.has_read_lease()) good = now;
      if (registers.replicas().empty()) {
        look();
        ports.clock.sleep(config.bound / 16);
        continue;
      }
      if (now - good >= config.bound * kSilent) {
        if (now - sought >= config.bound) {
          sought = now;
          look();
        }
      } else if (mine && registers.set().epoch() && now - looked >= config.bound) {
        looked = now;
        tell();
      }
      ports.clock.sleep(config.bound / kChecksPerBound);
    }
  }

  std::weak_ptr<Impl> weak;
};

Discovery::Discovery(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
                     StateCache& state_cache, consensus::Acceptor* mine)
    : impl_(std::make_shared<Impl>(ports, std::move(config), registers, state_cache, mine)) {
  impl_->weak = impl_;
}
Discovery::~Discovery() = default;

void Discovery::start() {
  impl_->ports.tasks.spawn([p = impl_] { p->run(); });
}

void Discovery::seeds(std::vector<std::string> addresses) { impl_->config.seeds = std::move(addresses); }

}  // namespace dunlinwing::membership
