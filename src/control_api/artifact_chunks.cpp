// Which artifacts there are is known from the recorded releases. One that is not known is
// looked for again after a pull, since its release may have been recorded a moment ago.
#include "control_api/artifact_chunks.hpp"

#include <fmt/format.h>

#include <charconv>

#include "control_api/majority_contact.hpp"

namespace dunlinwing::control_api {
namespace {
using PieceResult = std::variant<pb::ArtifactChunkResponse, software::ChunkError>;

base::Response piece_response(const PieceResult& result) {
  if (auto* piece = std::get_if<pb::ArtifactChunkResponse>(&result))
    return json_response(200,
                         fmt::format(R"({{"held":{},"whole":{}}})", piece->received(), piece->complete()));
  switch (std::get<software::ChunkError>(result)) {
    case software::ChunkError::unknown_artifact:
      return error_response(404, "no recorded software release names this digest");
    case software::ChunkError::gap:
      return error_response(409, "the piece does not follow what is held; GET says how much that is");
    default:
      return error_response(503, "no majority of the holders answers; state the piece again");
  }
}

bool unknown(const PieceResult& result) {
  auto* error = std::get_if<software::ChunkError>(&result);
  return error && *error == software::ChunkError::unknown_artifact;
}
}  // namespace

base::Response put_artifact_chunk(node::Node& node, ApiRequest& call) {
  auto* artifacts = node.artifacts();
  if (!artifacts) return error_response(503, "this node takes no artifacts");
  uint64_t offset = 0;
  if (auto f = call.query.find("offset"); f != call.query.end()) {
    auto& text = f->second;
    if (std::from_chars(text.data(), text.data() + text.size(), offset).ec != std::errc())
      return error_response(422, "offset is no number");
  }
  auto& body = call.request.body;
  if (body.empty() || body.size() > software::kChunkBytes)
    return error_response(413, "a piece has 1 to 1048576 bytes");
  auto result = artifacts->append(call.path[2], offset, body);
  if (unknown(result)) {
    if (auto unheard = await_majority_contact(node)) return *unheard;
    result = artifacts->append(call.path[2], offset, body);
  }
  return piece_response(result);
}

base::Response get_artifact(node::Node& node, ApiRequest& call) {
  auto* artifacts = node.artifacts();
  if (!artifacts) return error_response(503, "this node takes no artifacts");
  return piece_response(artifacts->progress(call.path[2]));
}

}  // namespace dunlinwing::control_api
