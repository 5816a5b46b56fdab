/// @file
/// When the running version rollouts were requested, as one node has seen it. Every node keeps these times
/// and reports them with its status, so that a leader whose process began during a rollout learns them from
/// the others: after all replicas' processes have ended at once, no candidate for the leadership knows them.
///
/// A request is assumed to have come half-way between the pull that first returned the rollout and the pull
/// before. A node that has seen no pull without the rollout does not know its time. Threads: one fiber; never
/// waits.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "base/ports.hpp"
#include "wire.pb.h"

namespace dunlinwing::rollout {

/// Whether the service has a running version rollout with a deadline.
bool has_deadline_rollout(const pb::ServiceState& state);

class VersionRequestTimes {
 public:
  using States = std::map<std::string, pb::ServiceState>;  // by service

  /// @param pulled_at  start of the pull that returned the states
  void update(TimePoint pulled_at, const States& states);

  /// @return nothing when this node does not know it, or when another rollout runs
  std::optional<TimePoint> requested_at(const std::string& service, uint64_t canary_number) const;

  void report(TimePoint now, pb::NodeStatus& status) const;

 private:
  struct Request {
    uint64_t canary_number = 0;
    std::optional<TimePoint> at;
  };

  std::map<std::string, Request> requests_;  ///< by service
  TimePoint pulled_at_{0};                   ///< of the last update; 0: none yet
};

/// The earliest time of the request that the statuses report; nothing when none does.
/// @param statuses  by source, with their ages
std::optional<TimePoint> reported_request_time(const std::map<std::string, pb::NodeStatus>& statuses,
                                               const std::string& service, uint64_t canary_number,
                                               TimePoint now);

}  // namespace dunlinwing::rollout
