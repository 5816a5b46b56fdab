/// @file
/// A separate thread for blocking file operations: the calling fiber is suspended until its job is done, so
/// that no event loop thread waits for a disk.
///
/// Invariant: jobs run one at a time, in the order of submission.
/// Threads: run() may be called from any fiber.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::storage {

class DiskExecutor {
 public:
  explicit DiskExecutor(base::Tasks& tasks);
  /// Waits for the job that is running; queued jobs are discarded.
  ~DiskExecutor();

  /// Runs the job and returns when it is done.
  void run(std::function<void()> function);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::storage
