// Artifacts of software releases: any relay takes their pieces and passes them
// to all holders; holders that missed some fetch them from the others.
#pragma once
#include "membership/state_cache.hpp"
#include "storage/artifact_files.hpp"
#include "storage/disk_executor.hpp"

namespace dunlinwing::software {

struct Want {  // a software release as a relay needs it
  std::string name, version, sha256;
  uint64_t bytes = 0;
};
// The recorded software releases, by digest.
std::map<std::string, Want> recorded(const membership::Chosen& c);

enum class PieceError { unknown_artifact, gap, no_majority };

class Artifacts {
 public:
  // `shelf` is null on a machine that holds no state.
  Artifacts(base::Ports& ps, consensus::RegisterClient& b, membership::StateCache& m, std::string me,
            storage::ArtifactFiles* shelf, storage::DiskExecutor* hand, Duration bound);
  ~Artifacts();
  void start();                        // begins to repair
  pb::Reply answer(const pb::Ask& a);  // chunk and fetch, on a holder
  std::variant<pb::Piece, PieceError> put(const std::string& sha, uint64_t offset, const std::string& data);
  std::variant<pb::Piece, PieceError> look(const std::string& sha);  // what a majority holds
  // Fetches the whole to a file from whichever holders have it.
  bool fetch(const Want& w, const std::string& path, storage::DiskExecutor& hand);

 private:
  struct Impl;
  std::shared_ptr<Impl> p_;
};

inline constexpr uint32_t kPiece = 1 << 20;

}  // namespace dunlinwing::software
