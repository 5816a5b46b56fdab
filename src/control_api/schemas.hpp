/// @file
/// The JSON schemas of the bodies that operators and backend instances send (docs/resources.md). Each is
/// parsed once, at its first use; the functions may be called from any thread.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::control_api {

/// POST /v1/beats
const base::Schema& heartbeat_schema();
/// PUT /v1/purges/NAME, POST /v1/purges
const base::Schema& purge_schema();
/// PUT /v1/services/NAME
const base::Schema& service_version_schema();
/// PUT /v1/moves/NAME
const base::Schema& version_rollout_schema();
/// PUT of an operator action on a release
const base::Schema& reason_schema();
/// PUT /v1/drains/SCOPE/NAME
const base::Schema& drain_schema();
/// PUT /v1/holders/NAME
const base::Schema& replica_schema();

}  // namespace dunlinwing::control_api
