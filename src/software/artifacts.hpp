/// @file
/// Artifacts of software releases: any relay takes their chunks and passes them to all replicas; a replica
/// that missed some fetches them from the others.
///
/// Invariant: a chunk is acknowledged only once a majority of the replicas has synced it.
/// Threads: everything runs in the process's fibers; files are touched through the DiskExecutor alone.
#pragma once
#include "membership/state_cache.hpp"
#include "storage/artifact_files.hpp"
#include "storage/disk_executor.hpp"

namespace dunlinwing::software {

inline constexpr uint32_t kChunkBytes = 1 << 20;  ///< of an artifact, at most, in one message

/// A software release as a relay needs it.
struct SoftwareTarget {
  std::string name;
  std::string version;
  std::string sha256;  ///< of the program, in hexadecimal digits
  uint64_t bytes = 0;  ///< of the program
};

/// The recorded software releases, by digest.
std::map<std::string, SoftwareTarget> recorded_software(const membership::ChosenValues& chosen);

enum class ChunkError {
  unknown_artifact,  ///< no recorded release names it
  gap,               ///< the chunk does not follow what a majority has
  no_majority,       ///< too few replicas answered
};

/// What this node keeps its artifacts with.
struct ArtifactStorage {
  storage::ArtifactFiles* files = nullptr;    ///< null on a machine that is no replica
  storage::DiskExecutor* executor = nullptr;  ///< not null where `files` is not
};

class Artifacts {
 public:
  /// How much of an artifact is there, or why that is not known.
  using Progress = std::variant<pb::ArtifactChunkResponse, ChunkError>;

  /// @param bound  in which a replica has to answer; twice that for a chunk to be written
  Artifacts(base::Ports& ports, consensus::RegisterClient& registers, membership::StateCache& state_cache,
            std::string node_name, ArtifactStorage local, Duration bound);
  ~Artifacts();

  /// Begins to repair: from time to time a replica fetches what it misses.
  void start();

  /// Stores or reads a chunk, on a replica.
  pb::PeerResponse handle_peer_request(const pb::PeerRequest& request);

  /// Has the replicas store a chunk.
  /// @return what a majority has, the chunk included
  Progress append(const std::string& sha256, uint64_t offset, const std::string& data);

  /// What a majority has of an artifact.
  Progress progress(const std::string& sha256);

  /// Fetches the whole to a file, in place of the one that is there, from whichever replicas have it.
  /// @param executor  does the writing
  /// @return false when a chunk was not to be had or could not be written; the file may be there in part
  bool fetch(const SoftwareTarget& target, const std::string& path, storage::DiskExecutor& executor);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;  ///< shared with the fiber that repairs
};

}  // namespace dunlinwing::software
