// Schema and reading of system options. All of them take effect at once.
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
int minute(const base::Json& json, const char* k) {
  auto s = json.at("quiet_hours").at(k).string_or();
  return s.size() == 5 ? std::stoi(s.substr(0, 2)) * 60 + std::stoi(s.substr(3)) : 0;
}
}  // namespace

std::vector<base::ValidationError> check_system_options(const base::Json& json) {
  static const base::Schema s(system_options_schema());
  auto ds = s.check(json);
  if (!ds.empty()) return ds;
  for (auto* k : {"from", "to"})
    if (json.has("quiet_hours") && minute(json, k) > 24 * 60)
      ds.push_back({std::string("/quiet_hours/") + k, "is no time of the day"});
  return ds;
}

bool QuietHours::contains(int64_t wall_ms) const {
  if (start_minute == end_minute) return true;
  int64_t day = 86400000, ms = ((wall_ms % day) + day) % day;
  int m = static_cast<int>(ms / 60000);
  return start_minute < end_minute ? m >= start_minute && m < end_minute
                                   : m >= start_minute || m < end_minute;
}

SystemOptions parse_system_options(const base::Json& json, const SystemOptions& base) {
  SystemOptions s = base;
  s.log_level = json.at("log_level").string_or(s.log_level);
  auto n = [&](const char* k, int64_t& v) { v = json.at(k).integer_or(v); };
  n("repeat_allowance", s.retry_allowance);
  n("trial_share_percent", s.canary_percent);
  n("bad_answers", s.max_canary_failures);
  n("promote_requests", s.promote_requests);
  n("promote_seconds", s.promote_seconds);
  n("defect_ratio_percent", s.failure_ratio_percent);
  n("evidence_requests", s.evidence_requests);
  if (json.has("quiet_hours")) s.quiet_hours = {minute(json, "from"), minute(json, "to")};
  return s;
}

}  // namespace dunlinwing::config
