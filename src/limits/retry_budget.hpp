/// @file
/// Limits retries over the whole fleet by a limit per node: in any ten seconds, no more than a fraction of
/// the requests plus an allowance.
#pragma once
#include <mutex>
#include <optional>

#include "base/ports.hpp"
#include "limits/demand_share.hpp"

namespace dunlinwing::limits {

/// A node among those that share an allowance.
struct AllowanceParticipant {
  int nodes = 1;                     ///< number of nodes that share it
  int rank = 0;                      ///< this node's rank among them, from 0
  std::optional<DemandShare> share;  ///< this node's share of the service's requests; nothing: not known yet
};

/// One node's share of an allowance of the whole fleet, in whole units. While the service's demand is unknown
/// the nodes have equal shares; then the shares are proportional to the requests they send. Pure.
[[nodiscard]] int allowance_of_node(int64_t allowance, const AllowanceParticipant& participant);

/// One node's share of the fleet's retry allowance: as allowance_of_node(), but if there are more retries
/// than nodes each node gets at least one. Pure.
[[nodiscard]] int retry_allowance_of_node(int64_t allowance, const AllowanceParticipant& participant);

/// The retries earned by this node's requests, by service. May be used from any thread.
///
/// Each request earns a fifth of a retry, and at most this node's share of the allowance is saved up. So over
/// any period, ten seconds or other, there are no more retries than that share plus a fifth of the requests.
/// A process that has just started does not know what its predecessor spent, so it starts with no saved-up
/// retries.
class RetryBudget {
 public:
  /// @param earned  retries earned by this request
  void record_request(const std::string& service, double earned = 0.2);

  /// Takes one retry from the budget.
  /// @param allowance  retries that may be saved up, see retry_allowance_of_node()
  /// @return false, and nothing is taken, when less than one retry is left
  [[nodiscard]] bool try_acquire(const std::string& service, int allowance);

 private:
  std::mutex mutex_;
  std::map<std::string, double> earned_;  ///< by service, earned and not yet spent retries; guarded by mutex_
};

}  // namespace dunlinwing::limits
