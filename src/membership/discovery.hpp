/// @file
/// How a node finds the replica set. One that knows none, or has had no read lease for long, asks its seeds
/// and a few of the nodes that it remembers. At the first start of the fleet, when all seeds have answered
/// and none knows a set, the first set is those seeds that have a disk; every node computes the same one.
/// Used by the thread that runs control only.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// Where and how often a node searches.
struct DiscoveryConfig {
  std::string node_name;
  Duration bound{2000};            ///< all periods here are ratios of it
  bool initial_boot = false;       ///< the fleet's first start, and no settings name the replicas
  std::vector<std::string> seeds;  ///< control addresses, HOST:PORT
};

/// What a node states of itself under /v1/self.
struct NodeIdentity {
  std::string name, zone, peer_address;
  bool disk = false;
  pb::ReplicaSet replica_set;  ///< the set it knows; epoch 0: none
};

/// @return nothing when the text is no JSON or lacks the name or the peer address
std::optional<NodeIdentity> parse_node_identity(std::string_view body);

/// The first set, from what each seed has stated of itself.
/// @return nothing when none of them has a disk, or two at different addresses have one name
std::optional<pb::ReplicaSet> first_set(const std::vector<NodeIdentity>& seeds);

/// Of the remembered nodes, so many with a disk and so many others are asked at a time.
inline constexpr size_t kContactsPerKind = 2;

/// The control addresses to ask, drawn at random: all nodes of a fleet may search at the same time, and must
/// not overload each other.
std::vector<std::string> draw_contacts(std::vector<Member> known, base::Random& random);

/// Searches for the replica set whenever this node has lost it.
class Discovery {
 public:
  /// @param local_acceptor  this node's own replica; null: it has none. It and the references have to outlive
  ///                        the task that start() begins
  Discovery(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
            StateCache& state_cache, consensus::Acceptor* local_acceptor);
  ~Discovery();

  /// Starts the task that searches; it never ends.
  void start();

  /// Replaces the seeds.
  void set_seeds(std::vector<std::string> addresses);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
