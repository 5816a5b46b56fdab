/// @file
/// A disk whose writes run on a separate thread, so that they suspend only the calling fiber and block no
/// event loop.
///
/// Threads: as base::Disk; after load(), the wrapped disk is used by the executor's thread.
#pragma once
#include "storage/disk_executor.hpp"

namespace dunlinwing::storage {

class AsyncDisk final : public base::Disk {
 public:
  AsyncDisk(std::unique_ptr<base::Disk> disk, base::Tasks& tasks)
      : disk_(std::move(disk)), executor_(tasks) {}

  /// Blocks; called before the event loops run.
  base::LoadedSnapshot load() override { return disk_->load(); }

  /// The snapshot is made on the caller's thread, which owns the state.
  std::optional<base::DiskError> save(const std::vector<pb::LogRecord>& records,
                                      const std::function<pb::Snapshot()>& make_snapshot) override {
    std::optional<base::DiskError> error;
    executor_.run(
        [&, snapshot = make_snapshot()] { error = disk_->save(records, [&] { return snapshot; }); });
    return error;
  }

  std::optional<base::DiskError> rewrite(const pb::Snapshot& snapshot) override {
    std::optional<base::DiskError> error;
    executor_.run([&] { error = disk_->rewrite(snapshot); });
    return error;
  }

 private:
  std::unique_ptr<base::Disk> disk_;
  DiskExecutor executor_;
};

}  // namespace dunlinwing::storage
