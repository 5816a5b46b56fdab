// A thread of its own for blocking work on files: the calling fiber parks until
// its job is done, so no pool thread ever waits for a disk.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::storage {

class DiskExecutor {
 public:
  explicit DiskExecutor(base::Tasks& t);
  ~DiskExecutor();
  void run(std::function<void()> job);

 private:
  struct Impl;
  std::unique_ptr<Impl> p_;
};

}  // namespace dunlinwing::storage
