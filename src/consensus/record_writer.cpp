#include "consensus/record_writer.hpp"

#include <algorithm>

#include "base/log.hpp"

namespace dunlinwing::consensus {
namespace {
constexpr base::Log logger("consensus");
// The first and the longest pause between two attempts to rewrite a failed disk: the timeout divided by
// these. The pause doubles up to the longest.
constexpr int kFirstPauseDivisor = 16;
constexpr int kLongestPauseDivisor = 2;
constexpr Duration kShortestPause{1};
}  // namespace

RecordWriter::RecordWriter(base::Ports& ports, base::Disk& disk, std::string node_name, Duration timeout,
                           RecordWriterOwner owner)
    : ports_(ports),
      disk_(disk),
      node_name_(std::move(node_name)),
      timeout_(timeout),
      owner_(std::move(owner)) {}

bool RecordWriter::sync(const std::vector<pb::LogRecord>& records) {
  if (records.empty()) return true;
  if (failed_) {
    refused_while_failed_ = true;
    return false;
  }
  batch_.insert(batch_.end(), records.begin(), records.end());
  const uint64_t last = queued_ += records.size();
  const uint64_t failures_before = failures_;
  if (!writing_) {
    writing_ = true;
    write_began_ = ports_.clock.now();
    owner_.spawn([this] { write_batches(); });
  }
  const auto end = ports_.clock.now() + timeout_;
  while (synced_ < last && failures_ == failures_before && ports_.clock.now() < end) {
    auto condition = ports_.tasks.condition();
    waiters_.push_back(condition);
    condition->wait(end - ports_.clock.now());
  }
  return synced_ >= last && failures_ == failures_before;
}

void RecordWriter::start_recovery() {
  failed_ = writing_ = true;
  owner_.spawn([this] {
    recover();
    write_batches();
  });
}

void RecordWriter::wake_waiters() {
  for (const auto& waiter : std::exchange(waiters_, {})) waiter->notify();
}

// Records that arrive while a batch is being written go into the next one.
void RecordWriter::write_batches() {
  while (!batch_.empty()) {
    const auto batch = std::exchange(batch_, {});
    const uint64_t last = queued_;
    write_began_ = ports_.clock.now();
    if (disk_.save(batch, owner_.make_snapshot)) {
      recover();
      continue;
    }
    for (const auto& record : batch) owner_.on_record_synced(record);
    synced_ = last;
    wake_waiters();
  }
  writing_ = false;
}

// Returns once a snapshot of the complete state in memory is on the disk.
void RecordWriter::recover() {
  failed_ = true;
  ++failures_;
  wake_waiters();
  logger.error("Replica {} cannot vote: its disk failed. It votes again once its snapshot is rewritten.",
               node_name_);
  Duration pause = std::max(kShortestPause, timeout_ / kFirstPauseDivisor);
  const Duration longest_pause = std::max(kShortestPause, timeout_ / kLongestPauseDivisor);
  for (;;) {
    refused_while_failed_ = false;
    batch_.clear();  // the snapshot includes all its records
    const auto snapshot = owner_.make_snapshot();
    if (!disk_.rewrite(snapshot)) {
      if (refused_while_failed_) continue;
      owner_.on_snapshot_synced(snapshot);
      break;
    }
    ports_.clock.sleep(pause);
    pause = std::min(pause * 2, longest_pause);
  }
  failed_ = false;
  logger.info("The snapshot of replica {} is rewritten; its disk takes records again.", node_name_);
  owner_.on_recovered();
}

}  // namespace dunlinwing::consensus
