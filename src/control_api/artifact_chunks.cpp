// The recorded releases define which artifacts exist. An unknown artifact is looked up again
// after a pull, since its release may have been recorded a moment ago.
#include "control_api/artifact_chunks.hpp"

#include <fmt/format.h>

#include <charconv>

#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {
namespace {
using Progress = software::Artifacts::Progress;

base::Response no_artifact_storage() { return error_response(503, "this node takes no artifacts"); }

base::Response progress_response(const Progress& progress) {
  if (const auto* stored = std::get_if<pb::ArtifactChunkResponse>(&progress))
    return json_response(200,
                         fmt::format(R"({{"held":{},"whole":{}}})", stored->received(), stored->complete()));
  switch (std::get<software::ChunkError>(progress)) {
    case software::ChunkError::unknown_artifact:
      return error_response(404, "no recorded software release names this digest");
    case software::ChunkError::gap:
      return error_response(409, "the piece does not follow what is held; GET says how much that is");
    default:
      return error_response(503, "no majority of the holders answers; state the piece again");
  }
}

bool is_unknown_artifact(const Progress& progress) {
  const auto* error = std::get_if<software::ChunkError>(&progress);
  return error && *error == software::ChunkError::unknown_artifact;
}

/// The offset in the query: 0 when it is absent, empty when it is not a number.
std::optional<uint64_t> parse_offset(const ApiRequest& request) {
  auto found = request.query.find("offset");
  if (found == request.query.end()) return 0;
  uint64_t offset = 0;
  const auto& text = found->second;
  if (std::from_chars(text.data(), text.data() + text.size(), offset).ec != std::errc()) return {};
  return offset;
}
}  // namespace

base::Response put_artifact_chunk(const ApiContext& context, const ApiRequest& request) {
  auto* artifacts = context.node.artifacts();
  if (!artifacts) return no_artifact_storage();
  auto offset = parse_offset(request);
  if (!offset) return error_response(422, "offset is no number");
  const auto& chunk = request.http.body;
  if (chunk.empty() || chunk.size() > software::kChunkBytes)
    return error_response(413, "a piece has 1 to 1048576 bytes");
  const auto& sha256 = request.path[2];
  auto progress = artifacts->append(sha256, *offset, chunk);
  if (is_unknown_artifact(progress)) {
    if (auto no_majority = await_majority_contact(context.node)) return *no_majority;
    progress = artifacts->append(sha256, *offset, chunk);
  }
  return progress_response(progress);
}

base::Response get_artifact(const ApiContext& context, const ApiRequest& request) {
  auto* artifacts = context.node.artifacts();
  if (!artifacts) return no_artifact_storage();
  return progress_response(artifacts->progress(request.path[2]));
}

}  // namespace dunlinwing::control_api
