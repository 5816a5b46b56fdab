// A relay's settings: one JSON file, each value checked, each defect named by
// its place before anything is started.
#pragma once
#include "base/json.hpp"
#include "relay/node.hpp"

namespace dunlinwing::relay {

struct Config {
  NodeConfig node;
  std::string callers, control, data, releases, log_level = "info";
  int threads = 2;
  size_t log_bytes = 4 << 20;
};

using ConfigGot = std::variant<Config, std::vector<base::DocDefect>>;
ConfigGot read_config(std::string_view text);
std::string_view config_schema();

}  // namespace dunlinwing::relay
