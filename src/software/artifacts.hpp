/// @file
/// Artifacts of software releases: any node accepts their chunks and sends them to all replicas; a replica
/// that missed some fetches them from the others.
///
/// Invariant: a chunk is acknowledged only once a majority of the replicas has synced it.
/// Threads: everything runs in the process's fibers; files are accessed only through the DiskExecutor.
#pragma once
#include "membership/state_cache.hpp"
#include "storage/artifact_files.hpp"
#include "storage/disk_executor.hpp"

namespace dunlinwing::software {

inline constexpr uint32_t kChunkBytes = 1 << 20;  ///< maximum part of an artifact in one message

/// A recorded software release: the version to run and its artifact.
struct SoftwareRelease {
  std::string name;
  std::string version;
  std::string sha256;  ///< of the program, in hexadecimal digits
  uint64_t bytes = 0;  ///< of the program
};

/// The recorded software releases, by digest.
std::map<std::string, SoftwareRelease> recorded_software(const membership::ChosenValues& chosen);

enum class ChunkError {
  unknown_artifact,  ///< no recorded release names it
  gap,               ///< the chunk does not follow those that a majority has stored
  no_majority,       ///< too few replicas responded
};

/// Where this node stores artifacts.
struct ArtifactStorage {
  storage::ArtifactFiles* files = nullptr;    ///< null on a machine that is no replica
  storage::DiskExecutor* executor = nullptr;  ///< not null where `files` is not
};

class Artifacts {
 public:
  /// How much of an artifact is stored, or why that could not be determined.
  using Progress = std::variant<pb::ArtifactChunkResponse, ChunkError>;

  /// @param bound  timeout for a replica's response; twice that when it stores a chunk
  Artifacts(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
            std::string node_name, ArtifactStorage local, Duration bound);
  ~Artifacts();

  /// Starts the repair: a replica periodically fetches the chunks that it lacks.
  void start();

  /// Stores or reads a chunk on behalf of another node; fails unless this node is a replica.
  pb::PeerResponse handle_peer_request(const pb::PeerRequest& request);

  /// Sends a chunk to the replicas to store.
  /// @return how much a majority has stored, including the chunk
  Progress append(const std::string& sha256, uint64_t offset, const std::string& data);

  /// How much of an artifact a majority has stored.
  Progress progress(const std::string& sha256);

  /// Fetches a complete artifact from any replicas that have it, and replaces the file at `path` by it.
  /// @param executor  writes the file
  /// @return false when a chunk could not be fetched or written; the file may then be incomplete
  bool fetch(const SoftwareRelease& target, const std::string& path, storage::DiskExecutor& executor);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the repair fiber
};

}  // namespace dunlinwing::software
