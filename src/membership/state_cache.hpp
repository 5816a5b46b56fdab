// A node's view of the fleet's state: it pulls from the replicas what it lacks,
// settles which register values are chosen, and holds the read lease.
// The lease runs from the start of the last good pull; without it the node
// must act on nothing it has here.
#pragma once
#include <atomic>
#include <set>

#include "consensus/acceptor.hpp"
#include "consensus/register_client.hpp"
#include "membership/replica_responses.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

using ChosenValues = std::map<std::string, consensus::VersionedValue>;

struct StateCacheConfig {
  std::string node_name;
  Duration bound{2000};  // the 2-second bound; every other span here is a ratio of it
  Duration pull_period() const { return bound / 8; }
  Duration read_lease_span() const { return bound * 3 / 4; }
  Duration session_span() const { return bound * 3 / 2; }
  Duration response_lifetime() const { return bound / 4; }  // how long a replica's answer counts
};

class StateCache {
 public:
  // `own` fills in what this node says of itself; `seen` runs after each good pull.
  StateCache(base::Ports& ports, StateCacheConfig config, consensus::RegisterClient& registers,
             consensus::Acceptor* mine, std::function<void(pb::NodeStatus&)> own, std::function<void()> seen);
  ~StateCache();
  void start();
  bool pull_once();                  // one pull; true when good
  bool has_read_lease() const;       // from any thread
  TimePoint read_lease_end() const;  // from any thread
  const ChosenValues& chosen() const;
  StatusTable& statuses();
  pb::PeerResponse handle_pull(const pb::PeerRequest& pull);  // a replica's side of a pull
  uint64_t incarnation() const;
  // Parks until a pull that began after this call was good, or time is up.
  bool await_pull(Duration limit);
  // The names of all registers, from a pull that began after this call.
  std::optional<std::vector<std::string>> register_names(Duration limit);
  // Whether it answered a pull in the last half of the bound, and not as mute.
  bool is_voting(const std::string& replica) const;
  // Counted from when this node's contact with a quorum began, where it was none since.
  ReplicaContact contact(const std::string& replica) const;
  // The registers of which a quorum has accepted a later ballot than `replica`, each with the
  // round of that ballot.
  std::map<std::string, uint64_t> registers_behind(const std::string& replica) const;
  void pull_soon();  // the next pull begins at once, or as soon as the one under way has ended

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace dunlinwing::membership
