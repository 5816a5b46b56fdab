// Whole files by digest: what holders keep of software. A file grows by pieces
// put in order and counts as whole only once its digest is right.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

struct ArtifactProgress {
  uint64_t bytes = 0;
  bool complete = false;
};

// Blocking; every write is synced before it returns.
class ArtifactFiles {
 public:
  explicit ArtifactFiles(std::string dir) : dir_(std::move(dir)) {}
  ArtifactProgress progress(const std::string& sha) const;
  // Null when the piece does not follow what is there, or cannot be written.
  std::optional<ArtifactProgress> append(const std::string& sha, uint64_t offset, const std::string& data,
                                         uint64_t total);
  std::string read(const std::string& sha, uint64_t offset, uint32_t bytes) const;
  std::string path(const std::string& sha) const;

 private:
  std::string dir_;
};

std::optional<std::string> sha256_hex_of(const std::string& path);
std::optional<std::string> read_small(const std::string& path);
bool write_synced(const std::string& path, const std::string& bytes);  // by a new file and a rename
bool sync_dir(const std::string& dir);

}  // namespace dunlinwing::storage
