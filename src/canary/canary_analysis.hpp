/// @file
/// Each node's own evaluation of the canaries: it adds up the bad responses that all nodes report, across
/// their restarts, and aborts a canary when there are too many or when any node reports having aborted it. A
/// canary with a deadline is also aborted when it is clearly worse. This needs no leader; the leader only
/// makes the verdict durable. Does no I/O; used by the control thread only.
#pragma once
#include <set>

#include "canary/canary_statistics.hpp"

namespace dunlinwing::canary {

/// This node's own verdicts on the canaries.
class CanaryAnalysis {
 public:
  /// Evaluates the latest states and counters.
  /// @param states    by service
  /// @param statuses  by source, this node's own among them
  /// @param limit     bad responses that abort a canary
  void update(const std::map<std::string, pb::ServiceState>& states,
              const std::map<std::string, pb::NodeStatus>& statuses, uint64_t limit);

  /// Whether a service's canary is aborted; stays true until the service has another canary or none.
  [[nodiscard]] bool is_aborted(const std::string& service) const { return aborted_.count(service) > 0; }

  /// The services whose canary is aborted.
  const std::set<std::string>& aborted() const { return aborted_; }

 private:
  struct Canary {
    uint64_t number = 0;                                 ///< of the service's canaries
    std::map<ReportingProcess, uint64_t> bad_responses;  ///< the highest count that each reported
  };
  /// The combined reports of all nodes on one canary.
  struct Report {
    uint64_t bad_responses = 0;
    bool aborted = false;  ///< by any node
  };
  static Report add_reports(const std::string& service, const std::map<std::string, pb::NodeStatus>& statuses,
                            Canary& canary);

  std::map<std::string, Canary> canaries_;  ///< by service
  CanaryStatistics statistics_;
  std::set<std::string> aborted_;
};

}  // namespace dunlinwing::canary
