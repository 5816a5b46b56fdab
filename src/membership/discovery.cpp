#include "membership/discovery.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "base/log.hpp"

namespace dunlinwing::membership {
namespace {
constexpr base::Log logger("membership");
constexpr int kBoundsToSearch = 2;     // bounds without a read lease, after which other nodes are queried
constexpr int kChecksPerBound = 4;     // of whether to query other nodes or update the seeds
constexpr int kSearchesPerBound = 16;  // while no replica is known
constexpr int kCallsPerBound = 4;      // each call is limited to a quarter of a bound

void read_replicas(const base::Json& list, google::protobuf::RepeatedPtrField<pb::ReplicaEntry>& replicas) {
  for (const auto& item : list.items()) {
    auto* entry = replicas.Add();
    entry->set_name(item.at("name").string_or());
    entry->set_address(item.at("address").string_or());
  }
}

void sort_unique(std::vector<std::string>& texts) {
  std::sort(texts.begin(), texts.end());
  texts.erase(std::unique(texts.begin(), texts.end()), texts.end());
}
}  // namespace

std::optional<NodeIdentity> parse_node_identity(std::string_view body) {
  auto parsed = base::Json::parse(body);
  auto* json = std::get_if<base::Json>(&parsed);
  if (!json) return {};
  NodeIdentity identity{json->at("name").string_or(),
                        json->at("zone").string_or(),
                        json->at("peer_address").string_or(),
                        json->at("disk").bool_or(),
                        {}};
  if (identity.name.empty() || identity.peer_address.empty()) return {};
  auto epoch = std::max<int64_t>(0, json->at("epoch").integer_or());
  identity.replica_set.set_epoch(static_cast<uint64_t>(epoch));
  read_replicas(json->at("holders"), *identity.replica_set.mutable_replicas());
  read_replicas(json->at("previous"), *identity.replica_set.mutable_previous());
  return identity;
}

std::optional<pb::ReplicaSet> build_first_set(const std::vector<NodeIdentity>& seeds) {
  std::map<std::string, std::string> addresses;  // by name, so that the order is the same on every node
  for (const auto& seed : seeds) {
    if (!seed.disk) continue;
    auto [known, inserted] = addresses.emplace(seed.name, seed.peer_address);
    if (!inserted && known->second != seed.peer_address) return {};
  }
  if (addresses.empty()) return {};
  pb::ReplicaSet set;
  set.set_epoch(1);
  for (const auto& [name, address] : addresses) {
    auto* entry = set.add_replicas();
    entry->set_name(name);
    entry->set_address(address);
  }
  return set;
}

std::vector<std::string> sample_contacts(std::vector<Member> known, base::Random& random) {
  for (size_t i = known.size(); i > 1; --i) std::swap(known[i - 1], known[random.below(i)]);
  size_t with_disk = 0, without = 0;
  std::vector<std::string> addresses;
  for (const auto& member : known)
    if ((member.info.disk() ? with_disk : without)++ < kContactsPerKind)
      addresses.push_back(member.info.http_address());
  return addresses;
}

struct Discovery::Impl : std::enable_shared_from_this<Impl> {
  using Identities = std::map<std::string, NodeIdentity>;  // by the address that was queried

  base::Ports& ports;
  DiscoveryConfig config;
  consensus::RegisterClient& registers;
  StateCache& state_cache;
  consensus::Acceptor* local_acceptor;     ///< null: this node has no replica
  std::vector<std::string> initial_seeds;  ///< the seeds at the fleet's first start; empty at any other start
  Identities initial_identities;           ///< of the initial seeds that have responded so far
  TimePoint last_read_lease{0};            ///< when the read lease was last seen to be valid
  TimePoint last_seed_update{0};           ///< when the seeds were last updated
  TimePoint last_search{0};
  std::string last_warning;  ///< so that the same one is not logged repeatedly

  Impl(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
       StateCache& state_cache, consensus::Acceptor* local_acceptor)
      : ports(ports),
        config(std::move(config)),
        registers(registers),
        state_cache(state_cache),
        local_acceptor(local_acceptor) {}

  Duration call_limit() const { return config.bound / kCallsPerBound; }

  /// The responses to one query(), as they arrive.
  struct Responses {
    Identities identities;
    size_t outstanding;
    std::shared_ptr<base::Condition> condition;
  };

  /// Queries all addresses concurrently, one task each; returns the identities from the responses in time.
  Identities query(const std::vector<std::string>& addresses) {
    auto limit = call_limit();
    auto responses = std::make_shared<Responses>(Responses{{}, addresses.size(), ports.tasks.condition()});
    TimePoint end = ports.clock.now() + limit;
    for (const auto& address : addresses)
      ports.tasks.spawn([self = shared_from_this(), responses, address, limit] {
        auto result = self->ports.origin.send(address, {"", "GET", "/v1/self", "", {}}, limit);
        auto* response = std::get_if<base::Response>(&result);
        if (response && response->status == 200)
          if (auto identity = parse_node_identity(response->body)) responses->identities[address] = *identity;
        --responses->outstanding;
        responses->condition->notify();
      });
    while (responses->outstanding && ports.clock.now() < end)
      responses->condition->wait(end - ports.clock.now());
    return responses->identities;
  }

  void warn_once(const std::string& warning) {
    if (warning != std::exchange(last_warning, warning)) logger.warn("{}: {}", config.node_name, warning);
  }

  /// @param source  how the set was found, for the log
  bool adopt(const pb::ReplicaSet& set, const std::string& source) {
    if (!registers.replica_set().adopt(set)) return false;
    logger.info("{}: {}; adopted the replica set of epoch {} with {} replicas.", config.node_name, source,
                set.epoch(), set.replicas_size());
    if (local_acceptor) local_acceptor->adopt(set);
    return true;
  }

  std::vector<std::string> search_addresses() {
    auto addresses = config.seeds;
    addresses.insert(addresses.end(), initial_seeds.begin(), initial_seeds.end());
    for (auto& address : sample_contacts(state_cache.statuses().all_nodes(ports.clock.now()), ports.random))
      addresses.push_back(std::move(address));
    sort_unique(addresses);
    std::erase(addresses, std::string());
    return addresses;
  }

  /// Queries the seeds and a few other nodes for a later replica set than the known one.
  void search() {
    auto identities = query(search_addresses());
    auto latest = std::max_element(identities.begin(), identities.end(), [](auto& left, auto& right) {
      return left.second.replica_set.epoch() < right.second.replica_set.epoch();
    });
    if (latest != identities.end() &&
        adopt(latest->second.replica_set, latest->first + " has a later replica set"))
      return;
    if (registers.replicas().empty() && !initial_seeds.empty()) form_first_set(identities);
  }

  /// At the fleet's first start: once all initial seeds have responded, those with a disk form the set.
  void form_first_set(const Identities& identities) {
    for (const auto& address : initial_seeds)
      if (auto identity = identities.find(address); identity != identities.end())
        initial_identities[address] = identity->second;
    if (initial_identities.size() < initial_seeds.size())
      return warn_once("not all seeds have responded yet, so the first replica set cannot be formed.");
    std::vector<NodeIdentity> seeds;
    for (const auto& [address, identity] : initial_identities) seeds.push_back(identity);
    auto set = build_first_set(seeds);
    if (!set)
      return warn_once(
          "no seed has a disk, or two seeds have the same name: cannot form the first replica set.");
    adopt(*set, "first start of the fleet: all seeds have responded");
  }

  /// Sends the set to seeds that have an older one or none, so that nodes which query them later find it.
  void update_seeds() {
    auto set = registers.replica_set().message();
    for (const auto& [address, identity] : query(config.seeds)) {
      if (identity.name == config.node_name || identity.replica_set.epoch() >= set.epoch()) continue;
      pb::PeerRequest request;
      *request.mutable_adopt()->mutable_replica_set() = set;
      ports.peers.call(identity.peer_address, request, call_limit());
    }
  }

  void find_initial_seeds() {
    auto first = local_acceptor ? local_acceptor->initial_boot() : std::nullopt;
    if (first) initial_seeds.assign(first->seeds().begin(), first->seeds().end());
    if (!local_acceptor && config.initial_boot) initial_seeds = config.seeds;
    sort_unique(initial_seeds);
  }

  /// Runs one check; returns how long to wait before the next one.
  Duration check() {
    TimePoint now = ports.clock.now();
    if (state_cache.has_read_lease()) last_read_lease = now;
    if (registers.replicas().empty()) {
      search();
      return config.bound / kSearchesPerBound;
    }
    bool lost = now - last_read_lease >= config.bound * kBoundsToSearch;
    // Only a node with a disk still has the set after a power failure.
    bool may_update = local_acceptor && registers.replica_set().epoch();
    if (lost && now - last_search >= config.bound) {
      last_search = now;
      search();
    } else if (!lost && may_update && now - last_seed_update >= config.bound) {
      last_seed_update = now;
      update_seeds();
    }
    return config.bound / kChecksPerBound;
  }

  void run() {
    find_initial_seeds();
    last_read_lease = ports.clock.now();
    for (;;) ports.clock.sleep(check());
  }
};

Discovery::Discovery(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
                     StateCache& state_cache, consensus::Acceptor* local_acceptor)
    : impl_(std::make_shared<Impl>(ports, std::move(config), registers, state_cache, local_acceptor)) {}
Discovery::~Discovery() = default;

void Discovery::start() {
  impl_->ports.tasks.spawn([impl = impl_] { impl->run(); });
}

void Discovery::set_seeds(std::vector<std::string> addresses) { impl_->config.seeds = std::move(addresses); }

}  // namespace dunlinwing::membership
