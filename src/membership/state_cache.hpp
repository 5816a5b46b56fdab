// A node's view of the fleet's state: it pulls from the replicas what it lacks,
// settles which register values are chosen, and holds the read lease.
// The lease runs from the start of the last good pull; without it the node
// must act on nothing it has here.
#pragma once
#include <atomic>
#include <set>

#include "consensus/acceptor.hpp"
#include "consensus/register_client.hpp"
#include "membership/replica_answers.hpp"
#include "membership/status_table.hpp"

namespace dunlinwing::membership {

using Chosen = std::map<std::string, consensus::VersionedValue>;

struct StateCacheConfig {
  std::string me;
  Duration bound{2000};  // the 2-second bound; every other span here is a ratio of it
  Duration pull() const { return bound / 8; }
  Duration read_lease() const { return bound * 3 / 4; }
  Duration session() const { return bound * 3 / 2; }
  Duration word_limit() const { return bound / 4; }  // how long a replica's answer counts
};

class StateCache {
 public:
  // `own` fills in what this node says of itself; `seen` runs after each good pull.
  StateCache(base::Ports& ps, StateCacheConfig c, consensus::RegisterClient& registers,
             consensus::Acceptor* mine, std::function<void(pb::NodeStatus&)> own, std::function<void()> seen);
  ~StateCache();
  void start();
  bool once();                       // one pull; true when good
  bool fresh() const;                // from any thread
  TimePoint read_lease_end() const;  // from any thread
  const Chosen& chosen() const;
  StatusTable& statuses();
  pb::Reply answer(const pb::Ask& pull);  // a replica's side of a pull
  uint64_t incarnation() const;
  // Parks until a pull that began after this call was good, or time is up.
  bool settle(Duration limit);
  // The names of all registers, from a pull that began after this call.
  std::optional<std::vector<std::string>> names(Duration limit);
  // Whether it answered a pull in the last half of the bound, and not as mute.
  bool votes(const std::string& replica) const;
  // Counted from when this node's contact with a quorum began, where it was none since.
  Contact contact(const std::string& replica) const;
  // The registers of which a quorum has accepted a later ballot than `replica`, each with the
  // round of that ballot.
  std::map<std::string, uint64_t> behind(const std::string& replica) const;
  void hurry();  // the next pull begins at once, or as soon as the one under way has ended

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

}  // namespace dunlinwing::membership
