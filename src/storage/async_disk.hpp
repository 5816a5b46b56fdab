// A disk behind a hand of its own.
#pragma once
#include "storage/disk_executor.hpp"

namespace dunlinwing::storage {

class AsyncDisk final : public base::Disk {
 public:
  AsyncDisk(std::unique_ptr<base::Disk> d, base::Tasks& tasks) : d_(std::move(d)), hand_(tasks) {}
  base::LoadedSnapshot load() override { return d_->load(); }  // blocks; called before the pool runs
  // The image is made on the caller's thread, since tables belong to the caller.
  std::optional<base::DiskError> save(const std::vector<pb::LogRecord>& records,
                                      const std::function<pb::Snapshot()>& whole) override {
    std::optional<base::DiskError> r;
    hand_.run([&, image = whole()] { r = d_->save(records, [&] { return image; }); });
    return r;
  }
  std::optional<base::DiskError> rewrite(const pb::Snapshot& whole) override {
    std::optional<base::DiskError> error;
    hand_.run([&] { error = d_->rewrite(whole); });
    return error;
  }

 private:
  std::unique_ptr<base::Disk> d_;
  DiskExecutor hand_;
};

}  // namespace dunlinwing::storage
