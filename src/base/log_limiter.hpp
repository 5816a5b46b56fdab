/// @file
/// Bounds the number of log lines of one kind, so that a flood of events costs little.
///
/// Threads: every function may be called from any thread; the one lock is a leaf.
#pragma once
#include <mutex>

#include "base/common.hpp"

namespace dunlinwing::base {

class LogLimiter {
 public:
  /// @param lines_per_second  the number of lines in each second of the clock
  explicit LogLimiter(int lines_per_second) : lines_per_second_(lines_per_second) {}

  /// Whether a line may be logged now.
  [[nodiscard]] bool acquire(TimePoint now);

  /// The number of lines that were not allowed since the last call.
  uint64_t take_suppressed();

 private:
  const int lines_per_second_;
  std::mutex mutex_;
  int64_t second_ = -1;      // the current second's number; guarded by mutex_, as are the others
  int lines_ = 0;            // in the current second
  uint64_t suppressed_ = 0;  // since take_suppressed()
};

}  // namespace dunlinwing::base
