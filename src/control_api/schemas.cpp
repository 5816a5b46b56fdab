#include "control_api/schemas.hpp"

namespace dunlinwing::control_api {

const base::Schema& heartbeat_schema() {
  static const base::Schema schema(R"({
  "type":"object","required":["service","version","instance","zone","address","number","period_ms"],
  "properties":{
    "service":{"type":"string","minLength":1,"maxLength":64},"version":{"type":"string","minLength":1,"maxLength":64},
    "instance":{"type":"string","minLength":1,"maxLength":64},"zone":{"type":"string","maxLength":64},
    "address":{"type":"string","minLength":3,"maxLength":64},"capacity":{"type":"integer","minimum":1,"maximum":100000},
    "leaving":{"type":"boolean"},"cold_ms":{"type":"integer","minimum":0,"maximum":3600000},"number":{"type":"integer","minimum":1},
    "period_ms":{"type":"integer","minimum":100,"maximum":60000}}})");
  return schema;
}

const base::Schema& purge_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["kind"],"properties":{
    "service":{"type":"string","minLength":1,"maxLength":64},
    "kind":{"type":"string","enum":["path","prefix","service","tag"]},
    "tag":{"type":"string","minLength":1,"maxLength":1024},
    "host":{"type":"string","maxLength":256},
    "path":{"type":"string","pattern":"^/","maxLength":2048}}})");
  return schema;
}

const base::Schema& service_version_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["version"],"properties":{
    "version":{"type":"string","minLength":1,"maxLength":64},
    "lift_quarantine":{"type":"boolean"}}})");
  return schema;
}

const base::Schema& version_rollout_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["version","within_ms"],"properties":{
    "version":{"type":"string","minLength":1,"maxLength":64},
    "within_ms":{"type":"integer","minimum":1000,"maximum":86400000},
    "lift_quarantine":{"type":"boolean"}}})");
  return schema;
}

const base::Schema& reason_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["reason"],"properties":{
    "reason":{"type":"string","minLength":1,"maxLength":512}}})");
  return schema;
}

const base::Schema& drain_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["drained"],"properties":{
    "drained":{"type":"boolean"},"reason":{"type":"string","maxLength":512}}})");
  return schema;
}

const base::Schema& replica_schema() {
  static const base::Schema schema(R"({
  "type":"object","additionalProperties":false,"required":["holder"],"properties":{
    "holder":{"type":"boolean"},"address":{"type":"string","minLength":3,"maxLength":64}}})");
  return schema;
}

}  // namespace dunlinwing::control_api
