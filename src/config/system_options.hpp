// The project's own defaults and options, as a release of kind "system" may
// set them. What a document leaves out keeps its default.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

struct QuietHours {
  int start_minute = 0, end_minute = 24 * 60;  // UTC minutes of the day; equal: never closed
  bool contains(int64_t wall_ms) const;
};

struct SystemOptions {
  std::string log_level = "info";
  double retry_ratio = 0.2;          // repeats that a request earns
  int64_t retry_allowance = 20;      // repeats beyond those, over the fleet, in ten seconds
  int64_t canary_percent = 10;       // of a service's requests, for a version on trial
  int64_t max_canary_failures = 50;  // that quarantine a version on trial
  int64_t promote_requests = 200;    // evidence needed before a version is promoted
  int64_t promote_seconds = 60;
  int64_t failure_ratio_percent = 200;  // a release's defect rate against the rest before it is stopped
  int64_t evidence_requests = 100;      // too little below this
  QuietHours quiet_hours;               // when phases may start; absent: always
};

std::vector<base::ValidationError> check_system_options(const base::Json& json);
SystemOptions parse_system_options(
    const base::Json& json, const SystemOptions& base = {});  // what the document leaves out is as in `base`
std::string_view system_options_schema();

}  // namespace dunlinwing::config
