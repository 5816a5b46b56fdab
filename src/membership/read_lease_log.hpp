/// @file
/// Logs when the read lease becomes valid and when it expires, with the likely cause: the outcomes of the
/// pulls since the last good one.
///
/// Threads: used by the control thread only.
#pragma once
#include <string>

#include "membership/pull_schedule.hpp"

namespace dunlinwing::membership {

/// The details of one pull.
struct PullReport {
  PullResult result = PullResult::failed;
  Duration spent{0};
  size_t replicas = 0;     ///< in the set
  size_t responded = 0;    ///< of these replicas, whether completely or not
  size_t voting = 0;       ///< of these replicas, completely and as voting ones
  bool unsettled = false;  ///< a register's chosen value could not be read
};

class ReadLeaseLog {
 public:
  explicit ReadLeaseLog(std::string node_name) : node_name_(std::move(node_name)) {}

  void record_pull(const PullReport& pull);

  /// @param valid  whether the lease is valid
  /// @return whether this has changed since the last call
  bool record_lease_state(bool valid, Duration since_last_good_pull);

 private:
  std::string node_name_;
  bool valid_ = false;   ///< as logged
  int failed_ = 0;       ///< pulls since the last good one
  Duration longest_{0};  ///< of these
  PullReport last_;      ///< of these
};

}  // namespace dunlinwing::membership
