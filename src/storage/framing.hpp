/// @file
/// The frame format of the replica's files: each payload follows a head with its length and the checksums of
/// head and payload. Independent of file access, so that tests can damage the bytes.
///
/// Invariant: the format never changes, since files in it are stored.
/// Threads: the functions are stateless.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// Bytes before each payload: a constant, the payload's length, its checksum, the checksum of these three;
/// 32 bits each, little-endian.
inline constexpr size_t kFrameHeadBytes = 16;

std::string frame(const std::string& payload);

/// How a sequence of frames ends.
enum class Tail {
  clean,
  torn,     ///< the last write is incomplete; nothing is lost, since it was never synced
  corrupt,  ///< something before the end is damaged
};

struct Unframed {
  std::vector<std::string> payloads;  ///< up to the first damaged frame
  Tail tail = Tail::clean;
};

/// Splits a sequence of frames into its payloads.
[[nodiscard]] Unframed unframe(std::string_view bytes);

}  // namespace dunlinwing::storage
