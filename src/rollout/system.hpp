// The project's own defaults and options, as a release of kind "system" may
// set them. What a document leaves out keeps its default.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::rollout {

struct Quiet {
  int from_min = 0, to_min = 24 * 60;  // UTC minutes of the day; equal: never closed
  bool open(int64_t wall_ms) const;
};

struct System {
  std::string log_level = "info";
  double repeat_share = 0.2;         // repeats that a request earns
  int64_t repeat_allowance = 20;     // repeats beyond those, over the fleet, in ten seconds
  int64_t trial_share_percent = 10;  // of a service's requests, for a version on trial
  int64_t bad_answers = 50;          // that quarantine a version on trial
  int64_t promote_requests = 200;    // evidence needed before a version is promoted
  int64_t promote_seconds = 60;
  int64_t defect_ratio_percent = 200;  // a release's defect rate against the rest before it is stopped
  int64_t evidence_requests = 100;     // too little below this
  Quiet quiet;                         // when phases may start; absent: always
};

std::vector<base::ValidationError> check_system(const base::Json& j);
System read_system(const base::Json& j,
                   const System& base = {});  // what the document leaves out is as in `base`
std::string_view system_schema();

}  // namespace dunlinwing::rollout
