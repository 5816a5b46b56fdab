// A relay's settings: one JSON file, each value checked, each defect named by
// its place before anything is started.
#pragma once
#include "base/json.hpp"
#include "relay/node.hpp"

namespace dunlinwing::relay {

struct Config {
  NodeConfig node;
  std::string callers, control, readiness, data, releases, log_level = "info";
  std::string face = "own";  // whose words callers, workers and operators are spoken to in
  int threads = 2;
  Duration beat{0};      // how often workers beat, when their calls do not say it
  Duration grace{0};     // from the word to stop until the process must have ended; 0: from the bound
  int sockets = 0;       // that this process may have open at once; 0: not stated
  double memory_mb = 0;  // of the machine, for this process; 0: not stated
  size_t log_bytes = 4 << 20;
};

using ConfigGot = std::variant<Config, std::vector<base::ValidationError>>;
ConfigGot read_config(std::string_view text);
std::string_view config_schema();

}  // namespace dunlinwing::relay
