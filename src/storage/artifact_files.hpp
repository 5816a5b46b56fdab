/// @file
/// Files named by their digest: the software release artifacts that a replica stores. A file is written in
/// consecutive chunks and is complete only once its digest matches.
///
/// Invariants: every write is synced before the call returns; a file with bytes that may not be synced is
/// removed, since the length of an incomplete file determines how much counts as stored.
/// Threads: every call blocks and is made through the DiskExecutor; only path() may be called on any thread.
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
  /// Stores a chunk; the part of it that is already stored is skipped.
  /// @param sha256  of the complete file, in hexadecimal digits
  /// @param total   length of the complete file, in bytes
  /// @return what is stored afterwards; nothing when the chunk leaves a gap or exceeds `total`, cannot be
  ///     written, or completes a file with a wrong digest
  [[nodiscard]] std::optional<ArtifactProgress> append(const std::string& sha256, uint64_t offset,
                                                       const std::string& data, uint64_t total);
  /// At most `bytes` bytes from the offset on; fewer when fewer are stored.
  std::string read(const std::string& sha256, uint64_t offset, uint32_t bytes) const;
  /// The path of the complete file.
  std::string path(const std::string& sha256) const;

 private:
  std::string incomplete_path(const std::string& sha256) const;

  const std::string folder_;
};

/// The SHA-256 of a file in hexadecimal digits; nothing when it cannot be read.
std::optional<std::string> sha256_hex_of(const std::string& path);
/// The contents of a small file; nothing when it cannot be opened.
std::optional<std::string> read_small_file(const std::string& path);
/// Replaces a file atomically: writes a new file, syncs it, renames it and syncs the folder.
/// @return false when any step fails; the file then has its old or its new contents
[[nodiscard]] bool replace_file(const std::string& path, const std::string& bytes);
/// Makes the file names in a folder durable.
bool sync_folder(const std::string& folder);

}  // namespace dunlinwing::storage
