// Schema and reading of system options. All of them take effect at once.
#include "rollout/system.hpp"

namespace dunlinwing::rollout {

std::string_view system_schema() {
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
int minute(const base::Json& j, const char* k) {
  auto s = j.at("quiet_hours").at(k).str();
  return s.size() == 5 ? std::stoi(s.substr(0, 2)) * 60 + std::stoi(s.substr(3)) : 0;
}
}  // namespace

std::vector<base::ValidationError> check_system(const base::Json& j) {
  static const base::Schema s(system_schema());
  auto ds = s.check(j);
  if (!ds.empty()) return ds;
  for (auto* k : {"from", "to"})
    if (j.has("quiet_hours") && minute(j, k) > 24 * 60)
      ds.push_back({std::string("/quiet_hours/") + k, "is no time of the day"});
  return ds;
}

bool Quiet::open(int64_t wall_ms) const {
  if (from_min == to_min) return true;
  int64_t day = 86400000, ms = ((wall_ms % day) + day) % day;
  int m = static_cast<int>(ms / 60000);
  return from_min < to_min ? m >= from_min && m < to_min : m >= from_min || m < to_min;
}

System read_system(const base::Json& j, const System& base) {
  System s = base;
  s.log_level = j.at("log_level").str(s.log_level);
  auto n = [&](const char* k, int64_t& v) { v = j.at(k).num(v); };
  n("repeat_allowance", s.repeat_allowance);
  n("trial_share_percent", s.trial_share_percent);
  n("bad_answers", s.bad_answers);
  n("promote_requests", s.promote_requests);
  n("promote_seconds", s.promote_seconds);
  n("defect_ratio_percent", s.defect_ratio_percent);
  n("evidence_requests", s.evidence_requests);
  if (j.has("quiet_hours")) s.quiet = {minute(j, "from"), minute(j, "to")};
  return s;
}

}  // namespace dunlinwing::rollout
