/// @file
/// The framing of the replica's files: each payload behind a head with its length and the checksums of head
/// and payload. Apart from any file, so that tests can damage the bytes.
///
/// Invariant: the format is stored; it never changes.
/// Threads: the functions have no state of their own.
#pragma once
#include "base/common.hpp"

namespace dunlinwing::storage {

/// Bytes before each payload: a constant, the payload's length, its checksum, the checksum of these three;
/// 32 bits each, the lowest byte first.
inline constexpr size_t kFrameHeadBytes = 16;

std::string frame(const std::string& payload);

/// How a sequence of frames ends.
enum class Tail {
  clean,
  torn,     ///< the last write did not complete, which is no loss, for it was never synced
  corrupt,  ///< something before the end is damaged
};

struct Unframed {
  std::vector<std::string> payloads;  ///< those before the damage, if there is any
  Tail tail = Tail::clean;
};

/// Cuts a sequence of frames into its payloads.
[[nodiscard]] Unframed unframe(std::string_view bytes);

}  // namespace dunlinwing::storage
