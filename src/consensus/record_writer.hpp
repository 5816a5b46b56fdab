/// @file
/// Writes the log records of one replica to its disk: records that arrive together are synced together, and
/// a disk that failed is written anew from the replica's memory before anything is answered again.
///
/// Invariants:
/// - sync() returns true only when the record and all before it are on the disk.
/// - No caller that was refused by a failure is granted later, whatever then becomes of its write.
///
/// After a failed write nobody knows what of it is on the disk. The replica does not vote until a snapshot of
/// its memory is written beside what was there, synced and read back. Why that is safe: let M be the memory
/// when the snapshot is made, and A all that this replica ever answered for: promises, accepts, its set and
/// its stage.
/// - A is in M, or superseded there: every answer is given from memory after its record is synced, and memory
///   only rises in ballots and epochs. So no promise or accept that somebody counted is forgotten.
/// - M holds besides what was never answered for, since each such caller got a non-voting response. A promise
///   that nobody counted only turns lower ballots away. An accept that nobody counted is a value proposed at
///   a ballot above every promise here, just as if the answer had been lost on its way: Paxos holds whether
///   or not such an answer arrives. A later reader who counts it finds it on the disk.
/// - Nothing of M is sent before the snapshot is synced: a replica that does not vote answers no vote, read,
///   snapshot request or pull. What is published then is what is in the snapshot.
/// - What changed in memory while the snapshot was being written had its sync refused, so another snapshot
///   follows before anything is answered.
///
/// Threads: used by the fibers of the thread that runs control only. sync() suspends its fiber.
#pragma once
#include "base/ports.hpp"

namespace dunlinwing::consensus {

/// What the owner of the replica's memory provides. All are called on the control thread.
struct RecordWriterOwner {
  /// All of memory, as it is now.
  std::function<pb::Snapshot()> make_snapshot;
  /// A record is on the disk: what it says may be published.
  std::function<void(const pb::LogRecord&)> on_record_synced;
  /// A snapshot is on the disk after a failure: what it says may be published.
  std::function<void(const pb::Snapshot&)> on_snapshot_synced;
  /// The disk takes records again.
  std::function<void()> on_recovered;
  /// Runs the task in a fiber that keeps the owner, and with it the writer, alive.
  std::function<void(std::function<void()>)> spawn;
};

/// The one writer of a replica's disk.
class RecordWriter {
 public:
  /// @param timeout  of one sync; the unit of the pauses between two tries to write a failed disk anew
  RecordWriter(base::Ports& ports, base::Disk& disk, std::string node_name, Duration timeout,
               RecordWriterOwner owner);

  /// Writes the records in one sync, with those of other callers.
  /// @return true once they and all before them are on the disk, and at once when there are none; false when
  ///     the disk fails, or does not answer within the timeout. The write may then still complete.
  [[nodiscard]] bool sync(const std::vector<pb::LogRecord>& records);

  /// Writes the disk anew, as after a failed write: for a disk whose loaded snapshot could not be rewritten.
  void start_recovery();

  /// Whether the disk failed and was not yet written anew.
  bool failed() const { return failed_; }
  /// Whether a write takes longer than the timeout: nothing more should be queued behind it.
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

  std::vector<pb::LogRecord> batch_;  ///< what the next write takes
  uint64_t queued_ = 0;               ///< records ever put into a batch
  uint64_t synced_ = 0;       ///< of these, how many are on the disk; those before a failure may be less
  bool writing_ = false;      ///< a fiber is in write_batches() or recover(); there is one at most
  TimePoint write_began_{0};  ///< of the write under way; meaningful while `writing_`
  bool failed_ = false;
  bool refused_while_failed_ = false;  ///< memory changed since the snapshot being written was made
  uint64_t failures_ = 0;              ///< rises with each failure: who waited then is refused
  std::vector<std::shared_ptr<base::Condition>> waiters_;
};

}  // namespace dunlinwing::consensus
