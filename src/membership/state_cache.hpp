/// @file
/// A node's view of the fleet's state: it pulls missing state from the replicas, determines which register
/// values are chosen, and holds the read lease. The lease runs from the start of the last good pull; without
/// it the node must not act on any state in this cache.
///
/// A pull queries one replica first, merges its response, and then queries the others concurrently, so that
/// each status is sent once and not by every replica. Nodes are spread over the replicas in this, and return
/// to the replica that they queried first before it failed. It proceeds when all have responded or an eighth
/// of the bound has passed. It is good when a quorum of voting replicas responded completely and every
/// register whose latest ballot is not at a quorum has been completed by a read. chosen() then contains every
/// write that was acknowledged before the pull began.
///
/// The size of a response is bounded, and the next pull continues where it ended: a node that lacks much
/// state, as after a start, receives it even over a slow or busy link.
///
/// Used by the control thread only, except has_read_lease(), read_lease_end() and last_good_pull().
#pragma once
#include <atomic>
#include <set>

#include "consensus/acceptor.hpp"
#include "consensus/register_client.hpp"
#include "membership/replica_responses.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

/// The values of the registers, by name.
using ChosenValues = std::map<std::string, consensus::VersionedValue>;

/// Parameters of a node's view.
struct StateCacheConfig {
  std::string node_name;
  Duration bound{2000};  ///< within which all nodes follow a change; other spans derive from it

  Duration pull_period() const { return bound / 8; }
  Duration read_lease_span() const { return bound * 3 / 4; }
  Duration session_span() const { return bound * 3 / 2; }
  /// How long a replica's response is valid.
  Duration response_lifetime() const { return bound / 4; }
};

/// A node's view of the fleet's state.
class StateCache {
 public:
  /// The references have to outlive the task that start() spawns.
  /// @param local_acceptor   this node's own replica; null: it has none
  /// @param fill_own_status  fills in this node's own status
  /// @param on_good_pull     runs after each good pull
  StateCache(base::Ports& ports, StateCacheConfig config, consensus::RegisterClient& registers,
             consensus::Acceptor* local_acceptor, std::function<void(pb::NodeStatus&)> fill_own_status,
             std::function<void()> on_good_pull);
  ~StateCache();

  /// Spawns the task that pulls; it never ends.
  void start();

  /// Runs one pull, for tests that do not spawn the task.
  /// @return whether it was good
  bool pull_once();

  /// Whether the node may act on the state in this cache. May be called from any thread.
  [[nodiscard]] bool has_read_lease() const;

  /// When the read lease ends; 0: there was none. May be called from any thread.
  TimePoint read_lease_end() const;

  /// When the last good pull began; 0: there was none. May be called from any thread.
  TimePoint last_good_pull() const;

  /// The values as of the last good pull.
  const ChosenValues& chosen() const;
  /// The statuses of nodes, as reported by pulls and by nodes that pull from this one.
  StatusTable& statuses();

  /// Handles a pull on the replica's side. A node without a replica responds as a non-voting one.
  pb::PeerResponse handle_pull(const pb::PeerRequest& request);

  /// The incarnation in the versions of this node's statuses; 0: not known yet.
  uint64_t incarnation() const;

  /// Waits until a pull that began after this call has succeeded.
  /// @return false when the limit passes first
  bool await_pull(Duration limit);

  /// The names of all registers, from a pull that began after this call; nothing if none was good in time.
  std::optional<std::vector<std::string>> register_names(Duration limit);

  /// Whether the replica responded to a pull as a voting replica within the last half of the bound.
  bool is_voting(const std::string& replica) const;

  /// Ages are counted from when this node regained contact with a quorum if there was no response since.
  ReplicaContact contact(const std::string& replica) const;

  /// The registers for which a quorum has accepted a later ballot than `replica`, with that ballot's round.
  std::map<std::string, uint64_t> registers_behind(const std::string& replica) const;

  /// Starts the next pull at once, or as soon as the current one has ended.
  void pull_soon();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
