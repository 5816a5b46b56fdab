/// @file
/// A replica's disk: two pairs of a snapshot and a log, one of which is in use. Records are appended to its
/// log; a new snapshot is written to the other pair. Every record and snapshot has checksums; damage is
/// reported as possible loss.
///
/// Invariants: the pair with all acknowledged records is kept until another one is known to be on the disk.
/// A failed write or sync leaves the end of the log undefined, and nothing is appended after it: save() fails
/// until rewrite() has written a complete snapshot to the other pair and has read it back.
/// Threads: used by one thread at a time; every call blocks.
#pragma once
#include "base/ports.hpp"
#include "storage/files.hpp"
#include "storage/framing.hpp"

namespace dunlinwing::storage {

class SnapshotStore final : public base::Disk {
 public:
  /// @param max_log_bytes  size of a log at which a new snapshot is written
  SnapshotStore(std::unique_ptr<Files> files, size_t max_log_bytes);
  ~SnapshotStore() override;

  base::LoadedSnapshot load() override;
  std::optional<base::DiskError> save(const std::vector<pb::LogRecord>& records,
                                      const std::function<pb::Snapshot()>& make_snapshot) override;
  std::optional<base::DiskError> rewrite(const pb::Snapshot& snapshot) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::storage
