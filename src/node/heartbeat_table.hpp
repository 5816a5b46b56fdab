/// @file
/// The heartbeats that this node has received directly from backend instances and reports to the fleet.
///
/// Invariants: only the heartbeat with the highest sequence number of each instance is stored; an instance
/// that has reported that it is leaving stays leaving.
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
  /// @return whether it repeats the stored heartbeat, so that only the time has changed for the fleet
  bool record(const pb::Heartbeat& heartbeat, TimePoint now);

  /// Counts a heartbeat that was answered.
  /// @param accepted  whether it was acknowledged
  void count(bool accepted) { ++(accepted ? accepted_ : rejected_); }

  /// Adds the heartbeats with their ages and the counts to the status; removes those too old to be reported.
  void report(TimePoint now, pb::NodeStatus& status);

 private:
  struct Entry {
    pb::Heartbeat heartbeat;
    TimePoint received{0};
  };

  Duration bound_;
  std::map<std::string, Entry> entries_;  ///< by instance
  uint64_t accepted_ = 0;                 ///< heartbeats acknowledged since the start
  uint64_t rejected_ = 0;                 ///< heartbeats rejected since the start
};

}  // namespace dunlinwing::node
