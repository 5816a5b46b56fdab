/// @file
/// The heartbeats of backend instances that this node itself has received, as it reports them to the fleet.
///
/// Invariants: of an instance only the heartbeat with the highest sequence number is stored; one that has
/// said that it leaves stays leaving.
/// Threads: used by the control thread only.
#pragma once
#include "base/common.hpp"
#include "wire.pb.h"

namespace dunlinwing::node {

class HeartbeatTable {
 public:
  /// @param bound  the unit of the time for which an instance is reported after its last heartbeat
  explicit HeartbeatTable(Duration bound) : bound_(bound) {}

  /// Stores a heartbeat, unless a later one of the same instance is stored.
  /// @return whether the fleet has heard the same from this node before: nothing but the time has changed
  bool record(const pb::Heartbeat& heartbeat, TimePoint now);

  /// Counts a heartbeat that was answered.
  /// @param accepted  whether it was acknowledged
  void count(bool accepted) { ++(accepted ? accepted_ : rejected_); }

  /// Adds the heartbeats with their ages, and the counts; removes what is too old to be reported.
  void report(TimePoint now, pb::NodeStatus& status);

 private:
  struct Entry {
    pb::Heartbeat heartbeat;
    TimePoint received{0};
  };

  Duration bound_;
  std::map<std::string, Entry> entries_;  ///< by instance
  uint64_t accepted_ = 0;                 ///< heartbeats acknowledged since the start
  uint64_t rejected_ = 0;                 ///< heartbeats turned away since the start
};

}  // namespace dunlinwing::node
