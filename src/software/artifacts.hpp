// Artifacts of software releases: any relay takes their pieces and passes them
// to all holders; holders that missed some fetch them from the others.
#pragma once
#include "membership/state_cache.hpp"
#include "storage/artifact_files.hpp"
#include "storage/disk_executor.hpp"

namespace dunlinwing::software {

struct SoftwareTarget {  // a software release as a relay needs it
  std::string name, version, sha256;
  uint64_t bytes = 0;
};
// The recorded software releases, by digest.
std::map<std::string, SoftwareTarget> recorded_software(const membership::ChosenValues& chosen);

enum class ChunkError { unknown_artifact, gap, no_majority };

class Artifacts {
 public:
  // `shelf` is null on a machine that holds no state.
  Artifacts(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
            std::string node_name, storage::ArtifactFiles* shelf, storage::DiskExecutor* hand,
            Duration bound);
  ~Artifacts();
  void start();                                                          // begins to repair
  pb::PeerResponse handle_peer_request(const pb::PeerRequest& request);  // chunk and fetch, on a holder
  std::variant<pb::ArtifactChunkResponse, ChunkError> append(const std::string& sha, uint64_t offset,
                                                             const std::string& data);
  std::variant<pb::ArtifactChunkResponse, ChunkError> progress(
      const std::string& sha);  // what a majority holds
  // Fetches the whole to a file from whichever holders have it.
  bool fetch(const SoftwareTarget& w, const std::string& path, storage::DiskExecutor& hand);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

inline constexpr uint32_t kChunkBytes = 1 << 20;

}  // namespace dunlinwing::software
