// How a relay comes to know the replica set. One that knows none, or has had no read lease
// for long, asks its seeds and a few of the relays it once heard of. At the
// first start of the fleet, when all seeds have answered and none knows a set, the
// first set is those seeds that have a disk; every relay finds the same one.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

struct DiscoveryConfig {
  std::string me;
  Duration bound{2000};
  bool first = false;  // the fleet's first start, and no settings name the holders
  std::vector<std::string> seeds;
};

// What a relay tells of itself.
struct Self {
  std::string name, zone, peer_address;
  bool disk = false;
  pb::ReplicaSet set;
};
std::optional<Self> read_self(std::string_view body);

// The first set, from what each seed has told of itself; nothing when none of them
// has a disk, or two that differ go by one name.
std::optional<pb::ReplicaSet> first_set(const std::vector<Self>& seeds);

// Of the nodes once heard of, so many with a disk and so many others are asked at a time.
inline constexpr size_t kAskedOfEach = 2;
// The control addresses to ask, drawn by lot: all nodes of a fleet may seek at the same time,
// and must not drown each other.
std::vector<std::string> draw_known(std::vector<Member> known, base::Random& random);

class Discovery {
 public:
  Discovery(base::Ports& ps, DiscoveryConfig c, consensus::RegisterClient& b, StateCache& m,
            consensus::Acceptor* mine);
  ~Discovery();
  void start();
  void seeds(std::vector<std::string> addresses);  // in place of those of now

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::membership
