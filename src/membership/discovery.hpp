// How a relay comes to know the replica set. One that knows none, or has had no read lease
// for long, asks its seeds and a few of the relays it once heard of. At the
// first start of the fleet, when all seeds have answered and none knows a set, the
// first set is those seeds that have a disk; every relay finds the same one.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

struct DiscoveryConfig {
  std::string node_name;
  Duration bound{2000};
  bool initial_boot = false;  // the fleet's first start, and no settings name the holders
  std::vector<std::string> seeds;
};

// What a relay tells of itself.
struct NodeIdentity {
  std::string name, zone, peer_address;
  bool disk = false;
  pb::ReplicaSet replica_set;
};
std::optional<NodeIdentity> parse_node_identity(std::string_view body);

// The first set, from what each seed has told of itself; nothing when none of them
// has a disk, or two that differ go by one name.
std::optional<pb::ReplicaSet> first_set(const std::vector<NodeIdentity>& seeds);

// Of the nodes once heard of, so many with a disk and so many others are asked at a time.
inline constexpr size_t kContactsPerKind = 2;
// The control addresses to ask, drawn by lot: all nodes of a fleet may seek at the same time,
// and must not drown each other.
std::vector<std::string> draw_contacts(std::vector<Member> known, base::Random& random);

class Discovery {
 public:
  Discovery(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
            StateCache& state_cache, consensus::Acceptor* mine);
  ~Discovery();
  void start();
  void seeds(std::vector<std::string> addresses);  // in place of those of now

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
