/// @file
/// Writes the log records of one replica to its disk: records that arrive together are synced together, and
/// a failed disk is rewritten from the replica's memory before any request is granted again.
///
/// Invariants:
/// - sync() returns true only when the record and all before it are on the disk.
/// - A caller whose sync failed is never granted later, even if its write completes.
///
/// After a failed write it is unknown which part of it is on the disk. The replica does not vote until a
/// snapshot of its memory is written beside the old files, synced and read back. Why that is safe: let M be
/// the memory when the snapshot is made, and A all state that this replica has ever acknowledged: promises,
/// accepts, its replica set and its stage.
/// - A is in M, or superseded there: every response is made from memory after its record is synced, and
///   ballots and epochs in memory never decrease. So no promise or accept that was counted is forgotten.
/// - M also contains state that was never acknowledged, since each such caller got a non-voting response. An
///   uncounted promise only rejects lower ballots. An uncounted accept is a value proposed at a ballot not
///   below any promise here, as if the response had been lost on the network: Paxos is safe whether or not
///   such a response arrives. A later read that counts the accept finds it on the disk.
/// - No part of M is sent before the snapshot is synced: a non-voting replica grants no vote, read, snapshot
///   request or pull. After the sync, exactly the contents of the snapshot are published.
/// - A change of memory while the snapshot was being written had its sync refused, so another snapshot is
///   written before any request is granted.
///
/// Threads: used by the fibers of the control thread only. sync() suspends its fiber.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

/// Callbacks to the owner of the replica's memory. All are called on the control thread.
struct RecordWriterOwner {
  /// Returns a snapshot of the complete memory.
  std::function<pb::Snapshot()> make_snapshot;
  /// A record is on the disk and may be published.
  std::function<void(const pb::LogRecord&)> on_record_synced;
  /// After a failure, a snapshot is on the disk and may be published.
  std::function<void(const pb::Snapshot&)> on_snapshot_synced;
  /// The disk accepts records again after a failure.
  std::function<void()> on_recovered;
  /// Runs the task in a fiber that keeps the owner, and thus the writer, alive.
  std::function<void(std::function<void()>)> spawn;
};

/// The one writer of a replica's disk.
class RecordWriter {
 public:
  /// @param timeout  of one sync; the pauses between attempts to rewrite a failed disk are parts of it
  RecordWriter(base::Ports& ports, base::Disk& disk, std::string node_name, Duration timeout,
               RecordWriterOwner owner);

  /// Writes the records in one sync, with those of other callers.
  /// @return true once they and all before them are on the disk, and at once when there are none; false when
  ///     the disk fails or does not complete the write within the timeout. The write may then still complete.
  [[nodiscard]] bool sync(const std::vector<pb::LogRecord>& records);

  /// Rewrites the disk as after a failed write: for a disk whose loaded snapshot could not be written back.
  void start_recovery();

  /// Whether the disk failed and has not been rewritten yet.
  bool failed() const { return failed_; }
  /// Whether the current write takes longer than the timeout; no more records should be queued then.
  bool stalled() const { return writing_ && ports_.clock.now() - write_began_ > timeout_; }

 private:
  void write_batches();
  void recover();
  void wake_waiters();

  base::Ports& ports_;
  base::Disk& disk_;
  const std::string node_name_;
  const Duration timeout_;
  const RecordWriterOwner owner_;

  std::vector<pb::LogRecord> batch_;  ///< the records of the next write
  uint64_t queued_ = 0;               ///< records ever put into a batch
  uint64_t synced_ = 0;               ///< how many of these are on the disk; may be too low after a failure
  bool writing_ = false;              ///< a fiber executes write_batches() or recover(); at most one does
  TimePoint write_began_{0};          ///< start of the current write; meaningful while `writing_`
  bool failed_ = false;
  bool refused_while_failed_ = false;  ///< memory changed after the snapshot in progress was made
  uint64_t failures_ = 0;              ///< incremented by each failure; waiting callers are then refused
  std::vector<std::shared_ptr<base::Condition>> waiters_;
};

}  // namespace dunlinwing::consensus
