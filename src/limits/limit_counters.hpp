/// @file
/// Counts what the limits of one node granted and denied, by service: this shows whether the node's share of
/// a limit is too small, or large and unused.
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace dunlinwing::limits {

/// Since the start of the process.
struct LimitCounts {
  uint64_t rate_granted = 0;        ///< requests that the rate limit admitted
  uint64_t rate_denied = 0;         ///< requests rejected because they would have had to wait too long
  uint64_t rate_wait_ms = 0;        ///< the total time that granted and denied requests waited
  uint64_t retries_granted = 0;     ///< granted by the retry budget
  uint64_t retries_denied = 0;      ///< denied by the retry budget
  uint64_t connection_waits = 0;    ///< attempts that waited because the connection limit was reached
  uint64_t connections_denied = 0;  ///< those of these attempts that got none in time
};

class LimitCounters {
 public:
  /// @param waited_ms  time spent waiting for the rate limit, granted or not
  void record_rate(const std::string& service, bool granted, uint64_t waited_ms);
  void record_retry(const std::string& service, bool granted);
  void record_connection_wait(const std::string& service, bool granted);

  /// By service.
  std::map<std::string, LimitCounts> counts() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, LimitCounts> counts_;  // guarded by mutex_
};

}  // namespace dunlinwing::limits
