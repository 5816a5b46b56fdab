/// @file
/// A bound on retries that holds over the whole fleet because each node keeps its own part: in any ten
/// seconds, no more than a share of the requests and an allowance beyond that.
#pragma once
#include <mutex>

#include "base/ports.hpp"

namespace dunlinwing::limits {

/// The part of the fleet's allowance of retries that one node may save up: whole retries only, so that with
/// more nodes than allowance some save up none. Pure.
/// @param rank  of the node among them, from 0
[[nodiscard]] int retry_allowance_of_node(int64_t allowance, int nodes, int rank);

/// The retries that this node's requests have earned, by service. From any thread.
///
/// Each request earns a fifth of a retry, and no more is ever saved up than this node's part of the
/// allowance: so no stretch of time, ten seconds or other, can hold more retries than that part and a fifth
/// of the requests. A process that has just started does not know what its predecessor spent, so it starts
/// with nothing saved up.
class RetryBudget {
 public:
  /// @param earned  of a retry, by this request
  void record_request(const std::string& service, double earned = 0.2);

  /// Takes one retry from the budget.
  /// @param allowance  retries that may be saved up, see retry_allowance_of_node()
  /// @return false, and nothing is taken, when less than one is left
  [[nodiscard]] bool try_acquire(const std::string& service, int allowance);

 private:
  std::mutex mutex_;
  std::map<std::string, double> earned_;  ///< by service, in retries, and not yet spent; guarded by mutex_
};

}  // namespace dunlinwing::limits
