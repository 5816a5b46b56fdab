// A relay's settings: one JSON file, each value checked, each defect named by
// its place before anything is started.
#pragma once
#include "base/json.hpp"
#include "node/node.hpp"

namespace dunlinwing::node {

struct Settings {
  NodeConfig node;
  std::string client_address, control_address, readiness_address, data_directory, release_directory,
      log_level = "info";
  std::string protocol_adapter = "own";  // whose words callers, workers and operators are spoken to in
  int threads = 2;
  Duration heartbeat_period{0};  // how often workers beat, when their calls do not say it
  Duration grace{0};             // from the word to stop until the process must have ended; 0: from the bound
  int max_sockets = 0;           // that this process may have open at once; 0: not stated
  double memory_mb = 0;          // of the machine, for this process; 0: not stated
  size_t log_bytes = 4 << 20;
};

using SettingsResult = std::variant<Settings, std::vector<base::ValidationError>>;
SettingsResult parse_settings(std::string_view text);
std::string_view settings_schema();

}  // namespace dunlinwing::node
