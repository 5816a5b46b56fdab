// The schemas of the bodies that operators and workers send.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::control_api {

const base::Schema& heartbeat_schema();
const base::Schema& purge_schema();
const base::Schema& service_version_schema();
const base::Schema& version_rollout_schema();
const base::Schema& reason_schema();
const base::Schema& drain_schema();
const base::Schema& replica_schema();

}  // namespace dunlinwing::control_api
