// A replica's disk: two slots holding whole images, written in turn, and a
// short log of records between them. Every record and image carries its
// checksum; what cannot be believed is said, never guessed.
//
// A failed write or sync leaves the end of the log unknown. Nothing is appended
// behind it: save() fails until rewrite() has put a whole image, with a log of its
// own, into the other slot and has read both back.
#pragma once
#include "base/ports.hpp"
#include "storage/files.hpp"

namespace dunlinwing::storage {

// The bytes of the format, apart from any file, so that tests can tear them.
std::string frame(const std::string& payload);
enum class Tail { clean, torn, corrupt };
// Cuts `bytes` into payloads. Torn: the last write did not complete, which is
// no loss, for it was never synced. Corrupt: something before the end is bad.
std::pair<std::vector<std::string>, Tail> unframe(std::string_view bytes);

class SnapshotStore final : public base::Disk {
 public:
  SnapshotStore(std::unique_ptr<Files> f, size_t log_bytes);
  ~SnapshotStore() override;
  base::LoadedSnapshot load() override;
  std::optional<base::DiskError> save(const std::vector<pb::LogRecord>& records,
                                      const std::function<pb::Snapshot()>& whole) override;
  std::optional<base::DiskError> rewrite(const pb::Snapshot& whole) override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dunlinwing::storage
