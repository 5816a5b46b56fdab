// The schemas of the bodies that operators and workers send.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::control_api {

const base::Schema& beat_schema();
const base::Schema& purge_schema();
const base::Schema& move_schema();
const base::Schema& term_schema();
const base::Schema& reason_schema();
const base::Schema& drain_schema();
const base::Schema& holder_schema();

}  // namespace dunlinwing::control_api
