/// @file
/// Options of the nodes themselves, set by releases of kind "system". All of them take effect at once. Pure.
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
  double retry_ratio = 0.2;             ///< retries that each request adds to the budget
  int64_t retry_allowance = 20;         ///< retries beyond those, of the whole fleet in ten seconds
  int64_t canary_percent = 10;          ///< of a service's requests, for a canary
  int64_t max_canary_failures = 50;     ///< bad responses that quarantine a canary
  int64_t promote_requests = 200;       ///< requests needed as evidence before a version is promoted
  int64_t promote_seconds = 60;         ///< minimum time as a canary before a version is promoted
  int64_t failure_ratio_percent = 200;  ///< a release's failure rate, relative to the others', that stops it
  int64_t evidence_requests = 100;      ///< minimum requests that count as evidence
  QuietHours quiet_hours;               ///< when phases may start; not set: at any time
};

/// @return all errors of the document; none when it is valid
std::vector<base::ValidationError> check_system_options(const base::Json& json);

/// @param json      a valid document; omitted options are as in `defaults`
SystemOptions parse_system_options(const base::Json& json, const SystemOptions& defaults = {});

/// The JSON schema of the document.
std::string_view system_options_schema();

}  // namespace dunlinwing::config
