/// @file
/// A thread of its own for blocking work on files: the calling fiber is suspended until its job is done, so
/// no thread of the event loops ever waits for a disk.
///
/// Invariant: jobs run one at a time, in the order in which they came.
/// Threads: run() may be called from any fiber.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::storage {

class DiskExecutor {
 public:
  explicit DiskExecutor(base::Tasks& tasks);
  /// Waits for the job that runs; those behind it are never run.
  ~DiskExecutor();

  /// Runs the job and returns when it is done.
  void run(std::function<void()> function);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::storage
