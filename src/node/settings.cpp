// Schema and cross-checks of the settings.
#include "node/settings.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "config/release.hpp"
#include "net/address.hpp"

namespace dunlinwing::node {
namespace {
// Descriptors reserved for our files and those that the system opens; the rest are for sockets.
constexpr int kFileDescriptors = 200;
// A quarter of a machine's memory may hold cached responses, and a quarter request bodies (see Listeners).
constexpr double kCacheShare = 1.0 / 4;
constexpr double kBytesPerMegabyte = 1 << 20;
constexpr int64_t kDefaultBoundMs = 2000;

Duration seconds(const base::Json& value) { return Duration(static_cast<int64_t>(value.real_or() * 1000)); }

/// Parses one settings file, with a method for each section, and collects all errors.
class SettingsParser {
 public:
  explicit SettingsParser(const base::Json& json) : json_(json) {}

  SettingsResult parse(std::vector<base::ValidationError> schema_errors) {
    errors_ = std::move(schema_errors);
    read_addresses();
    read_fleet();
    read_readiness_address();
    read_process();
    read_bounds();
    read_resources();
    check_shield();
    read_system_options();
    check_replicas();
    if (!errors_.empty()) return errors_;
    return settings_;
  }

 private:
  /// Returns `text` and adds an error at `pointer` unless it is empty or an address.
  std::string address(const std::string& pointer, const std::string& text) {
    if (!text.empty() && !net::parse_address(text)) errors_.push_back({pointer, "is not IP:port"});
    return text;
  }

  void read_addresses() {
    const auto listen = json_.at("listen");
    settings_.client_address = address("/listen/callers", listen.at("callers").string_or());
    settings_.control_address = address("/listen/control", listen.at("control").string_or());
    settings_.node.peer_address = address("/listen/peers", listen.at("peers").string_or());
    settings_.node.control_address = settings_.control_address;  // empty on a machine without a control API
  }

  void read_readiness_address() {
    settings_.readiness_address =
        address("/listen/readiness", json_.at("listen").at("readiness").string_or());
  }

  void check_shield() {
    settings_.node.shield = json_.at("shield").bool_or();
    if (settings_.node.shield) return;
    for (const char* key : {"callers", "control"})
      if (!json_.at("listen").has(key)) errors_.push_back({std::string("/listen/") + key, "is missing"});
  }

  void read_fleet() {
    NodeConfig& node = settings_.node;
    node.name = json_.at("name").string_or();
    node.zone = json_.at("zone").string_or();
    for (const auto& [name, value] : json_.at("holders").members())
      node.replicas.push_back({name, address("/holders/" + name, value.string_or())});
    int index = 0;
    for (const auto& seed : json_.at("seeds").strings())
      node.seeds.push_back(address(fmt::format("/seeds/{}", index++), seed));
    // Only operators change a replica set that the settings name, unless `tolerate` is set.
    node.initial_boot = json_.at("first_start").bool_or(!node.replicas.empty());
    node.tolerate = static_cast<int>(json_.at("tolerate").integer_or(node.replicas.empty() ? 1 : 0));
    node.bound = Duration(json_.at("bound_ms").integer_or(kDefaultBoundMs));
    node.scale = json_.at("hold_scale").real_or(1);
  }

  void read_process() {
    settings_.data_directory = json_.at("data").string_or();
    settings_.release_directory = json_.at("releases").string_or();
    settings_.threads = static_cast<int>(json_.at("threads").integer_or(settings_.threads));
    settings_.log_level = json_.at("log_level").string_or(settings_.log_level);
    settings_.log_bytes =
        static_cast<size_t>(json_.at("log_bytes").integer_or(static_cast<int64_t>(settings_.log_bytes)));
    settings_.protocol_adapter = json_.at("face").string_or("own");
    settings_.heartbeat_period = seconds(json_.at("beat_s"));
  }

  void read_bounds() {
    if (!json_.has("bounds")) return;
    const auto bounds = json_.at("bounds");
    // A single bound covers all changes that must reach every node: the shortest of those configured.
    auto shortest = Duration::max();
    for (const char* key : {"layout_s", "leave_s", "purge_s"})
      if (bounds.has(key)) shortest = std::min(shortest, seconds(bounds.at(key)));
    if (shortest != Duration::max()) settings_.node.bound = shortest;
    settings_.grace = seconds(bounds.at("grace_s"));
    config::SystemOptions& system = settings_.node.system;
    system.retry_ratio = bounds.at("repeat_share").real_or(system.retry_ratio);
    system.retry_allowance = static_cast<int64_t>(
        bounds.at("repeat_allowance").real_or(static_cast<double>(system.retry_allowance)));
    system.canary_percent = static_cast<int64_t>(
        bounds.at("trial_share").real_or(static_cast<double>(system.canary_percent) / 100) * 100);
    system.max_canary_failures = static_cast<int64_t>(
        bounds.at("bad_answers").real_or(static_cast<double>(system.max_canary_failures)));
  }

  void read_resources() {
    settings_.max_sockets =
        static_cast<int>(std::max<int64_t>(0, json_.at("descriptors").integer_or(0) - kFileDescriptors));
    settings_.node.max_sockets = settings_.max_sockets;
    settings_.memory_mb = json_.at("memory_mb").real_or(0);
    settings_.node.link_mbps = json_.at("link_mbps").real_or(0);
    size_t& cache_bytes = settings_.node.max_cache_bytes;
    if (settings_.memory_mb > 0)
      cache_bytes = static_cast<size_t>(settings_.memory_mb * kBytesPerMegabyte * kCacheShare);
    if (json_.has("cache_bytes")) cache_bytes = static_cast<size_t>(json_.at("cache_bytes").integer_or());
  }

  void read_system_options() {
    if (!json_.has("system")) return;
    const auto invalid = config::check_system_options(json_.at("system"));
    for (const auto& error : invalid) errors_.push_back({"/system" + error.pointer, error.message});
    if (!invalid.empty()) return;  // parsing takes for granted that they conform to the schema
    settings_.node.system = config::parse_system_options(json_.at("system"), settings_.node.system);
  }

  void check_replicas() {
    const NodeConfig& node = settings_.node;
    const bool is_replica = std::any_of(node.replicas.begin(), node.replicas.end(),
                                        [&](const auto& replica) { return replica.name == node.name; });
    if (is_replica && settings_.data_directory.empty())
      errors_.push_back({"/holders/" + node.name, "a holder requires /data"});
    if (node.replicas.size() % 2 == 0 && !node.replicas.empty())
      errors_.push_back({"/holders", "must have an odd number of entries"});
  }

  const base::Json& json_;
  Settings settings_;
  std::vector<base::ValidationError> errors_;
};
}  // namespace

std::string_view settings_schema() {
  return R"({
  "type":"object","additionalProperties":false,
  "required":["name","zone","listen","seeds"],
  "properties":{
    "name":{"type":"string","minLength":1,"maxLength":64},
    "zone":{"type":"string","minLength":1,"maxLength":64},
    "listen":{"type":"object","additionalProperties":false,"required":["peers"],"properties":{
      "callers":{"type":"string"},"control":{"type":"string"},"peers":{"type":"string"},"readiness":{"type":"string"}}},
    "holders":{"type":"object","minProperties":1,"maxProperties":9,"additionalProperties":{"type":"string"}},
    "seeds":{"type":"array","minItems":1,"maxItems":9,"items":{"type":"string"}},
    "first_start":{"type":"boolean"},
    "tolerate":{"type":"integer","minimum":0,"maximum":4},
    "data":{"type":"string","minLength":1},
    "releases":{"type":"string","minLength":1},
    "shield":{"type":"boolean"},
    "face":{"type":"string","enum":["own","platform"]},
    "beat_s":{"type":"number","minimum":0.001,"maximum":3600},
    "bounds":{"type":"object","additionalProperties":false,"properties":{
      "layout_s":{"type":"number","minimum":0.5,"maximum":10},
      "leave_s":{"type":"number","minimum":0.5,"maximum":3600},
      "purge_s":{"type":"number","minimum":0.5,"maximum":3600},
      "grace_s":{"type":"number","minimum":0.5,"maximum":3600},
      "repeat_share":{"type":"number","minimum":0,"maximum":10},
      "repeat_allowance":{"type":"number","minimum":0,"maximum":1000000},
      "trial_share":{"type":"number","minimum":0,"maximum":1},
      "bad_answers":{"type":"number","minimum":0,"maximum":1000000}}},
    "cache_bytes":{"type":"integer","minimum":0},
    "memory_mb":{"type":"number","minimum":16},
    "descriptors":{"type":"integer","minimum":232},
    "link_mbps":{"type":"number","minimum":0},
    "system":{"type":"object"},
    "threads":{"type":"integer","minimum":1,"maximum":64},
    "log_level":{"type":"string","enum":["debug","info","warn","error"]},
    "log_bytes":{"type":"integer","minimum":4096,"maximum":268435456},
    "bound_ms":{"type":"integer","minimum":500,"maximum":10000},
    "hold_scale":{"type":"number","minimum":1,"maximum":1000000}}})";
}

SettingsResult parse_settings(std::string_view text) {
  static const base::Schema schema(settings_schema());
  const auto parsed = base::Json::parse(text);
  if (const auto* error = std::get_if<base::ValidationError>(&parsed))
    return std::vector<base::ValidationError>{*error};
  const auto& json = std::get<base::Json>(parsed);
  return SettingsParser(json).parse(schema.check(json));
}

}  // namespace dunlinwing::node
