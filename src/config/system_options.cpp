#include "config/system_options.hpp"

namespace dunlinwing::config {

std::string_view system_options_schema() {
  return R"({
  "type":"object","additionalProperties":false,"properties":{
    "log_level":{"type":"string","enum":["debug","info","warn","error"]},
    "repeat_allowance":{"type":"integer","minimum":0,"maximum":1000},
    "trial_share_percent":{"type":"integer","minimum":1,"maximum":10},
    "bad_answers":{"type":"integer","minimum":1,"maximum":50},
    "promote_requests":{"type":"integer","minimum":20,"maximum":1000000},
    "promote_seconds":{"type":"integer","minimum":10,"maximum":86400},
    "defect_ratio_percent":{"type":"integer","minimum":110,"maximum":1000},
    "evidence_requests":{"type":"integer","minimum":10,"maximum":1000000},
    "quiet_hours":{"type":"object","additionalProperties":false,"required":["from","to"],"properties":{
      "from":{"type":"string","pattern":"^[0-2][0-9]:[0-5][0-9]$"},
      "to":{"type":"string","pattern":"^[0-2][0-9]:[0-5][0-9]$"}}}}})";
}

namespace {
constexpr int kMinutesPerHour = 60, kMinutesPerDay = 24 * kMinutesPerHour;
constexpr int64_t kMsPerMinute = 60'000, kMsPerDay = kMinutesPerDay * kMsPerMinute;

/// The minute of the day of "HH:MM" under `key` of the quiet hours; 0: not set.
int minute_of_day(const base::Json& json, const char* key) {
  auto text = json.at("quiet_hours").at(key).string_or();
  if (text.size() != std::string_view("HH:MM").size()) return 0;
  return std::stoi(text.substr(0, 2)) * kMinutesPerHour + std::stoi(text.substr(3));
}
}  // namespace

std::vector<base::ValidationError> check_system_options(const base::Json& json) {
  static const base::Schema schema(system_options_schema());
  auto errors = schema.check(json);
  if (!errors.empty()) return errors;
  for (const auto* key : {"from", "to"})
    if (json.has("quiet_hours") && minute_of_day(json, key) > kMinutesPerDay)
      errors.push_back({std::string("/quiet_hours/") + key, "is no time of the day"});
  return errors;
}

bool QuietHours::contains(int64_t wall_ms) const {
  if (start_minute == end_minute) return true;
  auto of_day = ((wall_ms % kMsPerDay) + kMsPerDay) % kMsPerDay;
  auto minute = static_cast<int>(of_day / kMsPerMinute);
  bool over_midnight = start_minute > end_minute;
  return over_midnight ? minute >= start_minute || minute < end_minute
                       : minute >= start_minute && minute < end_minute;
}

SystemOptions parse_system_options(const base::Json& json, const SystemOptions& defaults) {
  SystemOptions options = defaults;
  options.log_level = json.at("log_level").string_or(options.log_level);
  auto read_integer = [&](const char* key, int64_t& value) { value = json.at(key).integer_or(value); };
  read_integer("repeat_allowance", options.retry_allowance);
  read_integer("trial_share_percent", options.canary_percent);
  read_integer("bad_answers", options.max_canary_failures);
  read_integer("promote_requests", options.promote_requests);
  read_integer("promote_seconds", options.promote_seconds);
  read_integer("defect_ratio_percent", options.failure_ratio_percent);
  read_integer("evidence_requests", options.evidence_requests);
  if (json.has("quiet_hours")) options.quiet_hours = {minute_of_day(json, "from"), minute_of_day(json, "to")};
  return options;
}

}  // namespace dunlinwing::config
