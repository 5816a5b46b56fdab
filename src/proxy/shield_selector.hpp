/// @file
/// Selects the shield of an object: among the nodes that fetch for others, the one with the highest hash of
/// its name and the object's key, so that all nodes select the same one (rendezvous hashing). If it fails,
/// the node with the next highest hash is selected.
///
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <map>
#include <mutex>

#include "base/ports.hpp"
#include "proxy/routing_snapshot.hpp"

namespace dunlinwing::proxy {

class ShieldSelector {
 public:
  /// @param clock  must outlive the selector
  ShieldSelector(base::Clock& clock, std::string node_name)
      : clock_(clock), node_name_(std::move(node_name)) {}

  /// @param tried  names of shields that must not be selected again
  /// @return nothing when this node must fetch from a backend instance
  std::optional<Shield> select(const RoutingSnapshot& snapshot, const std::string& key,
                               const std::vector<std::string>& tried) const;

  /// Records any response of a shield.
  void record_response(const std::string& address);

  /// Records a failed call of a shield and backs the shield off, unless it has responded to another call
  /// since: then only this call is slow, or this node is.
  /// @param sent_at  when the call began
  void record_failure(const std::string& address, TimePoint sent_at);

 private:
  bool is_backed_off(const std::string& address) const;

  base::Clock& clock_;
  std::string node_name_;
  mutable std::mutex mutex_;
  struct ShieldHealth {
    TimePoint responded_at{0};
    TimePoint backed_off_until{0};
  };
  std::map<std::string, ShieldHealth> health_;  // by address; guarded by mutex_
};

}  // namespace dunlinwing::proxy
