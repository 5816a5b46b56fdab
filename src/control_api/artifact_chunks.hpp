/// @file
/// Artifacts of software releases, uploaded in chunks. Handlers: see Handler in control_api/api_context.hpp.
#pragma once
#include "control_api/api_context.hpp"

namespace dunlinwing::control_api {

/// PUT /v1/artifacts/SHA256?offset=N: chunks in order, each of a mebibyte at most. Takes as long as a
/// majority of the replicas needs to sync the chunk. 404: no recorded release names the digest; 409: the
/// chunk does not follow what is stored; 413, 422: the chunk's size or offset is invalid; 503: no majority.
base::Response put_artifact_chunk(const ApiContext& context, const ApiRequest& request);

/// GET /v1/artifacts/SHA256: how many of its bytes a majority stores.
base::Response get_artifact(const ApiContext& context, const ApiRequest& request);

}  // namespace dunlinwing::control_api
