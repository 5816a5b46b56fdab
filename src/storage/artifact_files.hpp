/// @file
/// Files by digest: the artifacts of software releases that a replica stores. A file grows by chunks in order
/// and counts as complete only once its digest is right.
///
/// Invariants: every write is synced before it returns; bytes that may not be synced are removed, since the
/// length of an incomplete file tells what is stored.
/// Threads: every call blocks, and is made through the DiskExecutor; the path alone may be asked anywhere.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// How much of a file is stored.
struct ArtifactProgress {
  uint64_t bytes = 0;
  bool complete = false;
};

class ArtifactFiles {
 public:
  explicit ArtifactFiles(std::string folder) : folder_(std::move(folder)) {}

  ArtifactProgress progress(const std::string& sha256) const;
  /// Stores a chunk; what of it is stored already is passed over.
  /// @param sha256  of the complete file, in hexadecimal digits
  /// @param total   length of the complete file, in bytes
  /// @return what is stored then; nothing when the chunk does not follow what is there, cannot be written, or
  ///     completes a file of another digest
  [[nodiscard]] std::optional<ArtifactProgress> append(const std::string& sha256, uint64_t offset,
                                                       const std::string& data, uint64_t total);
  /// At most so many bytes from the offset on; fewer where fewer are stored.
  std::string read(const std::string& sha256, uint64_t offset, uint32_t bytes) const;
  /// Of the complete file.
  std::string path(const std::string& sha256) const;

 private:
  std::string incomplete_path(const std::string& sha256) const;

  const std::string folder_;
};

/// The SHA-256 of a file in hexadecimal digits; nothing when it cannot be read.
std::optional<std::string> sha256_hex_of(const std::string& path);
/// The contents of a small file; nothing when it cannot be opened.
std::optional<std::string> read_small(const std::string& path);
/// Replaces a file by a new one and a rename, all synced.
/// @return false when any step fails; the file is then the old one or the new one
[[nodiscard]] bool write_synced(const std::string& path, const std::string& bytes);
/// Makes the names in a folder durable.
bool sync_dir(const std::string& folder);

}  // namespace dunlinwing::storage
