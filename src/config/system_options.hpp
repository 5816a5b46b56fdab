/// @file
/// The project's own options, as a release of kind "system" may set them. All of them take effect at once.
/// Pure.
#pragma once
#include "base/json.hpp"

namespace dunlinwing::config {

/// The time of the day in which a phase of a rollout may start, in UTC.
struct QuietHours {
  int start_minute = 0, end_minute = 24 * 60;  ///< of the day; equal: at any time

  /// @param wall_ms  milliseconds since 1970
  [[nodiscard]] bool contains(int64_t wall_ms) const;
};

/// The options with their defaults.
struct SystemOptions {
  std::string log_level = "info";
  double retry_ratio = 0.2;             ///< retries that a request earns
  int64_t retry_allowance = 20;         ///< retries beyond those, over the fleet, in ten seconds
  int64_t canary_percent = 10;          ///< of a service's requests, for a canary
  int64_t max_canary_failures = 50;     ///< bad responses that quarantine a canary
  int64_t promote_requests = 200;       ///< evidence needed before a version is promoted
  int64_t promote_seconds = 60;         ///< and the time that it has to run as a canary
  int64_t failure_ratio_percent = 200;  ///< a release's failure rate against the others' that stops it
  int64_t evidence_requests = 100;      ///< fewer requests are no evidence
  QuietHours quiet_hours;               ///< when phases may start; not stated: at any time
};

/// @return everything that is wrong with the document; none when it is valid
std::vector<base::ValidationError> check_system_options(const base::Json& json);

/// @param json      a valid document; what it leaves out is as in `defaults`
SystemOptions parse_system_options(const base::Json& json, const SystemOptions& defaults = {});

/// The JSON schema of the document.
std::string_view system_options_schema();

}  // namespace dunlinwing::config
