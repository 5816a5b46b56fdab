// Files: slot.0, slot.1, log.0 and log.1. slot.k contains a snapshot with its serial number; log.k contains
// the same serial and the records since the snapshot. A new snapshot is written to the pair that is not in
// use: an empty log is written and synced with the folder, then the snapshot is written and synced with the
// folder; both files are read back, and last a commit record is appended to the log. Only then the new pair
// is in use.
//
// A pair without its commit record was never in use. Loading skips it even if it looks complete: after a
// failed sync, a read may return the system's cache and not the contents of the disk. The pair in use is only
// ever appended to, at the end of its log. The commit record itself may have been read from the cache, and it
// cannot be written again after a torn record. Therefore the loaded pair is first confirmed by a synced
// proof.k with its serial, and only then the other pair is overwritten.
//
// So whichever step fails, and however often the process restarts on the failing disk, the pair with all
// acknowledged records is kept until another one is known to be on the disk. Nothing is acknowledged between
// a failed step and the next complete snapshot.
#include "storage/snapshot_store.hpp"

#include "base/log.hpp"

namespace dunlinwing::storage {
namespace {
constexpr base::Log logger("storage");
constexpr int kPairs = 2;
// Follows the serial in a log whose pair is in use only after a commit record. Logs written by versions
// without commit records do not have it.
constexpr char kNeedsCommitRecord = '+';
constexpr int kDecimal = 10;

std::string snapshot_file(int pair) { return fmt::format("slot.{}", pair); }
std::string log_file(int pair) { return fmt::format("log.{}", pair); }
std::string proof_file(int pair) { return fmt::format("proof.{}", pair); }

uint64_t serial_in(const std::string& text) { return std::strtoull(text.c_str(), nullptr, kDecimal); }

/// A snapshot with the records of its log.
struct LoadedPair {
  uint64_t serial = 0;
  pb::Snapshot snapshot;
  bool possibly_lost = false;  ///< the log is damaged or does not match: records may be missing
};

/// Whether the log of a pair can be replayed on its snapshot.
enum class LogState {
  complete,
  untrusted,     ///< damaged, or it belongs to another snapshot
  never_in_use,  ///< the pair was not written completely
};

/// Reads the two pairs at startup.
class PairLoader {
 public:
  explicit PairLoader(Files& files) : files_(files) {}

  /// A snapshot is damaged, usually because it was being written.
  bool found_damaged() const { return found_damaged_; }
  /// A snapshot could not be read, and it may be the newest.
  bool found_unreadable() const { return found_unreadable_; }

  /// Loads the pair; nothing when its snapshot is missing or damaged, or the pair was never in use.
  std::optional<LoadedPair> load(int pair) {
    auto loaded = load_snapshot(pair);
    if (!loaded) return {};
    const auto state = replay_log(pair, *loaded);
    if (state == LogState::never_in_use) return {};
    loaded->possibly_lost = state == LogState::untrusted;
    return loaded;
  }

  /// Whether the pair's log has its commit record, or the pair was confirmed.
  bool was_in_use(int pair) {
    const auto read = files_.read(log_file(pair));
    const auto* bytes = as<std::string>(read);
    return bytes && was_in_use(pair, unframe(*bytes).payloads);
  }

 private:
  std::optional<LoadedPair> load_snapshot(int pair) {
    const auto read = files_.read(snapshot_file(pair));
    const auto* error = as<ReadError>(read);
    if (error && *error == ReadError::failed) found_unreadable_ = true;
    if (error || as<std::string>(read)->empty()) {
      if (was_in_use(pair)) found_damaged_ = true;
      return {};
    }
    const auto [payloads, tail] = unframe(*as<std::string>(read));
    LoadedPair loaded;
    if (tail != Tail::clean || payloads.size() != 2 || !loaded.snapshot.ParseFromString(payloads[1])) {
      found_damaged_ = true;
      return {};
    }
    loaded.serial = serial_in(payloads[0]);
    return loaded;
  }

  LogState replay_log(int pair, LoadedPair& loaded) {
    const auto read = files_.read(log_file(pair));
    const auto* bytes = as<std::string>(read);
    if (!bytes) return LogState::untrusted;
    const auto [payloads, tail] = unframe(*bytes);
    // The serial is incomplete: the log was being replaced, which never happens to the log in use.
    if (tail != Tail::corrupt && payloads.empty()) return LogState::never_in_use;
    if (tail == Tail::corrupt || serial_in(payloads[0]) != loaded.serial) return LogState::untrusted;
    if (payloads[0].back() == kNeedsCommitRecord && !was_in_use(pair, payloads))
      return LogState::never_in_use;
    return apply_records(payloads, loaded.snapshot) ? LogState::complete : LogState::untrusted;
  }

  bool was_in_use(int pair, const std::vector<std::string>& log) {
    if (log.size() != 1) return !log.empty();
    const auto read = files_.read(proof_file(pair));
    const auto* bytes = as<std::string>(read);
    if (!bytes) return false;
    const auto proof = unframe(*bytes).payloads;
    return proof.size() == 1 && serial_in(proof[0]) == serial_in(log[0]);
  }

  // The first payload is the serial, the others are records. False when one cannot be parsed.
  static bool apply_records(const std::vector<std::string>& payloads, pb::Snapshot& snapshot) {
    std::map<std::string, pb::RegisterState> registers;
    for (const auto& state : snapshot.registers()) registers[state.name()] = state;
    for (size_t i = 1; i < payloads.size(); ++i) {
      pb::LogRecord record;
      if (!record.ParseFromString(payloads[i])) return false;
      if (record.has_register_state())
        registers[record.register_state().name()] = record.register_state();
      else if (record.has_replica_set())
        *snapshot.mutable_replica_set() = record.replica_set();
      else
        snapshot.set_stage(record.stage());
      if (record.has_initial_boot()) *snapshot.mutable_initial_boot() = record.initial_boot();
    }
    snapshot.clear_registers();
    for (const auto& [name, state] : registers) *snapshot.add_registers() = state;
    return true;
  }

  Files& files_;
  bool found_damaged_ = false;
  bool found_unreadable_ = false;
};

}  // namespace

/// The state of the files. Used only by the thread that calls the store.
struct SnapshotStore::Impl {
  std::unique_ptr<Files> files;
  const size_t max_log_bytes;
  size_t log_bytes = 0;   ///< of the records appended to the log in use
  int pair_in_use = 0;    ///< 0 or 1
  uint64_t serial = 0;    ///< of the snapshot in use; incremented by each new one
  bool failed = false;    ///< the end of the log is unknown: nothing may be appended
  bool confirmed = true;  ///< the pair in use is known to be on the disk, or none was loaded

  Impl(std::unique_ptr<Files> opened, size_t max_bytes)
      : files(std::move(opened)), max_log_bytes(max_bytes) {}

  bool has_contents(const std::string& name, const std::string& bytes) {
    const auto read = files->read(name);
    const auto* present = as<std::string>(read);
    return present && *present == bytes;
  }

  // The loaded pair has to be known to be on the disk before the other pair is overwritten.
  bool confirm_pair_in_use() {
    if (confirmed) return true;
    const auto name = proof_file(pair_in_use);
    const auto proof = frame(std::to_string(serial));
    confirmed = files->replace(name, proof) && files->sync_folder() && has_contents(name, proof);
    return confirmed;
  }

  // Writes the snapshot to the pair that is not in use, reads it back and switches to that pair. The order of
  // the steps matters, see the top of this file.
  bool switch_pairs(const pb::Snapshot& snapshot) {
    if (!confirm_pair_in_use()) return false;
    const int next = 1 - pair_in_use;
    const auto serial_text = std::to_string(serial + 1);
    const auto log = frame(serial_text + kNeedsCommitRecord);
    const auto framed_snapshot = frame(serial_text) + frame(snapshot.SerializeAsString());
    if (!files->replace(log_file(next), log)) return false;
    if (!files->sync_folder()) return false;  // no snapshot may exist without its log
    if (!files->replace(snapshot_file(next), framed_snapshot)) return false;
    if (!files->sync_folder()) return false;
    if (!has_contents(log_file(next), log) || !has_contents(snapshot_file(next), framed_snapshot))
      return false;
    pb::LogRecord commit;  // repeats the stage from the snapshot
    commit.set_stage(snapshot.stage());
    const auto framed_commit = frame(commit.SerializeAsString());
    if (!files->append(log_file(next), framed_commit)) return false;
    pair_in_use = next;
    confirmed = true;
    ++serial;
    log_bytes = framed_commit.size();
    return true;
  }

  // Finds the pair in use.
  base::LoadedSnapshot load_newest() {
    PairLoader loader(*files);
    std::optional<LoadedPair> newest;
    for (int pair = 0; pair < kPairs; ++pair) {
      auto loaded = loader.load(pair);
      if (!loaded || (newest && loaded->serial <= newest->serial)) continue;
      newest = std::move(loaded);
      pair_in_use = pair;
    }
    base::LoadedSnapshot result;
    result.possibly_lost = loader.found_unreadable();
    if (!newest) {
      if (loader.found_damaged()) result.possibly_lost = true;
      return result;
    }
    result.snapshot = newest->snapshot;
    serial = newest->serial;
    confirmed = false;
    // A snapshot that was being written during a crash is damaged without loss, since the other pair is still
    // complete and in use. A damaged pair that was in use has at least the commit record in its log.
    const bool lost_newer = loader.found_damaged() && loader.was_in_use(1 - pair_in_use);
    if (newest->possibly_lost || lost_newer) result.possibly_lost = true;
    return result;
  }

  bool append(const std::string& bytes) {
    const bool appended = files->append(log_file(pair_in_use), bytes);
    log_bytes += bytes.size();
    return appended;
  }
};

SnapshotStore::SnapshotStore(std::unique_ptr<Files> files, size_t max_log_bytes)
    : impl_(std::make_unique<Impl>(std::move(files), max_log_bytes)) {}

SnapshotStore::~SnapshotStore() = default;

base::LoadedSnapshot SnapshotStore::load() {
  auto& impl = *impl_;
  auto loaded = impl.load_newest();
  if (loaded.possibly_lost) {
    logger.error("{} can no longer be read completely. The replica cannot vote until it is refilled.",
                 impl.files->location());
    loaded.snapshot = pb::Snapshot();
  }
  // A remaining damaged pair would be reported again at the next start, so both are rewritten.
  const bool written =
      impl.switch_pairs(loaded.snapshot) && (!loaded.possibly_lost || impl.switch_pairs(loaded.snapshot));
  if (!written) {
    logger.error("The first snapshot could not be written to {}.", impl.files->location());
    impl.failed = true;
    loaded.unwritten = true;
  }
  return loaded;
}

std::optional<base::DiskError> SnapshotStore::save(const std::vector<pb::LogRecord>& records,
                                                   const std::function<pb::Snapshot()>& make_snapshot) {
  auto& impl = *impl_;
  if (impl.failed) return base::DiskError::failed;
  std::string bytes;
  for (const auto& record : records) bytes += frame(record.SerializeAsString());
  const bool log_is_full = impl.log_bytes + bytes.size() > impl.max_log_bytes;
  const bool written = log_is_full ? impl.switch_pairs(make_snapshot()) : impl.append(bytes);
  if (written) return {};
  impl.failed = true;
  logger.error("A write to {} failed. The replica cannot vote until a complete snapshot is written.",
               impl.files->location());
  return base::DiskError::failed;
}

std::optional<base::DiskError> SnapshotStore::rewrite(const pb::Snapshot& snapshot) {
  auto& impl = *impl_;
  impl.failed = true;  // a partly written pair might be loaded, so the old log must not grow
  if (!impl.switch_pairs(snapshot)) return base::DiskError::failed;
  impl.failed = false;
  return {};
}

}  // namespace dunlinwing::storage
