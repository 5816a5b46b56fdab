/// @file
/// How a node finds the replica set. A node that knows none, or has had no read lease for a long time,
/// queries its seeds and a few of the nodes that it remembers. At the first start of the fleet, once all
/// seeds have responded and none knows a set, the seeds with a disk form the first set; every node computes
/// the same one. Used by the control thread only.
#pragma once
#include "membership/state_cache.hpp"

namespace dunlinwing::membership {

/// Which addresses a node queries, and how often.
struct DiscoveryConfig {
  std::string node_name;
  Duration bound{2000};            ///< all periods here are fractions of it
  bool initial_boot = false;       ///< first start of the fleet, and the settings name no replicas
  std::vector<std::string> seeds;  ///< control addresses, IP:port
};

/// What a node reports about itself under /v1/self.
struct NodeIdentity {
  std::string name, zone, peer_address;
  bool disk = false;
  pb::ReplicaSet replica_set;  ///< the set it knows; epoch 0: none
};

/// @return nothing when the text is not JSON or lacks the name or the peer address
std::optional<NodeIdentity> parse_node_identity(std::string_view body);

/// Computes the first set from the identities that the seeds reported.
/// @return nothing when none of them has a disk, or two at different addresses share a name
std::optional<pb::ReplicaSet> build_first_set(const std::vector<NodeIdentity>& seeds);

/// Number of remembered nodes with a disk, and of those without one, that are queried at a time.
inline constexpr size_t kContactsPerKind = 2;

/// The control addresses to query, chosen at random: all nodes of a fleet may search at the same time, and
/// must not overload each other.
std::vector<std::string> sample_contacts(std::vector<Member> known, base::Random& random);

/// Searches for the replica set whenever this node has lost it.
class Discovery {
 public:
  /// @param local_acceptor  this node's own replica; null: it has none. It and the references have to outlive
  ///                        the task that start() spawns
  Discovery(base::Ports& ports, DiscoveryConfig config, consensus::RegisterClient& registers,
            StateCache& state_cache, consensus::Acceptor* local_acceptor);
  ~Discovery();

  /// Spawns the task that searches; it never ends.
  void start();

  /// Replaces the seeds.
  void set_seeds(std::vector<std::string> addresses);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
