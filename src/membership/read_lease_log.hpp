/// @file
/// Logs when the read lease stands and lapses, and why it lapsed: what became of the pulls since the last
/// good one.
///
/// Threads: used by the thread that runs control only.
#pragma once
#include <string>

#include "membership/pull_schedule.hpp"

namespace dunlinwing::membership {

/// How a pull went.
struct PullReport {
  PullResult result = PullResult::failed;
  Duration spent{0};
  size_t replicas = 0;     ///< in the set
  size_t responded = 0;    ///< of these, whether complete or not
  size_t voting = 0;       ///< of these, completely and as ones that vote
  bool unsettled = false;  ///< a register's chosen value could not be read
};

class ReadLeaseLog {
 public:
  explicit ReadLeaseLog(std::string node_name) : node_name_(std::move(node_name)) {}

  void note(const PullReport& pull);

  /// @param stands  whether the lease does
  /// @return whether that has changed since the last call
  bool follow(bool stands, Duration since_last_good_pull);

 private:
  std::string node_name_;
  bool stands_ = false;  ///< as logged
  int failed_ = 0;       ///< pulls since the last good one
  Duration longest_{0};  ///< of these
  PullReport last_;      ///< of these
};

}  // namespace dunlinwing::membership
