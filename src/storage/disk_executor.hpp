// A thread of its own for blocking work on files: the calling fiber parks until
// its job is done, so no pool thread ever waits for a disk.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::storage {

class DiskExecutor {
 public:
  explicit DiskExecutor(base::Tasks& tasks);
  ~DiskExecutor();
  void run(std::function<void()> job);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::storage
