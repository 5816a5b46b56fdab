// Artifacts of software releases, sent in pieces.
#pragma once
#include "control_api/api_request.hpp"
#include "node/node.hpp"

namespace dunlinwing::control_api {

// PUT /v1/artifacts/SHA256?offset=N: pieces in order, each of a mebibyte at most.
base::Response put_artifact_chunk(node::Node& node, ApiRequest& call);
// GET /v1/artifacts/SHA256: how much of it a majority holds.
base::Response get_artifact(node::Node& node, ApiRequest& call);

}  // namespace dunlinwing::control_api
